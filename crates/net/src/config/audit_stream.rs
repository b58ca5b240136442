//! The audit stream of operator acts that do not change the configuration.

use {
    super::{
        Author, RepoError,
        archive::{archive_key, archive_record, decode_record, encode_record},
        repo_error::*,
    },
    crate::platform::{ObjectKey, ObjectStore, PutCondition, StoreError, StoredObject},
    camphorcove_core::audit::{AuditAction, AuditRecord, RecordHash},
    snafu::OptionExt,
};

/// Stream of refused requests, confirmations and log level changes.
pub const OPERATOR_STREAM: &str = "operator";

/// Attempts while other hosts append too, or answers are lost.
const APPEND_ATTEMPTS: u32 = 8;

/// Key of the newest record of the stream.
pub(super) fn stream_key() -> ObjectKey {
    ObjectKey::new("stream/operator")
}

/// Appends a record to the operator stream and returns its number.
///
/// As with the configuration head, the newest record stands in the one mutable
/// object and the record before it is archived first.
pub async fn append_operator_record<S: ObjectStore>(
    store: &S,
    author: &Author,
    action: AuditAction,
) -> Result<u64, RepoError> {
    let key = stream_key();
    let mut written: Vec<AuditRecord> = Vec::new();
    let mut lost: Option<StoreError> = None;
    for _ in 0..APPEND_ATTEMPTS {
        let stored = store.get(&key).await?;
        let newest = stored.as_ref().map(read_newest).transpose()?;
        if let Some(number) = find_written(store, newest.as_ref(), &written).await? {
            return Ok(number);
        }
        let mut condition = PutCondition::Absent;
        if let (Some(newest), Some(stored)) = (&newest, &stored) {
            archive_record(store, OPERATOR_STREAM, newest).await?;
            condition = PutCondition::Version(stored.version);
        }
        let record = next_record(newest.as_ref(), author, &action);
        match store.put(&key, condition, encode_record(&record)).await {
            Ok(_) => return Ok(record.number),
            Err(StoreError::Conflict { .. }) => {}
            Err(error @ StoreError::Unknown { .. }) => {
                written.push(record);
                lost = Some(error);
            }
            Err(error) => return Err(error.into()),
        }
    }
    match lost {
        Some(source) => Err(source.into()),
        None => {
            let attempts = APPEND_ATTEMPTS;
            ContendedSnafu { attempts }.fail()
        }
    }
}

/// Number of a record of this call that took effect although its answer was lost.
async fn find_written<S: ObjectStore>(
    store: &S,
    newest: Option<&AuditRecord>,
    written: &[AuditRecord],
) -> Result<Option<u64>, RepoError> {
    for record in written {
        let found = match newest {
            Some(newest) if newest.number == record.number => Some(newest.clone()),
            Some(newest) if newest.number > record.number => {
                let key = archive_key(OPERATOR_STREAM, record.number);
                let stored = store.get(&key).await?;
                stored.and_then(|stored| decode_record(&stored.value))
            }
            _ => None,
        };
        if found.is_some_and(|found| found == *record) {
            return Ok(Some(record.number));
        }
    }
    Ok(None)
}

fn next_record(newest: Option<&AuditRecord>, author: &Author, action: &AuditAction) -> AuditRecord {
    AuditRecord {
        number: newest.map_or(1, |newest| newest.number + 1),
        wall_millis: author.wall_millis,
        actor: author.actor.clone(),
        action: action.clone(),
        reason: author.reason.clone(),
        previous: newest.map_or_else(RecordHash::default, AuditRecord::hash),
    }
}

fn read_newest(stored: &StoredObject) -> Result<AuditRecord, RepoError> {
    decode_record(&stored.value).context(DamagedSnafu {
        key: stream_key().to_string(),
        reason: "the audit record is unreadable",
    })
}
