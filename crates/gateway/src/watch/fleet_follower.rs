//! Follows the entries of servers.

use {
    super::{KindChange, KindFollower},
    crate::state::{HostState, LogTopic, StoreKind},
    camphorcove_core::{fleet::ServerEntry, ids::ServerId},
    camphorcove_platform::{SERVER_KIND, StoredObject, decode_server},
    std::sync::Arc,
};

/// Follows all servers.
pub struct FleetFollower {
    state: Arc<HostState>,
}

impl FleetFollower {
    /// Follower for a host.
    pub fn new(state: Arc<HostState>) -> Self {
        Self { state }
    }

    fn decode(&self, object: &StoredObject) -> Option<ServerEntry> {
        match decode_server(&object.name, &object.content) {
            Ok(entry) => Some(entry),
            Err(fault) => {
                if let Some(left_out) = self.state.may_log(LogTopic::Entry) {
                    let revision = object.revision;
                    log::warn!(revision, left_out, reason:% = fault; "server entry skipped");
                }
                None
            }
        }
    }

    fn apply(&self, put: &mut Vec<ServerEntry>, removed: &mut Vec<ServerId>) {
        if put.is_empty() && removed.is_empty() {
            return;
        }
        self.state.update_fleet(std::mem::take(put), removed);
        removed.clear();
    }
}

impl KindFollower for FleetFollower {
    const MARK: StoreKind = StoreKind::Fleet;
    const KIND: &'static str = SERVER_KIND;

    fn take(&mut self, changes: Vec<KindChange>) {
        let (mut put, mut removed) = (Vec::new(), Vec::new());
        for change in changes {
            match change {
                KindChange::Listed(objects) => {
                    let entries = objects.iter().filter_map(|object| self.decode(object));
                    self.state.replace_fleet(entries.collect());
                }
                KindChange::Changed(object) => {
                    if !removed.is_empty() {
                        self.apply(&mut put, &mut removed);
                    }
                    put.extend(self.decode(&object));
                }
                KindChange::Removed(object) => {
                    if !put.is_empty() {
                        self.apply(&mut put, &mut removed);
                    }
                    removed.extend(object.name.parse().ok());
                }
            }
        }
        self.apply(&mut put, &mut removed);
    }
}
