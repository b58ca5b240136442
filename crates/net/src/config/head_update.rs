//! The one conditional update that makes a change.

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

/// Audit stream of configuration changes.
pub(super) const CONFIG_STREAM: &str = "config";

/// Attempts to settle a write whose answer was lost.
const SETTLE_ATTEMPTS: u32 = 5;

/// Pause before a further attempt.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Result of a conditional update whose outcome is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateResult {
    /// The new head took effect.
    Committed,
    /// Another change came first; nothing was written.
    Superseded,
}

/// Archives the record of `base`, then replaces `base` by `next`.
///
/// A write whose answer was lost may still be on its way. It is repeated with
/// the same condition and value, so it takes effect at most once, and a conflict
/// is settled by looking for the change's own record.
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
        PutCondition::Version(base.object)
    });
    let mut lost: Option<StoreError> = None;
    for attempt in 0..SETTLE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(SETTLE_PAUSE * attempt).await;
        }
        match store
            .put(&ConfigHead::key(), condition, value.clone())
            .await
        {
            Ok(_) => return Ok(UpdateResult::Committed),
            Err(StoreError::Conflict { .. }) => match settle(store, base, next).await {
                Ok(Some(result)) => return Ok(result),
                Ok(None) => lost = Some(stale_read()),
                Err(RepoError::Store { source }) => lost = Some(source),
                Err(error) => return Err(error),
            },
            Err(error @ StoreError::Unknown { .. }) => lost = Some(error),
            Err(error) if lost.is_none() => return Err(error.into()),
            Err(error) => lost = Some(error),
        }
    }
    let version = next.version;
    let source = lost.unwrap_or_else(|| unreachable!("the loop ends early without a lost answer"));
    Err(OutcomeUnknownSnafu { version }.into_error(source))
}

/// Finds out whether `next` took effect although its write met a conflict.
///
/// `None` means that the platform still shows the state before the conflict.
async fn settle<S: ObjectStore>(
    store: &S,
    base: Option<&StoredHead>,
    next: &ConfigHead,
) -> Result<Option<UpdateResult>, RepoError> {
    let object = store.get(&ConfigHead::key()).await?;
    let seen = object.as_ref().map(|object| object.version);
    let Some(object) = object.filter(|_| seen != base.map(|base| base.object)) else {
        return Ok(None);
    };
    let head = StoredHead::decode(&object)?.head;
    let hash = record_hash_at(store, &head, next.record.number).await?;
    Ok(Some(match hash {
        Some(hash) if hash == next.record.hash() => UpdateResult::Committed,
        _ => UpdateResult::Superseded,
    }))
}

/// Hash of the record of a version: in the head if current, else archived.
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
