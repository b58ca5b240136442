//! Encoding and decoding of control messages, with limits on size and memory.

use {
    super::PeerError,
    bytes::Bytes,
    http_body::Body,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    std::error::Error,
};

/// Maximum length of a frame, that is, an authentication tag and a message body.
pub const FRAME_BYTES_MAX: usize = 4 << 20;

/// Maximum memory that a decoded message may take, in bytes.
///
/// Bincode checks each encoded length against it before it allocates. A routing map
/// takes up to about three times its encoded size once decoded.
const DECODED_BYTES_MAX: usize = 16 << 20;

/// Encodes a message body.
pub fn encode<M: bincode::Encode>(message: &M) -> Vec<u8> {
    bincode::encode_to_vec(message, bincode::config::standard())
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"))
}

/// Decodes a message body; bytes after its end are an error.
pub fn decode<M: bincode::Decode<()>>(bytes: &[u8]) -> Result<M, PeerError> {
    let config = bincode::config::standard().with_limit::<DECODED_BYTES_MAX>();
    let (message, consumed) =
        bincode::decode_from_slice(bytes, config).map_err(|_| PeerError::Malformed {
            what: "body cannot be decoded as a message of this kind",
        })?;
    if consumed != bytes.len() {
        return Err(PeerError::Malformed {
            what: "extra bytes after the message",
        });
    }
    Ok(message)
}

/// Reads a whole HTTP body; fails if it is longer than `limit` bytes.
pub async fn read_frame<B>(body: B, limit: usize) -> Result<Bytes, PeerError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let limited = Limited::new(body, limit);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(PeerError::TooLarge { limit }),
        Err(error) => Err(PeerError::NoResponse {
            reason: error.to_string(),
        }),
    }
}
