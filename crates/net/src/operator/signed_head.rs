//! The signed part of a request.

use {
    super::{
        OperatorKey, OperatorSecret, RefusalReason,
        key_ring::{decode_hex, encode_hex},
    },
    hmac::{Hmac, KeyInit, Mac},
    http::HeaderMap,
    sha2::{Digest, Sha256},
};

/// Key id.
pub const KEY_HEADER: &str = "x-camphorcove-key";
/// Wall-clock time in milliseconds since 1970.
pub const TIME_HEADER: &str = "x-camphorcove-time";
/// Random number used once, 32 hexadecimal digits.
pub const NONCE_HEADER: &str = "x-camphorcove-nonce";
/// SHA-256 of the body, in hex.
pub const BODY_HEADER: &str = "x-camphorcove-body";
/// HMAC-SHA256 of all of the above, in hex.
pub const SIGNATURE_HEADER: &str = "x-camphorcove-signature";

/// Separates these signatures from any other use of the same secret.
const PURPOSE: &str = "camphorcove-operator-request-1";

/// Length of a nonce, in bytes.
const NONCE_LENGTH: usize = 16;

/// Method and target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLine<'a> {
    /// Method, upper case.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
}

/// The signed part of a request, as it travels in headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedHead {
    /// Key id.
    pub key: String,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_millis: u64,
    /// Nonce.
    pub nonce: [u8; NONCE_LENGTH],
    /// SHA-256 of the body.
    pub body: [u8; 32],
    signature: Vec<u8>,
}

/// SHA-256 of a body.
pub fn body_hash(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

impl SignedHead {
    /// Signs a request.
    pub fn sign(
        key: &OperatorKey,
        line: RequestLine<'_>,
        body: &[u8],
        wall_millis: u64,
        nonce: [u8; NONCE_LENGTH],
    ) -> Self {
        let mut head = Self {
            key: key.id.clone(),
            wall_millis,
            nonce,
            body: body_hash(body),
            signature: Vec::new(),
        };
        head.signature = head.mac(&key.secret, line).finalize().into_bytes().to_vec();
        head
    }

    /// Reads the signed part from headers.
    pub fn read(headers: &HeaderMap) -> Result<Self, RefusalReason> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let bytes = |name: &str| text(name).and_then(decode_hex);
        let head = || {
            Some(Self {
                key: text(KEY_HEADER)?.to_owned(),
                wall_millis: text(TIME_HEADER)?.parse().ok()?,
                nonce: bytes(NONCE_HEADER)?.try_into().ok()?,
                body: bytes(BODY_HEADER)?.try_into().ok()?,
                signature: bytes(SIGNATURE_HEADER)?,
            })
        };
        head().ok_or(RefusalReason::Unsigned)
    }

    /// Headers that carry the signed part.
    pub fn headers(&self) -> [(&'static str, String); 5] {
        [
            (KEY_HEADER, self.key.clone()),
            (TIME_HEADER, self.wall_millis.to_string()),
            (NONCE_HEADER, encode_hex(&self.nonce)),
            (BODY_HEADER, encode_hex(&self.body)),
            (SIGNATURE_HEADER, encode_hex(&self.signature)),
        ]
    }

    /// Whether the signature was made with the secret; takes constant time.
    pub fn matches(&self, secret: &OperatorSecret, line: RequestLine<'_>) -> bool {
        self.mac(secret, line).verify_slice(&self.signature).is_ok()
    }

    /// Fields are separated by line feeds, which none of them can contain.
    fn mac(&self, secret: &OperatorSecret, line: RequestLine<'_>) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.bytes())
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        let fields = [
            PURPOSE,
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
