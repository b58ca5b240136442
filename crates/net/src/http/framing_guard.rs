//! Refusal of HTTP/1 requests whose length is ambiguous.
//!
//! hyper resolves `Transfer-Encoding` together with `Content-Length`, and a
//! repeated `Content-Length`, silently, before a service sees the headers. A
//! proxy in front of this host may have resolved them differently. The guard
//! follows the framing of the byte stream and spoils the line that makes it
//! ambiguous, so that the parser answers 400 and closes the connection.

/// Longest part of a header line that is kept for inspection, in bytes.
const LINE_LIMIT: usize = 256;

/// First line of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Byte that is not allowed anywhere in a header block.
const SPOILER: u8 = 0;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GuardState {
    /// In a header block; the line being read is kept.
    #[default]
    Head,
    /// In a body or chunk with bytes left.
    Data { left: u64, chunked: bool },
    /// In a chunk's size line.
    ChunkSize,
    /// After a chunk's data, at its line end.
    ChunkEnd,
    /// In the trailers after the last chunk.
    Trailers,
    /// Not HTTP/1, or already spoiled.
    Off,
}

/// Follows the framing of one caller connection.
#[derive(Debug, Default)]
pub struct FramingGuard {
    state: GuardState,
    line: Vec<u8>,
    line_bytes: usize,
    started: bool,
    length: Option<u64>,
    chunked: bool,
}

impl FramingGuard {
    /// Inspects received bytes; spoils them where the framing becomes ambiguous.
    pub fn inspect(&mut self, bytes: &mut [u8]) {
        let mut at = 0;
        while at < bytes.len() {
            match self.state {
                GuardState::Off => return,
                GuardState::Data { left, chunked } => {
                    at += self.skip_data(left, chunked, bytes.len() - at);
                }
                _ => {
                    if !self.take_byte(bytes[at]) {
                        self.state = GuardState::Off;
                        bytes[at] = SPOILER;
                        return;
                    }
                    at += 1;
                }
            }
        }
    }

    fn skip_data(&mut self, left: u64, chunked: bool, available: usize) -> usize {
        let wanted = usize::try_from(left).unwrap_or(usize::MAX);
        let taken = wanted.min(available);
        let left = left - u64::try_from(taken).unwrap_or(left);
        self.state = match (left, chunked) {
            (0, true) => GuardState::ChunkEnd,
            (0, false) => GuardState::Head,
            (left, chunked) => GuardState::Data { left, chunked },
        };
        taken
    }

    /// Takes a byte of a line; `false` if the line makes the framing ambiguous.
    fn take_byte(&mut self, byte: u8) -> bool {
        if byte != b'\n' {
            self.line_bytes += 1;
            if self.line.len() < LINE_LIMIT {
                self.line.push(byte);
            }
            return true;
        }
        let mut line = std::mem::take(&mut self.line);
        let whole = self.line_bytes == line.len();
        self.line_bytes = 0;
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        let fine = self.take_line(&line, whole);
        line.clear();
        self.line = line;
        fine
    }

    fn take_line(&mut self, line: &[u8], whole: bool) -> bool {
        match self.state {
            GuardState::Head => self.take_head_line(line, whole),
            GuardState::ChunkSize => self.take_chunk_size(line, whole),
            GuardState::ChunkEnd => {
                self.state = GuardState::ChunkSize;
                line.is_empty()
            }
            GuardState::Trailers => {
                if line.is_empty() {
                    self.state = GuardState::Head;
                }
                true
            }
            GuardState::Data { .. } | GuardState::Off => true,
        }
    }

    fn take_head_line(&mut self, line: &[u8], whole: bool) -> bool {
        if !self.started {
            self.started = !line.is_empty();
            if line == HTTP2_PREFACE {
                self.state = GuardState::Off;
            }
            return true;
        }
        if line.is_empty() {
            self.end_head();
            return true;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return true;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            return whole && self.take_length(value);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let first = !self.chunked && self.length.is_none();
            self.chunked = true;
            return whole && first && value.eq_ignore_ascii_case(b"chunked");
        }
        true
    }

    fn take_length(&mut self, value: &[u8]) -> bool {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let number = text.and_then(|text| text.parse().ok());
        let first = self.length.is_none() && !self.chunked;
        self.length = number;
        first && number.is_some()
    }

    fn end_head(&mut self) {
        let length = self.length.take();
        let chunked = std::mem::take(&mut self.chunked);
        self.started = false;
        self.state = match (chunked, length) {
            (true, _) => GuardState::ChunkSize,
            (false, Some(left)) if left > 0 => GuardState::Data {
                left,
                chunked: false,
            },
            (false, _) => GuardState::Head,
        };
    }

    fn take_chunk_size(&mut self, line: &[u8], whole: bool) -> bool {
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(digits.trim_ascii_end()).ok();
        let hexadecimal = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_hexdigit()));
        let size = hexadecimal.and_then(|text| u64::from_str_radix(text, 16).ok());
        match size {
            Some(0) => self.state = GuardState::Trailers,
            Some(left) => {
                self.state = GuardState::Data {
                    left,
                    chunked: true,
                }
            }
            None => return false,
        }
        whole
    }
}
