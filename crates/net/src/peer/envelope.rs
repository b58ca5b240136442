//! Authenticated envelope of a forwarded request.
//!
//! The header value is the hexadecimal form of a 32-byte HMAC-SHA256 followed by
//! the bincode encoding of the envelope. The HMAC also covers sender, receiver,
//! method and path, so that an envelope cannot be moved to another request or host.

use {
    super::{AuthScope, ForwardEnvelope, PeerKey},
    camphorcove_core::ids::HostId,
    http::HeaderValue,
    snafu::{OptionExt, ResultExt, Snafu, ensure},
};

/// Bytes of the authentication code.
const MAC_BYTES: usize = 32;

/// Largest accepted encoded envelope; names are limited to 63 bytes each.
const ENVELOPE_LIMIT: usize = 4_096;

/// Kind of message in the authentication code.
const KIND: &str = "forward";

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

/// What an envelope belongs to.
#[derive(Clone, Copy, Debug)]
pub struct EnvelopeScope<'a> {
    /// Host that receives the request.
    pub receiver: &'a HostId,
    /// Method of the caller's request.
    pub method: &'a str,
    /// Path and query of the caller's request.
    pub path: &'a str,
}

/// Encodes and authenticates an envelope.
pub fn seal(
    key: &PeerKey,
    scope: EnvelopeScope<'_>,
    envelope: &ForwardEnvelope,
) -> Result<HeaderValue, EnvelopeError> {
    let body =
        bincode::encode_to_vec(envelope, bincode::config::standard()).context(UnencodableSnafu)?;
    let message = signed_bytes(scope, &body);
    let tag = key.seal(&auth_scope(scope, &envelope.from), &message);
    let mut text = String::with_capacity(2 * (MAC_BYTES + body.len()));
    for byte in tag.code.iter().chain(&body) {
        text.push(hex_digit(byte >> 4));
        text.push(hex_digit(byte & 15));
    }
    HeaderValue::from_str(&text).ok().context(MalformedSnafu)
}

/// Verifies and decodes an envelope.
pub fn open(
    key: &PeerKey,
    scope: EnvelopeScope<'_>,
    value: &HeaderValue,
) -> Result<ForwardEnvelope, EnvelopeError> {
    let bytes = from_hex(value.as_bytes()).context(MalformedSnafu)?;
    let (code, body) = bytes
        .split_first_chunk::<MAC_BYTES>()
        .context(MalformedSnafu)?;
    let config = bincode::config::standard().with_limit::<ENVELOPE_LIMIT>();
    // The claimed sender is part of what is authenticated, so it is decoded first.
    let (envelope, _): (ForwardEnvelope, usize) =
        bincode::decode_from_slice(body, config).context(UndecodableSnafu)?;
    let message = signed_bytes(scope, body);
    let verified = key.verify(&auth_scope(scope, &envelope.from), &message, code);
    ensure!(verified, ForgedSnafu);
    Ok(envelope)
}

fn auth_scope<'a>(scope: EnvelopeScope<'a>, sender: &'a HostId) -> AuthScope<'a> {
    AuthScope {
        kind: KIND,
        sender,
        receiver: scope.receiver,
        nonce: 0,
        session: 0,
        counter: 0,
    }
}

/// Method, path and envelope, each with its length.
fn signed_bytes(scope: EnvelopeScope<'_>, body: &[u8]) -> Vec<u8> {
    let parts = [scope.method.as_bytes(), scope.path.as_bytes(), body];
    let mut message = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
    for part in parts {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        message.extend_from_slice(&length.to_be_bytes());
        message.extend_from_slice(part);
    }
    message
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
