//! Stores configuration content in parts that fit the platform's value limit.

use {
    super::{RepoError, VALUE_LIMIT, archive::create_immutable, repo_error::*},
    crate::platform::{ObjectKey, ObjectStore},
    bytes::Bytes,
    sha2::{Digest, Sha256},
    snafu::ensure,
    std::fmt::Write,
};

/// Maximum size of a configuration, in bytes: a whole configuration must also fit
/// into one frame between hosts, which is limited to 4 MB.
pub const CONTENT_LIMIT: usize = 3_000_000;

/// SHA-256 of the content, in lower-case hex.
pub fn content_hash(content: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(content) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn part_key(hash: &str) -> ObjectKey {
    ObjectKey::new(format!("config/part/{hash}"))
}

/// Key of the manifest, which lists the part hashes of content with several parts.
fn manifest_key(hash: &str) -> ObjectKey {
    ObjectKey::new(format!("config/manifest/{hash}"))
}

/// Uploads content in parts and returns their hashes in order.
pub(super) async fn upload<S: ObjectStore>(
    store: &S,
    content: &str,
) -> Result<Vec<String>, RepoError> {
    let (what, size, limit) = ("the file", content.len(), CONTENT_LIMIT);
    ensure!(size <= limit, TooLargeSnafu { what, size, limit });
    let mut hashes = Vec::new();
    for part in content.as_bytes().chunks(VALUE_LIMIT) {
        let hash = content_hash(part);
        create_immutable(store, &part_key(&hash), Bytes::copy_from_slice(part)).await?;
        hashes.push(hash);
    }
    if hashes.len() > 1 {
        let manifest = serde_json::to_vec(&hashes)
            .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
        let key = manifest_key(&content_hash(content.as_bytes()));
        create_immutable(store, &key, manifest.into()).await?;
    }
    Ok(hashes)
}

/// Looks up the part hashes of content that was uploaded earlier. Content without a
/// manifest consists of a single part whose hash is that of the content.
pub(super) async fn find_parts<S: ObjectStore>(
    store: &S,
    hash: &str,
) -> Result<Vec<String>, RepoError> {
    let key = manifest_key(hash);
    let Some(manifest) = store.get(&key).await? else {
        return Ok(vec![hash.to_owned()]);
    };
    serde_json::from_slice(&manifest.value).map_err(|error| RepoError::Damaged {
        key: key.to_string(),
        reason: error.to_string(),
    })
}

/// Reads the parts of content, joins them and checks the hash of the result.
pub(super) async fn download<S: ObjectStore>(
    store: &S,
    hash: &str,
    parts: &[String],
) -> Result<String, RepoError> {
    let mut content = Vec::new();
    for part in parts {
        let key = part_key(part);
        let stored = store.get(&key).await?;
        let stored = stored.ok_or_else(|| damaged(&key, "a part of the content is missing"))?;
        content.extend_from_slice(&stored.value);
    }
    let key = part_key(hash);
    if content_hash(&content) != hash {
        return Err(damaged(&key, "the content does not have its hash"));
    }
    String::from_utf8(content).map_err(|_| damaged(&key, "the content is not UTF-8"))
}

fn damaged(key: &ObjectKey, reason: &str) -> RepoError {
    RepoError::Damaged {
        key: key.to_string(),
        reason: reason.to_owned(),
    }
}
