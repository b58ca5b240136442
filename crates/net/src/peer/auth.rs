//! Message authentication between peers.
//!
//! Every message carries a message authentication code (MAC). It covers the kind
//! of message, sender, receiver, the nonce of the client's process, the session
//! number that the receiver generated for the connection, the counter and the body.
//! Because of the session number, a message recorded on one connection cannot be
//! replayed on another one, even after the receiver restarted and lost its counters.

use {
    super::PeerError,
    camphorcove_core::ids::HostId,
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::{fmt, sync::Arc},
};

/// Minimum length of a key, in bytes.
pub const KEY_BYTES_MIN: usize = 32;

/// Length of an encoded [`AuthTag`], in bytes.
pub const TAG_BYTES: usize = 56;

/// Size of the replay window: a counter that is behind the highest one by less than
/// this is still accepted, once.
const REPLAY_WINDOW: u64 = 1_024;
/// Length of the window's bitmap, in 64-bit words.
const WINDOW_WORDS: usize = (REPLAY_WINDOW / 64) as usize;

/// Secret key shared by all hosts of a region.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8]>);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Creates a key from raw bytes; `None` if there are fewer than [`KEY_BYTES_MIN`].
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= KEY_BYTES_MIN).then(|| Self(bytes.into()))
    }

    /// Creates a key from hexadecimal text; white space at the ends is ignored.
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

    /// Computes the tag that authenticates a message.
    pub fn sign(&self, context: &AuthContext<'_>, body: &[u8]) -> AuthTag {
        let mac = self.mac(context, body).finalize().into_bytes().into();
        AuthTag {
            nonce: context.nonce,
            session: context.session,
            counter: context.counter,
            mac,
        }
    }

    /// Whether `mac` authenticates a message. The comparison takes constant time, so
    /// that response times reveal nothing about the right value.
    pub fn verify(&self, context: &AuthContext<'_>, body: &[u8], mac: &[u8; 32]) -> bool {
        self.mac(context, body).verify_slice(mac).is_ok()
    }

    /// HMAC over context and body. Each text is preceded by its length, so that no byte
    /// can move from one to the next.
    fn mac(&self, context: &AuthContext<'_>, body: &[u8]) -> Hmac<Sha256> {
        let mut hasher = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|error| unreachable!("HMAC takes keys of any length: {error}"));
        let texts = [
            context.kind,
            context.sender.as_str(),
            context.receiver.as_str(),
        ];
        for text in texts {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        for number in [context.nonce, context.session, context.counter] {
            hasher.update(&number.to_le_bytes());
        }
        hasher.update(body);
        hasher
    }
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit)
        .to_digit(16)
        .and_then(|value| u8::try_from(value).ok())
}

/// Properties of a message that its MAC covers in addition to the body.
#[derive(Clone, Copy, Debug)]
pub struct AuthContext<'a> {
    /// Kind of message; `.reply` is appended for replies.
    pub kind: &'a str,
    /// Sending host.
    pub sender: &'a HostId,
    /// Receiving host.
    pub receiver: &'a HostId,
    /// Random number that the client's process generated at its start.
    pub nonce: u64,
    /// Session number that the server generated for the connection; 0 in the first
    /// message, which asks for it.
    pub session: u64,
    /// Counter of the request, unique in the client's process.
    pub counter: u64,
}

/// Sent in front of each message body to authenticate it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthTag {
    /// Nonce of the client's process.
    pub nonce: u64,
    /// Session number of the connection.
    pub session: u64,
    /// Counter of the request.
    pub counter: u64,
    /// HMAC-SHA256 over an [`AuthContext`] and the body.
    pub mac: [u8; 32],
}

impl AuthTag {
    /// Encodes the numbers as little-endian, followed by the MAC.
    pub fn encode(&self) -> [u8; TAG_BYTES] {
        let mut bytes = [0; TAG_BYTES];
        bytes[0..8].copy_from_slice(&self.nonce.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.session.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.counter.to_le_bytes());
        bytes[24..].copy_from_slice(&self.mac);
        bytes
    }

    /// Splits a frame into its tag and body.
    pub fn split(frame: &[u8]) -> Result<(Self, &[u8]), PeerError> {
        let (head, body) = frame
            .split_first_chunk::<TAG_BYTES>()
            .ok_or(PeerError::Malformed {
                what: "frame shorter than its tag",
            })?;
        let read_u64 = |offset: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&head[offset..offset + 8]);
            u64::from_le_bytes(bytes)
        };
        let mut mac = [0; 32];
        mac.copy_from_slice(&head[24..]);
        let tag = Self {
            nonce: read_u64(0),
            session: read_u64(8),
            counter: read_u64(16),
            mac,
        };
        Ok((tag, body))
    }
}

/// Detects replayed messages by accepting each counter of a connection once.
///
/// Requests on one connection may arrive out of order, so a bitmap records which of
/// the counters just behind the highest one were seen. Older counters are refused.
#[derive(Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Whether `counter` is inside the window and new. Records it as seen.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter == 0 || counter.saturating_add(REPLAY_WINDOW) <= self.highest {
            return false;
        }
        if counter > self.highest {
            self.advance(counter);
        }
        let (word, bit) = Self::bit_position(counter);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    /// Moves the window forward and marks the counters that enter it as not seen.
    fn advance(&mut self, counter: u64) {
        if counter - self.highest >= REPLAY_WINDOW {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for entering in self.highest + 1..=counter {
                let (word, bit) = Self::bit_position(entering);
                self.seen[word] &= !bit;
            }
        }
        self.highest = counter;
    }

    /// Word of the bitmap and mask of the bit that stand for `counter`.
    fn bit_position(counter: u64) -> (usize, u64) {
        let slot = counter % REPLAY_WINDOW;
        ((slot / 64) as usize, 1 << (slot % 64))
    }
}
