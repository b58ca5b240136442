//! The audit archive: objects that are written once and never changed.

use {
    super::RepoError,
    crate::platform::{ObjectKey, ObjectStore, PutCondition, StoreError},
    bytes::Bytes,
    camphorcove_core::audit::AuditRecord,
};

/// Storage key of the record with this number in an audit stream.
pub fn archive_key(stream: &str, number: u64) -> ObjectKey {
    ObjectKey::new(format!("audit/{stream}/{number}"))
}

/// Limit for the memory that decoding a record may allocate, in bytes: a length in a damaged record
/// could otherwise make the decoder reserve any amount.
const DECODED_BYTES_MAX: usize = 16 << 20;

/// Encodes a record as JSON, so that the archive can be read without this program.
pub fn encode_record(record: &AuditRecord) -> Bytes {
    serde_json::to_vec(record)
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"))
        .into()
}

/// Decodes an archived record from JSON or bincode; `None` if it is neither.
pub fn decode_record(value: &[u8]) -> Option<AuditRecord> {
    if let Ok(record) = serde_json::from_slice(value) {
        return Some(record);
    }
    let config = bincode::config::standard().with_limit::<DECODED_BYTES_MAX>();
    let decoded = bincode::decode_from_slice(value, config);
    let (record, length) = decoded.ok()?;
    (length == value.len()).then_some(record)
}

/// Archives a record; succeeds without a write if it is already archived.
pub async fn archive_record<S: ObjectStore>(
    store: &S,
    stream: &str,
    record: &AuditRecord,
) -> Result<(), RepoError> {
    let key = archive_key(stream, record.number);
    create_immutable(store, &key, encode_record(record)).await
}

/// Number of attempts to create an object while the responses are lost.
const CREATE_ATTEMPTS: u32 = 3;

/// Creates an object whose key determines its content.
///
/// Creating it twice has the same effect as creating it once, so a write whose
/// response was lost is simply repeated. An existing object with other content is
/// reported as damaged.
pub(super) async fn create_immutable<S: ObjectStore>(
    store: &S,
    key: &ObjectKey,
    value: Bytes,
) -> Result<(), RepoError> {
    let mut attempts = 1;
    loop {
        match store.put(key, PutCondition::Absent, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { .. }) => return check_stored(store, key, &value).await,
            Err(StoreError::Unknown { .. }) if attempts < CREATE_ATTEMPTS => attempts += 1,
            Err(error) => return Err(error.into()),
        }
    }
}

/// Checks that the existing object has the value that was to be written.
async fn check_stored<S: ObjectStore>(
    store: &S,
    key: &ObjectKey,
    value: &Bytes,
) -> Result<(), RepoError> {
    let stored = store.get(key).await?;
    match stored {
        Some(stored) if stored.value == *value => Ok(()),
        None => Err(stale_read().into()),
        Some(_) => Err(RepoError::Damaged {
            key: key.to_string(),
            reason: "the stored content differs from the one to be archived".into(),
        }),
    }
}

/// Error for a read that returns an older state than the conflict of a preceding
/// write has proved to exist.
pub(super) fn stale_read() -> StoreError {
    StoreError::Unknown {
        reason: "reads show a state from before the last write".into(),
    }
}
