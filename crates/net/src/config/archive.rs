//! Archived audit records.

use {
    super::RepoError,
    crate::platform::{ObjectKey, ObjectStore, PutCondition, StoreError},
    bytes::Bytes,
    camphorcove_core::audit::AuditRecord,
};

/// Key of an archived record.
pub fn archive_key(stream: &str, number: u64) -> ObjectKey {
    ObjectKey::new(format!("audit/{stream}/{number}"))
}

/// Encodes a record as JSON, which can be read without this program.
pub fn encode_record(record: &AuditRecord) -> Bytes {
    serde_json::to_vec(record)
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"))
        .into()
}

/// Decodes an archived record, JSON or bincode.
pub fn decode_record(value: &[u8]) -> Option<AuditRecord> {
    if let Ok(record) = serde_json::from_slice(value) {
        return Some(record);
    }
    let decoded = bincode::decode_from_slice(value, bincode::config::standard());
    let (record, length) = decoded.ok()?;
    (length == value.len()).then_some(record)
}

/// Archives a record; does nothing if it is archived already.
pub async fn archive_record<S: ObjectStore>(
    store: &S,
    stream: &str,
    record: &AuditRecord,
) -> Result<(), RepoError> {
    let key = archive_key(stream, record.number);
    create_immutable(store, &key, encode_record(record)).await
}

/// Attempts at a write whose answer was lost.
const CREATE_ATTEMPTS: u32 = 3;

/// Creates an object whose key determines its content.
///
/// Writing it again is harmless, so a lost answer is settled by repeating.
pub(super) async fn create_immutable<S: ObjectStore>(
    store: &S,
    key: &ObjectKey,
    value: Bytes,
) -> Result<(), RepoError> {
    let mut attempts = 1;
    loop {
        match store.put(key, PutCondition::Absent, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { .. }) => return check_same(store, key, &value).await,
            Err(StoreError::Unknown { .. }) if attempts < CREATE_ATTEMPTS => attempts += 1,
            Err(error) => return Err(error.into()),
        }
    }
}

async fn check_same<S: ObjectStore>(
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

/// Error for a read that shows a state from before a conflict.
pub(super) fn stale_read() -> StoreError {
    StoreError::Unknown {
        reason: "reads show a state from before the last write".into(),
    }
}
