//! Paths, headers and bodies of the platform's HTTP protocol (docs/platform-protocol.md).

use {bytes::Bytes, std::fmt::Write};

/// Response header with the version of the object read or written.
pub const VERSION_HEADER: &str = "x-object-version";

/// Path prefix of objects; followed by the percent-encoded key.
pub const OBJECT_PATH: &str = "/objects/";

/// Path that lists keys with a prefix.
pub const LIST_PATH: &str = "/list";

/// Path that waits for changes of keys with a prefix.
pub const WATCH_PATH: &str = "/watch";

/// Path of the list of the region's hosts.
pub const HOSTS_PATH: &str = "/hosts";

/// Largest value the platform stores, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Key and version of an object, as encoded in list and watch responses.
pub type KeyVersion = (String, u64);

/// Body of a watch response.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WatchBody {
    /// Position to pass to the next watch call.
    pub position: u64,
    /// Keys of the changed objects with their newest versions.
    pub events: Vec<KeyVersion>,
}

/// Percent-encodes text for a path or a query value; `/` and `:` are not encoded.
pub fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte) {
            encoded.push(char::from(byte));
            continue;
        }
        // Writing to a string cannot fail.
        let _ = write!(encoded, "%{byte:02X}");
    }
    encoded
}

/// Reverses [`encode`]; `None` for an invalid escape or if the result is not UTF-8.
pub fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        if first != b'%' {
            bytes.push(first);
            rest = tail;
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}

/// Decoded value of a query parameter; `None` if it is absent or wrongly encoded.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    for pair in query?.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return decode(value);
        }
    }
    None
}

/// Serializes a value as a JSON body.
pub fn json_body<T: serde::Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(value).map(Bytes::from)
}
