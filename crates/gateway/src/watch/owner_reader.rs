//! Keeps the assignment of keys up to date.
//!
//! The leader sends each change to all hosts. A host reads the store only at its start and
//! when a digest shows a change that did not arrive. This saves one billed call per host and
//! change.

use {
    crate::{
        leader::{LeaderActor, OwnerStore, OwnersRead},
        state::{HostState, StoreKind},
    },
    kameo::actor::ActorRef,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time for which a host waits for a change from the leader, which resends it on request.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Mean pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Reads the assignment whenever this host lacks a change; never returns.
pub async fn read_owners(state: Arc<HostState>, owners: OwnerStore, leader: ActorRef<LeaderActor>) {
    let mut first = true;
    loop {
        let changed = state.versions_changed.notified();
        let behind = match state.missing_version(StoreKind::Owners) {
            Some(missing) => {
                sleep(ARRIVAL_TIMEOUT).await;
                state.seen_through(StoreKind::Owners) < missing
            }
            None => first,
        };
        if !behind {
            changed.await;
            continue;
        }
        match owners.read().await {
            Ok(_) => {
                first = false;
                if let Err(error) = leader.tell(OwnersRead).try_send() {
                    log::warn!(reason:% = error; "leader actor did not accept a change of the assignment");
                }
            }
            Err(fault) => {
                log::warn!(reason:% = fault; "cannot read the assignment");
                sleep(READ_RETRY_DELAY.mul_f64(0.5 + state.random_fraction())).await;
            }
        }
    }
}
