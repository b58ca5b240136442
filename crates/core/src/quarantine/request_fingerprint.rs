//! Identity of a request across its repeats.

use {
    bincode::{Decode, Encode},
    sha2::{Digest, Sha256},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// Bytes of a fingerprint: enough that no two requests share one, by chance or on purpose.
const FINGERPRINT_BYTES: usize = 16;

/// Hash of what stays the same when a caller sends a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// A text is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a fingerprint of 32 hexadecimal digits"))]
pub struct FingerprintError {
    /// Rejected text.
    text: String,
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request with these parts, in this order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // The length keeps parts apart that only together have the same bytes.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Fraction in 0..1 that is even over fingerprints and salts.
    pub fn fraction(self, salt: u64) -> f64 {
        let hash = Self::of(&[&self.0, &salt.to_le_bytes()]);
        let [a, b, c, d, ..] = hash.0;
        f64::from(u32::from_le_bytes([a, b, c, d])) / (f64::from(u32::MAX) + 1.0)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || FingerprintError { text: text.into() };
        if text.len() != FINGERPRINT_BYTES * 2 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[at * 2..at * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}
