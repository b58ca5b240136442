//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Longest time for which a stand-in waits for the next request of a connection.
const IDLE_TIME: Duration = Duration::from_secs(40);

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self
            .first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok());
        code.unwrap_or_default()
    }
}

impl Message {
    /// The first line and the headers.
    pub fn head(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.first);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        text.into_bytes()
    }
}

/// A connection that carries messages one after the other.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IDLE_TIME))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        while let Some(line) = self.line()? {
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().into(), value.trim().into()));
            }
        }
        let chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        match (chunked, length) {
            (true, _) => message.body = self.chunks()?,
            (false, Some(length)) => {
                message.body = vec![0; length];
                self.reader.read_exact(&mut message.body)?;
            }
            (false, None) => {}
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        let mut bytes = message.head();
        bytes.extend_from_slice(&message.body);
        self.reader.get_mut().write_all(&bytes)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            self.reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// A response with a JSON body.
pub fn json_response(status: u16, body: String) -> Message {
    Message {
        first: format!("HTTP/1.1 {status} x"),
        headers: vec![("Content-Type".into(), "application/json".into())],
        body: body.into_bytes(),
    }
}
