//! Paths, headers and bodies of the platform's HTTP protocol (docs/platform-protocol.md).

use {crate::http::percent::decode_text, bytes::Bytes};

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

/// Decoded value of a query parameter; `None` if it is absent or wrongly encoded.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    for pair in query?.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return decode_text(value);
        }
    }
    None
}

/// Serializes a value as a JSON body.
pub fn json_body<T: serde::Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(value).map(Bytes::from)
}
