//! Conditional updates of the assignment, carried through lost answers.

use {
    crate::state::{HostState, StoreKind},
    camphorcove_core::{ownership::OwnerState, time::BootTime},
    camphorcove_platform::{OWNER_KIND, OWNER_NAME, StoreClient, StoreError, StoredObject},
    serde::Deserialize,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Longest wait for one call: the store may be some sixty times slower than usual.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause before a write is sent again.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// How a write ended.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The store holds what was written.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// Another host has changed the object.
    Lost,
    /// Nothing was written, and no earlier try may take effect.
    NotDone,
}

/// Reads and writes the assignment.
#[derive(Clone)]
pub struct OwnerStore {
    state: Arc<HostState>,
    store: StoreClient,
}

impl OwnerStore {
    /// Access for a host.
    pub fn new(state: Arc<HostState>, store: StoreClient) -> Self {
        Self { state, store }
    }

    /// Reads the assignment and makes it known to this host.
    pub async fn read(&self) -> Result<Option<(OwnerState, u64)>, StoreError> {
        self.count();
        let found = self
            .store
            .get(OWNER_KIND, OWNER_NAME, STORE_TIMEOUT)
            .await?;
        let Some(object) = found else {
            return Ok(None);
        };
        let revision = object.revision;
        let state = decode(&object)?;
        self.adopt(&state, revision);
        Ok(Some((state, revision)))
    }

    /// Writes until the outcome is certain; `revision` 0 creates the object.
    ///
    /// A try without an answer may take effect later. Only a write that succeeds or
    /// meets another revision settles it, so such a write is sent again until then.
    pub async fn write(&self, state: &OwnerState, revision: u64) -> (BootTime, WriteOutcome) {
        let content = serde_json::to_value(state)
            .unwrap_or_else(|error| unreachable!("the assignment holds plain values: {error}"));
        let mut in_doubt = false;
        loop {
            self.count();
            let sent_at = self.state.now();
            let written = match revision {
                0 => {
                    let create = self
                        .store
                        .create(OWNER_KIND, OWNER_NAME, &content, STORE_TIMEOUT);
                    create.await
                }
                revision => {
                    let store = &self.store;
                    store
                        .replace(OWNER_KIND, OWNER_NAME, revision, &content, STORE_TIMEOUT)
                        .await
                }
            };
            match written {
                Ok(object) => {
                    self.adopt(state, object.revision);
                    let revision = object.revision;
                    return (sent_at, WriteOutcome::Written { revision });
                }
                Err(StoreError::Conflict { current }) => {
                    return (sent_at, self.settle(state, current).await);
                }
                Err(StoreError::NotDone { reason }) if !in_doubt => {
                    log::warn!(term = state.term, reason = reason.as_str(); "assignment not written");
                    return (sent_at, WriteOutcome::NotDone);
                }
                Err(fault) => {
                    in_doubt |= !matches!(fault, StoreError::NotDone { .. });
                    log::warn!(term = state.term, reason:% = fault; "write of the assignment in doubt");
                }
            }
            sleep(WRITE_PAUSE).await;
        }
    }

    /// Finds out whether the object in the way is this very write.
    async fn settle(&self, state: &OwnerState, current: Option<Box<StoredObject>>) -> WriteOutcome {
        let found = match current
            .as_deref()
            .map(|object| (decode(object), object.revision))
        {
            Some((Ok(found), revision)) => {
                self.adopt(&found, revision);
                Some((found, revision))
            }
            _ => self.read().await.ok().flatten(),
        };
        match found {
            Some((found, revision)) if found == *state => WriteOutcome::Written { revision },
            _ => WriteOutcome::Lost,
        }
    }

    fn adopt(&self, state: &OwnerState, revision: u64) {
        self.state.set_owners(state.clone(), revision);
        self.state.note_revision(StoreKind::Owners, revision);
    }

    fn count(&self) {
        self.state
            .counters
            .store_calls
            .fetch_add(1, Ordering::Relaxed);
    }
}

fn decode(object: &StoredObject) -> Result<OwnerState, StoreError> {
    OwnerState::deserialize(&object.content).map_err(|error| StoreError::Unreadable {
        reason: error.to_string(),
    })
}
