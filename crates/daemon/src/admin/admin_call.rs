//! One accepted operator request.

use {
    bytes::Bytes,
    camphorcove_net::operator::{ApiCode, ApiError, QueryMap},
    http::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, str::FromStr},
};

/// One operator request whose signature was accepted.
#[derive(Clone, Debug)]
pub struct AdminCall {
    /// Key id of the operator.
    pub actor: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query parameters.
    pub query: QueryMap,
    /// Body.
    pub body: Bytes,
}

/// Body of a successful answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AdminReply {
    /// JSON.
    Json(Bytes),
    /// Text, such as a configuration file.
    Text(String),
}

/// Result of a request.
pub(super) type AdminResult = Result<AdminReply, ApiError>;

impl AdminCall {
    /// A query parameter that must be present.
    pub(super) fn required(&self, name: &str) -> Result<&str, ApiError> {
        let missing = || malformed(format!("query parameter {name} is missing"));
        self.query.get(name).ok_or_else(missing)
    }

    /// A query parameter that must be present and parse.
    pub(super) fn parsed<T: FromStr<Err: fmt::Display>>(&self, name: &str) -> Result<T, ApiError> {
        let text = self.required(name)?;
        let wrong = |error| malformed(format!("query parameter {name}: {error}"));
        text.parse().map_err(wrong)
    }

    /// A query parameter that must parse if it is present.
    pub(super) fn optional<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &str,
    ) -> Result<Option<T>, ApiError> {
        match self.query.get(name) {
            None => Ok(None),
            Some(_) => self.parsed(name).map(Some),
        }
    }

    /// The body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        serde_json::from_slice(&self.body).map_err(|error| malformed(format!("body: {error}")))
    }

    /// The body as text.
    pub(super) fn text(&self) -> Result<&str, ApiError> {
        std::str::from_utf8(&self.body).map_err(|error| malformed(format!("body: {error}")))
    }
}

/// Error for a malformed request.
pub(super) fn malformed(error: impl Into<String>) -> ApiError {
    ApiError::new(ApiCode::Malformed, error)
}

/// JSON answer.
pub(super) fn json_reply<T: Serialize>(value: &T) -> AdminResult {
    let body = serde_json::to_vec(value)
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
    Ok(AdminReply::Json(body.into()))
}

/// Longest reason accepted for the audit trail, in bytes.
const REASON_LIMIT: usize = 500;

/// Checks a reason for the audit trail.
pub(super) fn check_reason(reason: &str) -> Result<(), ApiError> {
    if reason.len() > REASON_LIMIT {
        let text = format!("the reason has more than {REASON_LIMIT} bytes");
        return Err(malformed(text));
    }
    Ok(())
}
