//! Conditional writes of the assignment that find out their outcome when an answer is lost.

use {
    crate::state::{HostState, StoreKind},
    camphorcove_core::{ids::StoreVersion, ownership::OwnerState, time::BootTime},
    camphorcove_platform::{OWNER_KIND, OWNER_NAME, StoreClient, StoreError, StoredObject},
    serde::Deserialize,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Timeout of one call. The store may be about sixty times slower than usual.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause before a write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// How a write ended.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The store holds what was written.
    Written {
        /// Version of the stored object.
        version: StoreVersion,
    },
    /// Another host has changed the object.
    Lost,
    /// The store has lost writes since the assignment that was to be replaced.
    WritesLost {
        /// Version of the object that the store holds, or before the first change.
        stored: StoreVersion,
    },
    /// Nothing was written, and no earlier attempt can take effect.
    NotDone,
}

/// Assignment in the store.
#[derive(Debug)]
pub struct StoredOwners {
    /// The assignment; `None` if the store has none.
    pub state: Option<OwnerState>,
    /// Version of its object; before the first change if there is none.
    pub version: StoreVersion,
}

/// Reads and writes the assignment in the platform's store.
#[derive(Clone)]
pub struct OwnerStore {
    state: Arc<HostState>,
    store: StoreClient,
}

impl OwnerStore {
    /// Creates an accessor that also passes each assignment read or written to `state`.
    pub fn new(state: Arc<HostState>, store: StoreClient) -> Self {
        Self { state, store }
    }

    /// Reads the assignment and its version, and updates the host state.
    pub async fn read(&self) -> Result<StoredOwners, StoreError> {
        self.count_call();
        let found = self.store.get(OWNER_KIND, OWNER_NAME, STORE_TIMEOUT).await;
        let object = match found {
            Ok(object) => object,
            Err(StoreError::Missing { epoch }) => {
                self.state.record_store_success();
                return Ok(StoredOwners {
                    state: None,
                    version: StoreVersion::new(epoch, 0),
                });
            }
            Err(fault) => return Err(fault),
        };
        let version = object.version;
        let state = decode(&object)?;
        self.update_host_state(&state, version);
        Ok(StoredOwners {
            state: Some(state),
            version,
        })
    }

    /// Latest assignment that the host knows.
    pub fn known(&self) -> Option<Arc<OwnerState>> {
        self.state.owners().map(|(state, _)| state)
    }

    /// Replaces the assignment at `version`, or creates it if that is before the first change.
    /// Retries the write until its outcome is certain, and returns when the last attempt was
    /// sent.
    ///
    /// An attempt without an answer may take effect later. Only a later attempt that succeeds
    /// or finds another revision rules that out.
    pub async fn write(
        &self,
        state: &OwnerState,
        version: StoreVersion,
    ) -> (BootTime, WriteOutcome) {
        let content = serde_json::to_value(state)
            .unwrap_or_else(|error| unreachable!("the assignment holds plain values: {error}"));
        let mut may_take_effect = false;
        loop {
            self.count_call();
            let sent_at = self.state.now();
            let written = match version.revision {
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
                // The store has lost writes meanwhile. What was replaced may be the assignment of a
                // successor, as revisions are given out again; it has sent no order yet.
                Ok(object) if object.version.epoch != version.epoch => {
                    log::warn!(term = state.term, replaced:% = version, written:% = object.version; "assignment written in another epoch of the store than planned");
                    self.state.record_store_epoch(object.version);
                    let stored = object.version;
                    return (sent_at, WriteOutcome::WritesLost { stored });
                }
                Ok(object) => {
                    let version = object.version;
                    self.update_host_state(state, version);
                    return (sent_at, WriteOutcome::Written { version });
                }
                Err(StoreError::Conflict { current }) => {
                    return (
                        sent_at,
                        self.resolve_conflict(state, version, current).await,
                    );
                }
                Err(StoreError::Missing { epoch }) => {
                    let stored = StoreVersion::new(epoch, 0);
                    return (sent_at, WriteOutcome::WritesLost { stored });
                }
                Err(fault) if fault.has_no_effect() && !may_take_effect => {
                    log::warn!(term = state.term, reason:% = fault; "assignment not written");
                    return (sent_at, WriteOutcome::NotDone);
                }
                Err(fault) => {
                    may_take_effect |= !fault.has_no_effect();
                    log::warn!(term = state.term, reason:% = fault; "outcome of the assignment write unknown, retrying");
                }
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
    }

    /// Finds out whether the conflicting object results from an earlier attempt of this write.
    async fn resolve_conflict(
        &self,
        state: &OwnerState,
        replaced: StoreVersion,
        current: Option<Box<StoredObject>>,
    ) -> WriteOutcome {
        let found = match current
            .as_deref()
            .map(|object| (decode(object), object.version))
        {
            Some((Ok(found), version)) => {
                self.update_host_state(&found, version);
                Some((found, version))
            }
            _ => {
                let stored = self.read().await.ok();
                stored.and_then(|stored| Some((stored.state?, stored.version)))
            }
        };
        match found {
            Some((found, version)) if found == *state && version.epoch == replaced.epoch => {
                WriteOutcome::Written { version }
            }
            Some((found, stored))
                if stored.epoch > replaced.epoch
                    && (found == *state || state.is_newer_than(&found)) =>
            {
                WriteOutcome::WritesLost { stored }
            }
            _ => WriteOutcome::Lost,
        }
    }

    fn update_host_state(&self, state: &OwnerState, version: StoreVersion) {
        self.state.record_store_success();
        self.state.set_owners(state.clone(), version);
        self.state.record_store_epoch(version);
        self.state.record_version(StoreKind::Owners, version);
    }

    fn count_call(&self) {
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
