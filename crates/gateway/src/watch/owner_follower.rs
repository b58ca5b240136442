//! Follows the assignment of keys.

use {
    super::{KindChange, KindFollower},
    crate::{
        leader::{LeaderActor, OwnersSeen},
        state::{HostState, StoreKind},
    },
    camphorcove_core::ownership::OwnerState,
    camphorcove_platform::{OWNER_KIND, OWNER_NAME, StoredObject},
    kameo::actor::ActorRef,
    serde::Deserialize,
    std::sync::Arc,
};

/// Follows the one object with all owners.
pub struct OwnerFollower {
    state: Arc<HostState>,
    leader: ActorRef<LeaderActor>,
}

impl OwnerFollower {
    /// Follower for a host; its leader actor learns of each change.
    pub fn new(state: Arc<HostState>, leader: ActorRef<LeaderActor>) -> Self {
        Self { state, leader }
    }

    fn adopt(&self, object: &StoredObject) {
        let revision = object.revision;
        match OwnerState::deserialize(&object.content) {
            Ok(owners) => {
                let (term, change) = (owners.term, owners.change);
                if self.state.set_owners(owners, revision) {
                    log::debug!(revision, term, change; "assignment read");
                }
            }
            Err(fault) => log::error!(revision, reason:% = fault; "assignment cannot be read"),
        }
    }
}

impl KindFollower for OwnerFollower {
    const MARK: StoreKind = StoreKind::Owners;
    const KIND: &'static str = OWNER_KIND;

    fn take(&mut self, changes: Vec<KindChange>) {
        for change in changes {
            let objects = match change {
                KindChange::Listed(objects) => objects,
                KindChange::Changed(object) => vec![object],
                KindChange::Removed(object) => {
                    log::error!(name = object.name.as_str(); "assignment removed");
                    continue;
                }
            };
            for object in objects {
                if object.name == OWNER_NAME {
                    self.adopt(&object);
                }
            }
        }
        if let Err(error) = self.leader.tell(OwnersSeen).try_send() {
            log::warn!(reason:% = error; "leader actor did not take a change of owners");
        }
    }
}
