//! Rejects HTTP/1 requests whose body length is ambiguous, to prevent request smuggling.
//!
//! If a request has both `Transfer-Encoding` and `Content-Length`, or repeats
//! `Content-Length`, hyper silently chooses one before a service sees the headers. A
//! proxy in front of this host may choose another one and see other request
//! boundaries. In a chunked body, a line feed without a carriage return is as ambiguous. The guard follows the framing in the received bytes and overwrites the
//! end of the line that makes it ambiguous with an invalid byte, so that hyper's
//! parser answers 400 and closes the connection.

/// Maximum part of a line that is kept for inspection, in bytes. A framing header that
/// is longer counts as ambiguous.
const LINE_LIMIT: usize = 256;

/// Largest header block that is kept as a [`PipelinedHead`], in bytes.
const PIPELINED_HEAD_LIMIT: usize = 8 << 10;

/// First line of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Byte that HTTP/1 allows nowhere in a header block or chunk size.
const INVALID_BYTE: u8 = 0;

/// Part of the HTTP/1 stream that the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GuardState {
    /// In the request line or the headers.
    #[default]
    Head,
    /// In the data of a body or chunk, of which `left` bytes are still to come.
    Data { left: u64, chunked: bool },
    /// In the line with the size of a chunk.
    ChunkSize,
    /// At the line break after the data of a chunk.
    ChunkEnd,
    /// In the trailers after the last chunk.
    Trailers,
    /// Bytes are no longer inspected: the connection is HTTP/2 or was already rejected.
    PassThrough,
}

/// Follows the HTTP/1 framing of the bytes that one caller sends.
#[derive(Debug, Default)]
pub struct FramingGuard {
    state: GuardState,
    /// Whether heads behind unanswered requests are kept.
    keeps_heads: bool,
    /// Number of complete heads so far.
    head_count: u64,
    /// Number of requests that have been answered.
    answered: u64,
    /// The current head, if it is kept.
    kept_head: Option<Vec<u8>>,
    pipelined: Vec<PipelinedHead>,
    /// The current line, up to [`LINE_LIMIT`].
    line: Vec<u8>,
    /// Length of the current line, including what is not kept.
    line_length: usize,
    /// The last byte of the current line so far is a carriage return.
    line_ends_with_return: bool,
    /// The request line of the current request has ended.
    request_line_seen: bool,
    /// `Content-Length` of the current request.
    length: Option<u64>,
    /// The current request has a `Transfer-Encoding`.
    chunked: bool,
}

/// Head of a request that arrived while an earlier request was unanswered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PipelinedHead {
    /// Number of requests before it on the connection.
    pub index: u64,
    /// Request line and headers, as received.
    pub bytes: Vec<u8>,
    /// Whether a body follows.
    pub has_body: bool,
}

impl FramingGuard {
    /// Keeps the heads that arrive while a request is unanswered, for
    /// [`take_pipelined`](Self::take_pipelined).
    pub fn keep_heads(&mut self) {
        self.keeps_heads = true;
    }

    /// Sets how many requests have been answered.
    pub fn set_answered(&mut self, answered: u64) {
        self.answered = answered;
    }

    /// Number of complete heads so far.
    pub fn head_count(&self) -> u64 {
        self.head_count
    }

    /// Whether at least one request is unanswered.
    pub fn has_unanswered(&self) -> bool {
        self.head_count > self.answered
    }

    /// Whether the next byte belongs to a head.
    pub fn is_in_head(&self) -> bool {
        self.state == GuardState::Head
    }

    /// Returns the heads kept since the last call.
    pub fn take_pipelined(&mut self) -> Vec<PipelinedHead> {
        std::mem::take(&mut self.pipelined)
    }

    /// Inspects received bytes and makes them invalid where the framing becomes ambiguous.
    pub fn inspect(&mut self, bytes: &mut [u8]) {
        let mut offset = 0;
        while offset < bytes.len() {
            match self.state {
                GuardState::PassThrough => return,
                GuardState::Data { left, chunked } => {
                    offset += self.skip_data(left, chunked, bytes.len() - offset);
                }
                _ => {
                    self.keep_head_byte(bytes[offset]);
                    if !self.process_byte(bytes[offset]) {
                        self.state = GuardState::PassThrough;
                        bytes[offset] = INVALID_BYTE;
                        return;
                    }
                    offset += 1;
                }
            }
        }
    }

    /// Skips as much data as is available; returns the number of bytes skipped.
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

    /// Keeps the byte if it belongs to a head behind an unanswered request.
    fn keep_head_byte(&mut self, byte: u8) {
        if self.state != GuardState::Head {
            return;
        }
        if !self.request_line_seen && self.line_length == 0 {
            let kept = self.keeps_heads && self.has_unanswered();
            self.kept_head = kept.then(Vec::new);
        }
        match &mut self.kept_head {
            Some(head) if head.len() < PIPELINED_HEAD_LIMIT => head.push(byte),
            _ => self.kept_head = None,
        }
    }

    /// Processes a byte of a line; `false` if it ends a line that makes the framing
    /// ambiguous.
    fn process_byte(&mut self, byte: u8) -> bool {
        if byte != b'\n' {
            self.line_length += 1;
            self.line_ends_with_return = byte == b'\r';
            if self.line.len() < LINE_LIMIT {
                self.line.push(byte);
            }
            return true;
        }
        let mut line = std::mem::take(&mut self.line);
        let complete = self.line_length == line.len();
        self.line_length = 0;
        let has_carriage_return = self.line_ends_with_return;
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        // hyper takes a line feed alone for the end of a line in a head, but not in a chunked body.
        let ends_line = has_carriage_return || self.state == GuardState::Head;
        self.line_ends_with_return = false;
        let unambiguous = ends_line && self.process_line(&line, complete);
        line.clear();
        self.line = line;
        unambiguous
    }

    /// Processes a line without its line break. `complete` is false if only its start
    /// was kept. Returns `false` if it makes the framing ambiguous.
    fn process_line(&mut self, line: &[u8], complete: bool) -> bool {
        match self.state {
            GuardState::Head => self.process_head_line(line, complete),
            GuardState::ChunkSize => self.process_chunk_size(line, complete),
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
            GuardState::Data { .. } | GuardState::PassThrough => true,
        }
    }

    fn process_head_line(&mut self, line: &[u8], complete: bool) -> bool {
        if !self.request_line_seen {
            self.request_line_seen = !line.is_empty();
            if line == HTTP2_PREFACE {
                self.state = GuardState::PassThrough;
            }
            return true;
        }
        if line.is_empty() {
            self.finish_head();
            return true;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return true;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            return complete && self.record_content_length(value);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let first_framing_header = !self.chunked && self.length.is_none();
            self.chunked = true;
            return complete && first_framing_header && value.eq_ignore_ascii_case(b"chunked");
        }
        true
    }

    fn record_content_length(&mut self, value: &[u8]) -> bool {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let number = text.and_then(|text| text.parse().ok());
        let first_framing_header = self.length.is_none() && !self.chunked;
        self.length = number;
        first_framing_header && number.is_some()
    }

    /// Chooses the state after the headers: the request's body or the next request.
    fn finish_head(&mut self) {
        let length = self.length.take();
        let chunked = std::mem::take(&mut self.chunked);
        self.request_line_seen = false;
        if let Some(bytes) = self.kept_head.take() {
            self.pipelined.push(PipelinedHead {
                index: self.head_count,
                bytes,
                has_body: chunked || length.is_some_and(|length| length > 0),
            });
        }
        self.head_count += 1;
        self.state = match (chunked, length) {
            (true, _) => GuardState::ChunkSize,
            (false, Some(left)) if left > 0 => GuardState::Data {
                left,
                chunked: false,
            },
            (false, _) => GuardState::Head,
        };
    }

    fn process_chunk_size(&mut self, line: &[u8], complete: bool) -> bool {
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
        complete
    }
}
