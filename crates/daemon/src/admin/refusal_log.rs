//! Aggregates refused requests into audit records.

use {
    camphorcove_core::audit::AuditAction,
    camphorcove_net::{
        config::{Author, append_operator_record},
        operator::RefusalReason,
        platform::ObjectStore,
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// Minimum time between two records of a host, so that refused requests cannot flood
/// the platform: a host writes at most 144 records a day.
const RECORD_INTERVAL: Duration = Duration::from_secs(600);

/// Pause before a retry after a record could not be written.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Counts of refused requests that are not in the audit trail yet.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    pending: Mutex<BTreeMap<RefusalReason, u64>>,
    added: Notify,
}

impl RefusalLog {
    /// Counts a refused request.
    pub(super) fn add(&self, reason: RefusalReason) {
        *self.lock().entry(reason).or_default() += 1;
        self.added.notify_one();
    }

    /// Writes a record whenever requests were refused; runs until it is dropped.
    pub(super) async fn run<S: ObjectStore>(&self, store: &S, actor: &str) {
        loop {
            self.added.notified().await;
            match self.flush(store, actor).await {
                true => sleep(RECORD_INTERVAL).await,
                false => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Writes one record for all pending refusals; returns false if that failed.
    pub(super) async fn flush<S: ObjectStore>(&self, store: &S, actor: &str) -> bool {
        let pending = self.lock().clone();
        if pending.is_empty() {
            return true;
        }
        let counts: Vec<String> = pending
            .iter()
            .map(|(reason, count)| format!("{reason}: {count}"))
            .collect();
        let reason = counts.join(", ");
        log::warn!("operator requests refused: {reason}");
        let author = Author::now(actor, "requests refused since the last record");
        let action = AuditAction::Refused { reason };
        let written = append_operator_record(store, &author, action).await;
        match &written {
            Ok(_) => self.subtract_recorded(&pending),
            Err(error) => {
                log::warn!(
                    "failed to record refused operator requests in the audit trail: {error}"
                );
                self.added.notify_one();
            }
        }
        written.is_ok()
    }

    /// Subtracts the recorded counts. They are kept until the write has succeeded, so
    /// that dropping [`Self::run`] during a write loses none.
    fn subtract_recorded(&self, recorded: &BTreeMap<RefusalReason, u64>) {
        let mut pending = self.lock();
        for (reason, count) in recorded {
            if let Some(remaining) = pending.get_mut(reason) {
                *remaining -= count;
            }
        }
        pending.retain(|_, remaining| *remaining > 0);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<RefusalReason, u64>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
