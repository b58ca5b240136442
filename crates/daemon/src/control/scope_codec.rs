//! Encoding of scope objects.

use {bytes::Bytes, camphorcove_core::scope::ScopeState};

/// First byte of the encoding; changes with its format.
const FORMAT: u8 = 1;

/// Largest memory a decoded scope object may claim, in bytes.
const DECODED_BYTES_MAX: usize = 64 << 20;

/// Encodes a scope object.
///
/// 4,096 shards take about 60 kB; as JSON they would exceed half of the
/// platform's limit.
pub fn encode_scope(state: &ScopeState) -> Bytes {
    let mut bytes = vec![FORMAT];
    let result = bincode::encode_into_std_write(state, &mut bytes, bincode::config::standard());
    result.unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
    bytes.into()
}

/// Decodes a scope object; `None` if it is damaged or of another format.
pub fn decode_scope(bytes: &[u8]) -> Option<ScopeState> {
    let (format, body) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    let config = bincode::config::standard().with_limit::<DECODED_BYTES_MAX>();
    let (state, used) = bincode::decode_from_slice(body, config).ok()?;
    (used == body.len()).then_some(state)
}
