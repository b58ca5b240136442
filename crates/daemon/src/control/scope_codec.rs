//! Binary encoding of scope objects as stored on the platform.

use {bytes::Bytes, camphorcove_core::scope::ScopeState};

/// Format version, stored as the first byte; must change whenever the encoding changes.
const FORMAT: u8 = 1;

/// Upper bound of the memory that decoding a scope object may allocate, in bytes.
const DECODED_BYTES_MAX: usize = 64 << 20;

/// Encodes a scope object in a binary format.
///
/// A scope of 4,096 shards takes about 60 kB; as JSON it would take more than half
/// of the platform's limit for an object.
pub fn encode_scope(state: &ScopeState) -> Bytes {
    let mut bytes = vec![FORMAT];
    let result = bincode::encode_into_std_write(state, &mut bytes, bincode::config::standard());
    result.unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
    bytes.into()
}

/// Decodes a scope object; returns `None` if it is corrupt or has another format version.
pub fn decode_scope(bytes: &[u8]) -> Option<ScopeState> {
    let (format, body) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    let config = bincode::config::standard().with_limit::<DECODED_BYTES_MAX>();
    let (state, used) = bincode::decode_from_slice(body, config).ok()?;
    (used == body.len()).then_some(state)
}
