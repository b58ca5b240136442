//! The audit stream of operator actions that do not change the configuration.

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

/// Name of the stream that records refused operator requests, confirmations of lost
/// hosts and log level changes.
pub const OPERATOR_STREAM: &str = "operator";

/// Number of attempts while other hosts append concurrently or responses are lost.
const APPEND_ATTEMPTS: u32 = 8;

/// Key of the mutable object that contains the newest record of the stream.
pub(super) fn operator_stream_key() -> ObjectKey {
    ObjectKey::new("stream/operator")
}

/// Appends a record to the operator stream and returns its number.
///
/// As with the configuration head, one mutable object contains the newest record.
/// That record is archived before a new one replaces it. A write whose response was
/// lost may have taken effect, so each attempt first checks whether an earlier one
/// did; the record is thus appended only once.
pub async fn append_operator_record<S: ObjectStore>(
    store: &S,
    author: &Author,
    action: AuditAction,
) -> Result<u64, RepoError> {
    let key = operator_stream_key();
    // Records whose write may have taken effect, and the error of the latest such write.
    let mut unconfirmed: Vec<AuditRecord> = Vec::new();
    let mut uncertain_error: Option<StoreError> = None;
    for _ in 0..APPEND_ATTEMPTS {
        let stored = store.get(&key).await?;
        let newest = stored.as_ref().map(decode_newest).transpose()?;
        if let Some(number) = find_committed(store, newest.as_ref(), &unconfirmed).await? {
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
                unconfirmed.push(record);
                uncertain_error = Some(error);
            }
            Err(error) => return Err(error.into()),
        }
    }
    match uncertain_error {
        Some(source) => Err(source.into()),
        None => {
            let attempts = APPEND_ATTEMPTS;
            ContendedSnafu { attempts }.fail()
        }
    }
}

/// Number of the record among `unconfirmed` that took effect although the response
/// to its write was lost.
async fn find_committed<S: ObjectStore>(
    store: &S,
    newest: Option<&AuditRecord>,
    unconfirmed: &[AuditRecord],
) -> Result<Option<u64>, RepoError> {
    for record in unconfirmed {
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

fn decode_newest(stored: &StoredObject) -> Result<AuditRecord, RepoError> {
    decode_record(&stored.value).context(DamagedSnafu {
        key: operator_stream_key().to_string(),
        reason: "the audit record is unreadable",
    })
}
