//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or response that has been read completely.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or version and status.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(bad("line cut off"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let first: Vec<String> = line.splitn(3, ' ').map(str::to_owned).collect();
    if first.len() < 2 {
        return Err(bad("no start line"));
    }
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| bad("head cut off"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
        message
            .headers
            .push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that the headers announce. A response without a length ends with the connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    ends_with_connection: bool,
) -> io::Result<()> {
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let line = read_line(reader)?.ok_or_else(|| bad("chunk cut off"))?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("no chunk size"))?;
            if size == 0 {
                while !read_line(reader)?
                    .ok_or_else(|| bad("trailers cut off"))?
                    .is_empty()
                {}
                return Ok(());
            }
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader)?.ok_or_else(|| bad("chunk cut off"))?;
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| bad("no length"))?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
        return Ok(());
    }
    if ends_with_connection {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, true)?;
    Ok(Some(message))
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
