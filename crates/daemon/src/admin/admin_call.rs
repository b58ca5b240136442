//! Authenticated operator requests and the replies to them.

use {
    bytes::Bytes,
    camphorcove_net::operator::{ApiCode, ApiError, QueryMap},
    http::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, str::FromStr},
};

/// An operator request whose signature, time and nonce were accepted.
#[derive(Clone, Debug)]
pub struct AdminCall {
    /// Key id of the operator who signed the request.
    pub actor: String,
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Decoded query parameters.
    pub query: QueryMap,
    /// Request body, whose hash the signature covers.
    pub body: Bytes,
}

/// Body of a successful response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AdminReply {
    /// A JSON document.
    Json(Bytes),
    /// Plain text, such as a configuration file.
    Text(String),
}

/// Result of handling a request.
pub(super) type AdminResult = Result<AdminReply, ApiError>;

impl AdminCall {
    /// Returns a required query parameter.
    pub(super) fn required(&self, name: &str) -> Result<&str, ApiError> {
        let missing = || malformed(format!("query parameter {name} is missing"));
        self.query.get(name).ok_or_else(missing)
    }

    /// Returns a required query parameter, parsed.
    pub(super) fn parsed<T: FromStr<Err: fmt::Display>>(&self, name: &str) -> Result<T, ApiError> {
        let text = self.required(name)?;
        let wrong = |error| malformed(format!("query parameter {name}: {error}"));
        text.parse().map_err(wrong)
    }

    /// Returns an optional query parameter, parsed; an error if it is present but
    /// invalid.
    pub(super) fn optional<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &str,
    ) -> Result<Option<T>, ApiError> {
        match self.query.get(name) {
            None => Ok(None),
            Some(_) => self.parsed(name).map(Some),
        }
    }

    /// Decodes the body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        serde_json::from_slice(&self.body).map_err(|error| malformed(format!("body: {error}")))
    }

    /// Returns the body as UTF-8 text.
    pub(super) fn text(&self) -> Result<&str, ApiError> {
        std::str::from_utf8(&self.body).map_err(|error| malformed(format!("body: {error}")))
    }
}

/// Creates the error for a malformed request.
pub(super) fn malformed(error: impl Into<String>) -> ApiError {
    ApiError::new(ApiCode::Malformed, error)
}

/// Creates a reply with a JSON body.
pub(super) fn json_reply<T: Serialize>(value: &T) -> AdminResult {
    let body = serde_json::to_vec(value)
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
    Ok(AdminReply::Json(body.into()))
}

/// Maximum length of the reason that an operator states for the audit trail, in bytes.
const REASON_LIMIT: usize = 500;

/// Checks the length of a reason for the audit trail.
pub(super) fn check_reason(reason: &str) -> Result<(), ApiError> {
    if reason.len() > REASON_LIMIT {
        let text = format!("the reason has more than {REASON_LIMIT} bytes");
        return Err(malformed(text));
    }
    Ok(())
}
