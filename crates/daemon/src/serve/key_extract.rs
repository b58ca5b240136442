//! Extraction of the key that selects a request's shard.
//!
//! Keys are percent-decoded, as servers do: two encodings of one key must lead to the same owner.

use {
    camphorcove_core::{conf::KeySource, outcome::ResultCode},
    camphorcove_net::http::percent::decode,
    http::{HeaderMap, uri::PathAndQuery},
};

/// Extracts the key of a request; fails if it is absent, empty, repeated or malformed.
pub fn extract_key(
    source: &KeySource,
    path: &PathAndQuery,
    headers: &HeaderMap,
) -> Result<Vec<u8>, ResultCode> {
    let key = match source {
        KeySource::Path { segment } => path_segment(path.path(), *segment)?,
        KeySource::Header { name } => header_value(headers, name)?,
        KeySource::Query { name } => query_value(path.query().unwrap_or(""), name)?,
    };
    if key.is_empty() {
        Err(ResultCode::BadRequest)
    } else {
        Ok(key)
    }
}

/// Whether a path has `.` or `..` segments, plain or percent-encoded, which a server could resolve
/// to another path.
pub fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = decode_path(segment).unwrap_or_default();
        decoded == b"." || decoded == b".."
    })
}

fn path_segment(path: &str, index: u32) -> Result<Vec<u8>, ResultCode> {
    let index = usize::try_from(index).map_err(|_| ResultCode::BadRequest)?;
    let segments = path
        .strip_prefix('/')
        .ok_or(ResultCode::BadRequest)?
        .split('/');
    let segment = segments
        .into_iter()
        .nth(index)
        .ok_or(ResultCode::BadRequest)?;
    decode_path(segment)
}

fn header_value(headers: &HeaderMap, name: &str) -> Result<Vec<u8>, ResultCode> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().ok_or(ResultCode::BadRequest)?;
    match values.next() {
        None => Ok(value.as_bytes().trim_ascii().to_vec()),
        Some(_) => Err(ResultCode::BadRequest),
    }
}

fn query_value(query: &str, name: &str) -> Result<Vec<u8>, ResultCode> {
    let mut found = None;
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if decode_query(key)? != name.as_bytes() {
            continue;
        }
        if found.is_some() {
            return Err(ResultCode::BadRequest);
        }
        found = Some(decode_query(value)?);
    }
    found.ok_or(ResultCode::BadRequest)
}

/// Decodes a part of a path.
fn decode_path(text: &str) -> Result<Vec<u8>, ResultCode> {
    let decoded = decode(text).ok_or(ResultCode::BadRequest)?;
    Ok(decoded.into_owned())
}

/// Decodes a part of a query, in which `+` is a space.
fn decode_query(text: &str) -> Result<Vec<u8>, ResultCode> {
    decode_path(&text.replace('+', " "))
}
