//! Keeps the assignment of keys current.
//!
//! The leader sends each change to all hosts. A host reads the store only at its start
//! and when a digest shows a change that did not arrive, which saves a paid call of
//! every host for every change.

use {
    crate::{
        leader::{LeaderActor, OwnerStore, OwnersRead},
        state::{HostState, StoreKind},
    },
    kameo::actor::ActorRef,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time in which a change should arrive from the leader, which sends it again if it is
/// asked to.
const ARRIVAL_LIMIT: Duration = Duration::from_millis(250);

/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(400);

/// Reads the assignment whenever this host lacks a change, for ever.
pub async fn read_owners(state: Arc<HostState>, owners: OwnerStore, leader: ActorRef<LeaderActor>) {
    let mut first = true;
    loop {
        let changed = state.revisions_changed.notified();
        let behind = match state.is_behind(StoreKind::Owners) {
            true => {
                sleep(ARRIVAL_LIMIT).await;
                state.is_behind(StoreKind::Owners)
            }
            false => first,
        };
        if !behind {
            changed.await;
            continue;
        }
        match owners.read().await {
            Ok(_) => {
                first = false;
                if let Err(error) = leader.tell(OwnersRead).try_send() {
                    log::warn!(reason:% = error; "leader actor did not take a change of owners");
                }
            }
            Err(fault) => {
                log::warn!(reason:% = fault; "assignment cannot be read");
                sleep(READ_PAUSE.mul_f64(0.5 + state.random_fraction())).await;
            }
        }
    }
}
