//! Encoding of messages, with limits on what is decoded.

use {
    super::PeerError,
    bytes::Bytes,
    http_body::Body,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    std::error::Error,
};

/// Largest frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 4 << 20;

/// Largest memory that a decoded message may claim, in bytes.
///
/// Bincode checks each length against it before it allocates. Decoded maps take
/// up to about three times their encoded size.
const DECODED_BYTES_MAX: usize = 16 << 20;

/// Encodes a message.
pub fn encode<M: bincode::Encode>(message: &M) -> Vec<u8> {
    bincode::encode_to_vec(message, bincode::config::standard())
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"))
}

/// Decodes a message; bytes after its end are an error.
pub fn decode<M: bincode::Decode<()>>(bytes: &[u8]) -> Result<M, PeerError> {
    let config = bincode::config::standard().with_limit::<DECODED_BYTES_MAX>();
    let (message, used) =
        bincode::decode_from_slice(bytes, config).map_err(|_| PeerError::Malformed {
            what: "body is not a message of this kind",
        })?;
    if used != bytes.len() {
        return Err(PeerError::Malformed {
            what: "bytes after the message",
        });
    }
    Ok(message)
}

/// Reads a body up to a limit in bytes.
pub async fn read_frame<B>(body: B, limit: usize) -> Result<Bytes, PeerError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let limited = Limited::new(body, limit);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(PeerError::TooLarge { limit }),
        Err(error) => Err(PeerError::NoAnswer {
            reason: error.to_string(),
        }),
    }
}
