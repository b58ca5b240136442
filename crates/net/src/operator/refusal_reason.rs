//! Reasons for refusing a request before it is carried out.

use {super::ApiCode, std::fmt};

/// Reason why the authentication of an operator request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// One of the signature headers is missing or malformed.
    Unsigned,
    /// The host has no key with this id.
    UnknownKey,
    /// The signature was not made with this key over this request.
    WrongSignature,
    /// The time differs too much from this host's clock or lies before the start of
    /// the process.
    StaleTime,
    /// The nonce was already used with this key.
    ReplayedNonce,
    /// The nonce table is full: too many valid requests within the time window.
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

    /// Result code of the error response.
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
