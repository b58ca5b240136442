//! Builds replies and reads request bodies.

use {
    super::{ConnectionAborted, Reply},
    bytes::Bytes,
    http::{Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
};

/// Reply with a text body.
pub fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

/// Reply with a JSON body.
pub fn json_reply<T: Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut reply = text_reply(StatusCode::OK, body);
            let content_type = http::HeaderValue::from_static("application/json");
            reply.headers_mut().insert(CONTENT_TYPE, content_type);
            reply
        }
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads a complete body; fails if the sender disconnects before its end.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, ConnectionAborted> {
    match request.into_body().collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(ConnectionAborted),
    }
}

/// Reads a JSON body; the inner error is the reply to invalid JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, Reply>, ConnectionAborted> {
    let body = read_body(request).await?;
    let parsed = serde_json::from_slice(&body);
    Ok(parsed.map_err(|error| text_reply(StatusCode::BAD_REQUEST, error.to_string())))
}

/// Returns `base` with the fields in `patch` replaced; fails on unknown fields if the
/// type denies them.
pub fn merge_json<T: Serialize + DeserializeOwned>(
    base: &T,
    patch: Value,
) -> Result<T, serde_json::Error> {
    let mut merged = serde_json::to_value(base)?;
    if let (Value::Object(fields), Value::Object(changes)) = (&mut merged, patch) {
        fields.extend(changes);
    }
    serde_json::from_value(merged)
}
