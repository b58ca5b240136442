//! Authenticated envelope of a forwarded request.
//!
//! The header value is a 32-byte HMAC-SHA256 followed by the bincode encoding of the
//! envelope, both as hexadecimal text. The HMAC also covers sender, receiver, method
//! and path, so that an envelope cannot be reused for another request or host.

use {
    super::{AuthContext, ForwardEnvelope, PeerKey},
    camphorcove_core::ids::HostId,
    http::HeaderValue,
    snafu::{OptionExt, ResultExt, Snafu, ensure},
};

/// Length of the HMAC, in bytes.
const MAC_BYTES: usize = 32;

/// Maximum length of an encoded envelope, in bytes; each name in it takes at most 63.
const ENVELOPE_LIMIT: usize = 4_096;

/// Kind of message in the HMAC, so that it is not valid for a control message.
const KIND: &str = "forward";

/// Why an envelope could not be made or is refused.
#[derive(Debug, Snafu)]
pub enum EnvelopeError {
    /// The text is not hexadecimal, too short to hold an HMAC, or too long.
    #[snafu(display("envelope is not a hexadecimal text of acceptable length"))]
    Malformed,
    /// The HMAC does not match: another key, or envelope or request were altered.
    #[snafu(display("envelope fails authentication"))]
    Forged,
    /// The content is not an envelope, for example because the sender runs another
    /// version of the protocol. Checked before authentication.
    #[snafu(display("envelope cannot be decoded"))]
    Undecodable {
        /// Error of the decoder.
        source: bincode::error::DecodeError,
    },
    /// The envelope cannot be encoded.
    #[snafu(display("envelope cannot be encoded"))]
    Unencodable {
        /// Error of the encoder.
        source: bincode::error::EncodeError,
    },
}

/// The request and receiving host that an envelope is valid for.
#[derive(Clone, Copy, Debug)]
pub struct EnvelopeContext<'a> {
    /// Host that receives the request.
    pub receiver: &'a HostId,
    /// Method of the caller's request.
    pub method: &'a str,
    /// Path and query of the caller's request.
    pub path: &'a str,
}

/// Encodes an envelope with its HMAC as a header value.
pub fn sign_envelope(
    key: &PeerKey,
    envelope_context: EnvelopeContext<'_>,
    envelope: &ForwardEnvelope,
) -> Result<HeaderValue, EnvelopeError> {
    let body =
        bincode::encode_to_vec(envelope, bincode::config::standard()).context(UnencodableSnafu)?;
    let message = authenticated_bytes(envelope_context, &body);
    let tag = key.sign(&auth_context(envelope_context, &envelope.from), &message);
    let mut text = String::with_capacity(2 * (MAC_BYTES + body.len()));
    for byte in tag.mac.iter().chain(&body) {
        text.push(hex_digit(byte >> 4));
        text.push(hex_digit(byte & 15));
    }
    HeaderValue::from_str(&text).ok().context(MalformedSnafu)
}

/// Decodes an envelope and verifies its HMAC.
pub fn verify_envelope(
    key: &PeerKey,
    envelope_context: EnvelopeContext<'_>,
    value: &HeaderValue,
) -> Result<ForwardEnvelope, EnvelopeError> {
    let bytes = from_hex(value.as_bytes()).context(MalformedSnafu)?;
    let (mac, body) = bytes
        .split_first_chunk::<MAC_BYTES>()
        .context(MalformedSnafu)?;
    let config = bincode::config::standard().with_limit::<ENVELOPE_LIMIT>();
    // The HMAC covers the sender named in the envelope, so the envelope is decoded
    // before it is verified.
    let (envelope, _): (ForwardEnvelope, usize) =
        bincode::decode_from_slice(body, config).context(UndecodableSnafu)?;
    let message = authenticated_bytes(envelope_context, body);
    let verified = key.verify(
        &auth_context(envelope_context, &envelope.from),
        &message,
        mac,
    );
    ensure!(verified, ForgedSnafu);
    Ok(envelope)
}

fn auth_context<'a>(envelope_context: EnvelopeContext<'a>, sender: &'a HostId) -> AuthContext<'a> {
    AuthContext {
        kind: KIND,
        sender,
        receiver: envelope_context.receiver,
        nonce: 0,
        session: 0,
        counter: 0,
    }
}

/// Method, path and encoded envelope, each preceded by its length, so that no byte
/// can move from one to the next.
fn authenticated_bytes(envelope_context: EnvelopeContext<'_>, body: &[u8]) -> Vec<u8> {
    let parts = [
        envelope_context.method.as_bytes(),
        envelope_context.path.as_bytes(),
        body,
    ];
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
