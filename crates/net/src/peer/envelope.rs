//! Authenticated envelope of a forwarded request.
//!
//! The header value is the hexadecimal form of a 32-byte HMAC-SHA256 followed by
//! the bincode encoding of the envelope. The HMAC also covers the request's
//! method and path, so that an envelope cannot be moved to another request.

use {
    super::ForwardEnvelope,
    hmac::{Hmac, KeyInit, Mac},
    http::HeaderValue,
    sha2::Sha256,
    snafu::{OptionExt, ResultExt, Snafu, ensure},
};

/// Bytes of the authentication code.
const MAC_BYTES: usize = 32;

/// Largest accepted encoded envelope; names are limited to 63 bytes each.
const ENVELOPE_LIMIT: usize = 4_096;

/// Separates this use of the key from the key's other uses.
const PURPOSE: &[u8] = b"camphorcove/forward/1";

/// Why an envelope is refused.
#[derive(Debug, Snafu)]
pub enum EnvelopeError {
    /// Not hexadecimal, or of impossible length.
    #[snafu(display("envelope is not a hexadecimal text of acceptable length"))]
    Malformed,
    /// Wrong key, or changed on the way.
    #[snafu(display("envelope fails authentication"))]
    Forged,
    /// Authentic, but of another version of the protocol.
    #[snafu(display("envelope cannot be decoded"))]
    Undecodable {
        /// Decoder's reason.
        source: bincode::error::DecodeError,
    },
    /// The envelope cannot be encoded.
    #[snafu(display("envelope cannot be encoded"))]
    Unencodable {
        /// Encoder's reason.
        source: bincode::error::EncodeError,
    },
}

/// Encodes and authenticates an envelope for a request with this method and path.
pub fn seal(
    key: &[u8],
    envelope: &ForwardEnvelope,
    method: &str,
    path: &str,
) -> Result<HeaderValue, EnvelopeError> {
    let body =
        bincode::encode_to_vec(envelope, bincode::config::standard()).context(UnencodableSnafu)?;
    let code = authenticator(key, &body, method, path)
        .finalize()
        .into_bytes();
    let mut text = String::with_capacity(2 * (MAC_BYTES + body.len()));
    for byte in code.iter().chain(&body) {
        text.push(hex_digit(byte >> 4));
        text.push(hex_digit(byte & 15));
    }
    HeaderValue::from_str(&text).ok().context(MalformedSnafu)
}

/// Verifies and decodes an envelope.
pub fn open(
    key: &[u8],
    value: &HeaderValue,
    method: &str,
    path: &str,
) -> Result<ForwardEnvelope, EnvelopeError> {
    let bytes = from_hex(value.as_bytes()).context(MalformedSnafu)?;
    let (code, body) = bytes.split_at_checked(MAC_BYTES).context(MalformedSnafu)?;
    let verified = authenticator(key, body, method, path).verify_slice(code);
    ensure!(verified.is_ok(), ForgedSnafu);
    let config = bincode::config::standard().with_limit::<ENVELOPE_LIMIT>();
    let (envelope, _) = bincode::decode_from_slice(body, config).context(UndecodableSnafu)?;
    Ok(envelope)
}

fn authenticator(key: &[u8], body: &[u8], method: &str, path: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|error| unreachable!("HMAC accepts keys of any length: {error}"));
    for part in [PURPOSE, method.as_bytes(), path.as_bytes(), body] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        mac.update(&length.to_be_bytes());
        mac.update(part);
    }
    mac
}

fn hex_digit(nibble: u8) -> char {
    char::from_digit(u32::from(nibble), 16).unwrap_or('0')
}

fn from_hex(text: &[u8]) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || text.len() > 2 * (ENVELOPE_LIMIT + MAC_BYTES) {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16);
    text.chunks_exact(2)
        .map(|pair| u8::try_from(digit(pair[0])? << 4 | digit(pair[1])?).ok())
        .collect()
}
