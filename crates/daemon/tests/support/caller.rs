//! HTTP/1.1 caller that sends raw bytes and checks whether the answer is complete.

use {
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Answer that a caller received; the default value if no response head arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as `Content-Length` or the chunked coding announced.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn code(&self) -> Option<u16> {
        self.header("x-camphorcove-result")?.parse().ok()
    }

    pub fn execution(&self) -> Option<&str> {
        self.header("x-camphorcove-execution")
    }

    /// Parses everything that was received until the connection closed.
    pub fn parse(bytes: &[u8]) -> Self {
        let Some(end) = find(bytes, b"\r\n\r\n") else {
            return Self::default();
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let status = lines.next().and_then(|line| line.split(' ').nth(1));
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut answer = Self {
            status: status.and_then(|text| text.parse().ok()).unwrap_or(0),
            headers,
            ..Self::default()
        };
        answer.read_body(&bytes[end + 4..]);
        answer
    }

    fn read_body(&mut self, rest: &[u8]) {
        if self.header("transfer-encoding").is_some() {
            let (body, complete) = decode_chunked(rest);
            self.body = body;
            self.complete = complete;
            return;
        }
        let length: usize = self
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.complete = rest.len() >= length;
        self.body = rest[..length.min(rest.len())].to_vec();
    }
}

/// Decodes a chunked body, and whether its last chunk arrived.
fn decode_chunked(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(rest, b"\r\n") else {
            return (body, false);
        };
        let text = String::from_utf8_lossy(&rest[..end]).into_owned();
        let size = usize::from_str_radix(&text, 16).expect("chunk size of the router");
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            return (body, false);
        }
        rest = &rest[size + 2..];
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// A caller's connection, on which a test sends raw bytes.
pub struct RawCaller {
    pub stream: TcpStream,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("connect");
        Self { stream }
    }

    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        // The router may refuse the request and close before it has read everything.
        let _ = self.stream.write_all(bytes.as_ref()).await;
    }

    /// Reads until the bytes received end with `end`.
    pub async fn read_until(&mut self, end: &str) {
        let mut bytes = Vec::new();
        while !bytes.ends_with(end.as_bytes()) {
            let read = self.stream.read_buf(&mut bytes).await.expect("answer");
            assert!(read > 0, "closed after {}", String::from_utf8_lossy(&bytes));
        }
    }

    /// Reads until the router closes the connection and returns everything that it sent.
    pub async fn read_all(mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.stream.read_to_end(&mut bytes).await;
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until the router closes the connection.
    pub async fn finish(mut self) -> Answer {
        let mut bytes = Vec::new();
        let _ = self.stream.read_to_end(&mut bytes).await;
        Answer::parse(&bytes)
    }
}

/// Sends one raw request that asks for the connection to be closed.
pub async fn call(address: SocketAddr, request: impl AsRef<[u8]>) -> Answer {
    let mut caller = RawCaller::connect(address).await;
    caller.send(request).await;
    caller.finish().await
}

/// Sends a `GET` with extra header lines, each of which ends in CRLF.
pub async fn get(address: SocketAddr, path: &str, headers: &str) -> Answer {
    let request = format!("GET {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n{headers}\r\n");
    call(address, request).await
}
