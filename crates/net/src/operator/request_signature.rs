//! Signatures of operator requests and the HTTP headers that carry them.

use {
    super::{
        OperatorKey, OperatorSecret, RefusalReason,
        key_ring::{decode_hex, encode_hex},
    },
    hmac::{Hmac, KeyInit, Mac},
    http::HeaderMap,
    sha2::{Digest, Sha256},
};

/// Header with the key id.
pub const KEY_HEADER: &str = "x-camphorcove-key";
/// Header with the wall-clock time in milliseconds since 1970.
pub const TIME_HEADER: &str = "x-camphorcove-time";
/// Header with the nonce: a random number used once, as 32 hexadecimal digits.
pub const NONCE_HEADER: &str = "x-camphorcove-nonce";
/// Header with the SHA-256 of the body, in hex.
pub const BODY_HEADER: &str = "x-camphorcove-body";
/// Header with the signature: HMAC-SHA256 over the method, the target and the values
/// of the other headers, in hex.
pub const SIGNATURE_HEADER: &str = "x-camphorcove-signature";

/// Domain separator, the first signed field: keeps these signatures apart from any
/// other use of the same secret.
const DOMAIN_SEPARATOR: &str = "camphorcove-operator-request-1";

/// Length of a nonce, in bytes.
const NONCE_LENGTH: usize = 16;

/// Method and target of a request, which its signature covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLine<'a> {
    /// HTTP method, upper case.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
}

/// Signature of a request, with the signed values that are sent in headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSignature {
    /// Id of the key that signed the request.
    pub key: String,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_millis: u64,
    /// Random number used once.
    pub nonce: [u8; NONCE_LENGTH],
    /// SHA-256 of the request body.
    pub body: [u8; 32],
    signature: Vec<u8>,
}

/// SHA-256 of a request body.
pub fn body_hash(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

impl RequestSignature {
    /// Signs a request with an operator's key.
    pub fn sign(
        key: &OperatorKey,
        line: RequestLine<'_>,
        body: &[u8],
        wall_millis: u64,
        nonce: [u8; NONCE_LENGTH],
    ) -> Self {
        let mut signed = Self {
            key: key.id.clone(),
            wall_millis,
            nonce,
            body: body_hash(body),
            signature: Vec::new(),
        };
        signed.signature = signed
            .mac(&key.secret, line)
            .finalize()
            .into_bytes()
            .to_vec();
        signed
    }

    /// Reads the signature from the headers of a request.
    pub fn read(headers: &HeaderMap) -> Result<Self, RefusalReason> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let bytes = |name: &str| text(name).and_then(decode_hex);
        let signed = || {
            Some(Self {
                key: text(KEY_HEADER)?.to_owned(),
                wall_millis: text(TIME_HEADER)?.parse().ok()?,
                nonce: bytes(NONCE_HEADER)?.try_into().ok()?,
                body: bytes(BODY_HEADER)?.try_into().ok()?,
                signature: bytes(SIGNATURE_HEADER)?,
            })
        };
        signed().ok_or(RefusalReason::Unsigned)
    }

    /// Returns the headers that carry the signature.
    pub fn headers(&self) -> [(&'static str, String); 5] {
        [
            (KEY_HEADER, self.key.clone()),
            (TIME_HEADER, self.wall_millis.to_string()),
            (NONCE_HEADER, encode_hex(&self.nonce)),
            (BODY_HEADER, encode_hex(&self.body)),
            (SIGNATURE_HEADER, encode_hex(&self.signature)),
        ]
    }

    /// Whether the signature was made with this secret over this request line. The
    /// comparison takes constant time.
    pub fn matches(&self, secret: &OperatorSecret, line: RequestLine<'_>) -> bool {
        self.mac(secret, line).verify_slice(&self.signature).is_ok()
    }

    /// Computes the HMAC of all signed fields, each followed by a line feed. No field
    /// can contain a line feed, so different fields never yield the same input.
    fn mac(&self, secret: &OperatorSecret, line: RequestLine<'_>) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.bytes())
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        let fields = [
            DOMAIN_SEPARATOR,
            line.method,
            line.target,
            &self.key,
            &self.wall_millis.to_string(),
            &encode_hex(&self.nonce),
            &encode_hex(&self.body),
        ];
        for field in fields {
            mac.update(field.as_bytes());
            mac.update(b"\n");
        }
        mac
    }
}
