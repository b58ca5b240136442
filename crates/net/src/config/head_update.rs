//! The conditional update of the configuration head, which commits a change.

use {
    super::{
        ConfigHead, RepoError,
        archive::{archive_key, archive_record, decode_record, stale_read},
        config_head::StoredHead,
        repo_error::*,
    },
    crate::platform::{ObjectStore, PutCondition, StoreError},
    camphorcove_core::audit::RecordHash,
    snafu::IntoError,
    std::time::Duration,
};

/// Name of the audit stream of configuration changes.
pub(super) const CONFIG_STREAM: &str = "config";

/// Number of attempts at an update while its outcome is unknown.
const UPDATE_ATTEMPTS: u32 = 5;

/// Pause before the second attempt; the pause grows linearly with each attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Known outcome of a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateResult {
    /// The new head is stored.
    Committed,
    /// A concurrent change was committed first; nothing was written.
    Superseded,
}

/// Archives the record of `base`, then replaces `base` with `next`.
///
/// A write whose response was lost may still take effect later. It is repeated with
/// the same condition and value, so it takes effect at most once. If a repetition
/// meets a conflict, the audit record stored for the version shows whether this
/// change or a concurrent one took effect.
pub(super) async fn replace_head<S: ObjectStore>(
    store: &S,
    base: Option<&StoredHead>,
    next: &ConfigHead,
) -> Result<UpdateResult, RepoError> {
    let value = next.encode()?;
    if let Some(base) = base {
        archive_record(store, CONFIG_STREAM, &base.head.record).await?;
    }
    let condition = base.map_or(PutCondition::Absent, |base| {
        PutCondition::Version(base.object_version)
    });
    // Latest error since an attempt that may have taken effect.
    let mut uncertain_error: Option<StoreError> = None;
    for attempt in 0..UPDATE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_PAUSE * attempt).await;
        }
        match store
            .put(&ConfigHead::key(), condition, value.clone())
            .await
        {
            Ok(_) => return Ok(UpdateResult::Committed),
            Err(StoreError::Conflict { .. }) => match resolve_conflict(store, base, next).await {
                Ok(Some(result)) => return Ok(result),
                Ok(None) => uncertain_error = Some(stale_read()),
                Err(RepoError::Store { source }) => uncertain_error = Some(source),
                Err(error) => return Err(error),
            },
            Err(error @ StoreError::Unknown { .. }) => uncertain_error = Some(error),
            Err(error) if uncertain_error.is_none() => return Err(error.into()),
            Err(error) => uncertain_error = Some(error),
        }
    }
    let version = next.version;
    let source = uncertain_error
        .unwrap_or_else(|| unreachable!("the loop ends early without a lost answer"));
    Err(OutcomeUnknownSnafu { version }.into_error(source))
}

/// Finds out whether `next` was committed although its write met a conflict.
///
/// Returns `None` if reads still return the state from before the conflict.
async fn resolve_conflict<S: ObjectStore>(
    store: &S,
    base: Option<&StoredHead>,
    next: &ConfigHead,
) -> Result<Option<UpdateResult>, RepoError> {
    let object = store.get(&ConfigHead::key()).await?;
    let stored_version = object.as_ref().map(|object| object.version);
    let Some(object) = object.filter(|_| stored_version != base.map(|base| base.object_version))
    else {
        return Ok(None);
    };
    let head = StoredHead::decode(&object)?.head;
    let hash = record_hash_at(store, &head, next.record.number).await?;
    Ok(Some(match hash {
        Some(hash) if hash == next.record.hash() => UpdateResult::Committed,
        _ => UpdateResult::Superseded,
    }))
}

/// Hash of the audit record with this number, which is in the head if it is the
/// newest one and in the archive otherwise; `None` if there is no such record.
async fn record_hash_at<S: ObjectStore>(
    store: &S,
    head: &ConfigHead,
    number: u64,
) -> Result<Option<RecordHash>, RepoError> {
    if head.record.number <= number {
        let current = head.record.number == number;
        return Ok(current.then(|| head.record.hash()));
    }
    let archived = store.get(&archive_key(CONFIG_STREAM, number)).await?;
    let record = archived.and_then(|object| decode_record(&object.value));
    Ok(record.map(|record| record.hash()))
}
