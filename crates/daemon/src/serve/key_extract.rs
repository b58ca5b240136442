//! Extraction of the key that selects a request's shard.
//!
//! Keys are percent-decoded, as servers do: two encodings of one key must lead to the same owner.

use {
    camphorcove_core::{conf::KeySource, outcome::ResultCode},
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
        let decoded = decode(segment, false).unwrap_or_default();
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
    decode(segment, false)
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
        if decode(key, true)? != name.as_bytes() {
            continue;
        }
        if found.is_some() {
            return Err(ResultCode::BadRequest);
        }
        found = Some(decode(value, true)?);
    }
    found.ok_or(ResultCode::BadRequest)
}

/// Decodes `%XX`, and `+` as a space if `plus_is_space`, as in queries.
fn decode(text: &str, plus_is_space: bool) -> Result<Vec<u8>, ResultCode> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let high = hex_value(bytes.next())?;
                let low = hex_value(bytes.next())?;
                decoded.push(high << 4 | low);
            }
            b'+' if plus_is_space => decoded.push(b' '),
            other => decoded.push(other),
        }
    }
    Ok(decoded)
}

fn hex_value(byte: Option<u8>) -> Result<u8, ResultCode> {
    let digit = char::from(byte.ok_or(ResultCode::BadRequest)?)
        .to_digit(16)
        .ok_or(ResultCode::BadRequest)?;
    u8::try_from(digit).map_err(|_| ResultCode::BadRequest)
}
