//! Message authentication between peers.
//!
//! The code covers kind, sender, receiver, the sender's start nonce, the
//! session that the receiver drew for the connection, the counter and the body.
//! The session makes a message recorded on one connection worthless on any
//! other, also after the receiver restarted and lost its counters.

use {
    super::PeerError,
    camphorcove_core::ids::HostId,
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::{fmt, sync::Arc},
};

/// Shortest accepted key, in bytes.
pub const KEY_BYTES_MIN: usize = 32;

/// Length of an encoded [`AuthTag`], in bytes.
pub const TAG_BYTES: usize = 56;

/// Counters behind the highest one that are still accepted, once each.
const WINDOW: u64 = 1_024;
const WORDS: usize = (WINDOW / 64) as usize;

/// Key shared by all hosts of a region.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8]>);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Key from raw bytes; `None` if there are fewer than [`KEY_BYTES_MIN`].
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= KEY_BYTES_MIN).then(|| Self(bytes.into()))
    }

    /// Key from text in hexadecimal; white space at the ends is ignored.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.trim().as_bytes();
        if !digits.len().is_multiple_of(2) {
            return None;
        }
        let mut bytes = Vec::with_capacity(digits.len() / 2);
        for pair in digits.chunks_exact(2) {
            bytes.push(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?);
        }
        Self::new(&bytes)
    }

    /// Authenticates a message.
    pub fn seal(&self, scope: &AuthScope<'_>, body: &[u8]) -> AuthTag {
        let code = self.code(scope, body).finalize().into_bytes().into();
        AuthTag {
            nonce: scope.nonce,
            session: scope.session,
            counter: scope.counter,
            code,
        }
    }

    /// Whether `code` authenticates a message; takes the same time for any code.
    pub fn verify(&self, scope: &AuthScope<'_>, body: &[u8], code: &[u8; 32]) -> bool {
        self.code(scope, body).verify_slice(code).is_ok()
    }

    fn code(&self, scope: &AuthScope<'_>, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|error| unreachable!("HMAC takes keys of any length: {error}"));
        let texts = [scope.kind, scope.sender.as_str(), scope.receiver.as_str()];
        for text in texts {
            mac.update(&(text.len() as u64).to_le_bytes());
            mac.update(text.as_bytes());
        }
        for number in [scope.nonce, scope.session, scope.counter] {
            mac.update(&number.to_le_bytes());
        }
        mac.update(body);
        mac
    }
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit)
        .to_digit(16)
        .and_then(|value| u8::try_from(value).ok())
}

/// What a code covers besides the body.
#[derive(Clone, Copy, Debug)]
pub struct AuthScope<'a> {
    /// Kind of message, with `.reply` for replies.
    pub kind: &'a str,
    /// Sending host.
    pub sender: &'a HostId,
    /// Receiving host.
    pub receiver: &'a HostId,
    /// Drawn by the client when its process started.
    pub nonce: u64,
    /// Drawn by the server when the connection opened; 0 before it is known.
    pub session: u64,
    /// Number of the request in the client's process.
    pub counter: u64,
}

/// Numbers and code that travel with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthTag {
    /// Client's start nonce.
    pub nonce: u64,
    /// Session of the connection.
    pub session: u64,
    /// Number of the request.
    pub counter: u64,
    /// HMAC-SHA256.
    pub code: [u8; 32],
}

impl AuthTag {
    /// Fixed-length encoding.
    pub fn encode(&self) -> [u8; TAG_BYTES] {
        let mut bytes = [0; TAG_BYTES];
        bytes[0..8].copy_from_slice(&self.nonce.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.session.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.counter.to_le_bytes());
        bytes[24..].copy_from_slice(&self.code);
        bytes
    }

    /// Splits a frame into its tag and body.
    pub fn split(frame: &[u8]) -> Result<(Self, &[u8]), PeerError> {
        let (head, body) = frame
            .split_first_chunk::<TAG_BYTES>()
            .ok_or(PeerError::Malformed {
                what: "frame shorter than its tag",
            })?;
        let number = |at: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&head[at..at + 8]);
            u64::from_le_bytes(bytes)
        };
        let mut code = [0; 32];
        code.copy_from_slice(&head[24..]);
        let tag = Self {
            nonce: number(0),
            session: number(8),
            counter: number(16),
            code,
        };
        Ok((tag, body))
    }
}

/// Accepts each counter of a connection once.
///
/// Requests of one connection may arrive in any order, so a window of counters
/// behind the highest one is remembered; older ones are refused.
#[derive(Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WORDS],
}

impl ReplayWindow {
    /// Whether `counter` is new; it is remembered if so.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter == 0 || counter.saturating_add(WINDOW) <= self.highest {
            return false;
        }
        if counter > self.highest {
            self.advance(counter);
        }
        let (word, bit) = Self::place(counter);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn advance(&mut self, counter: u64) {
        if counter - self.highest >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for passed in self.highest + 1..=counter {
                let (word, bit) = Self::place(passed);
                self.seen[word] &= !bit;
            }
        }
        self.highest = counter;
    }

    fn place(counter: u64) -> (usize, u64) {
        let slot = counter % WINDOW;
        ((slot / 64) as usize, 1 << (slot % 64))
    }
}
