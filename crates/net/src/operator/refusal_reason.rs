//! Why a signature is not accepted.

use {super::ApiCode, std::fmt};

/// Why a request of an operator was refused before it was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// A header of the signature is missing or malformed.
    Unsigned,
    /// The key id is not known.
    UnknownKey,
    /// The signature does not match.
    WrongSignature,
    /// The time is too far from this host's, or before the host started.
    StaleTime,
    /// The nonce was used before.
    ReplayedNonce,
    /// More valid requests than the nonce table holds.
    TooMany,
    /// The body does not have the signed hash.
    WrongBody,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Unsigned,
        Self::UnknownKey,
        Self::WrongSignature,
        Self::StaleTime,
        Self::ReplayedNonce,
        Self::TooMany,
        Self::WrongBody,
    ];

    /// Name in metrics, logs and audit records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unsigned => "unsigned",
            Self::UnknownKey => "unknown_key",
            Self::WrongSignature => "wrong_signature",
            Self::StaleTime => "stale_time",
            Self::ReplayedNonce => "replayed_nonce",
            Self::TooMany => "too_many",
            Self::WrongBody => "wrong_body",
        }
    }

    /// Code in the answer.
    pub fn code(self) -> ApiCode {
        match self {
            Self::Unsigned => ApiCode::Unsigned,
            Self::UnknownKey => ApiCode::UnknownKey,
            Self::WrongSignature => ApiCode::WrongSignature,
            Self::StaleTime => ApiCode::StaleTime,
            Self::ReplayedNonce => ApiCode::ReplayedNonce,
            Self::TooMany => ApiCode::TooMany,
            Self::WrongBody => ApiCode::WrongBody,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}
