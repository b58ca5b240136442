//! Follows the server entries in the store.

use {
    super::{CatchUp, KindChange, KindFollower, OddEntries},
    crate::state::{HostState, ListScope, StoreKind, VersionSpan},
    camphorcove_core::{fleet::ServerEntry, ids::ServerId},
    camphorcove_platform::{ObjectListing, SERVER_KIND, StoredObject, decode_server},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Applies changes of all server entries.
pub struct FleetFollower {
    state: Arc<HostState>,
    odd_entries: OddEntries,
}

impl FleetFollower {
    /// Creates a follower that updates `state`.
    pub fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            odd_entries: OddEntries::default(),
        }
    }

    fn decode(&mut self, object: &StoredObject) -> Option<ServerEntry> {
        let decoded = match &object.fault {
            Some(fault) => Err(fault.clone()),
            None => decode_server(&object.name, &object.content).map_err(|error| error.to_string()),
        };
        match decoded {
            Ok(entry) => {
                self.odd_entries.forget(&object.name);
                Some(entry)
            }
            Err(fault) => {
                if self.odd_entries.is_news(&object.name) {
                    log::warn!(name = object.name.as_str(), revision:% = object.version, reason:% = fault; "ignoring server entry that cannot be decoded");
                }
                None
            }
        }
    }
}

impl KindFollower for FleetFollower {
    const STORE_KIND: StoreKind = StoreKind::Fleet;
    const KIND_NAME: &'static str = SERVER_KIND;
    const CATCH_UP: CatchUp = CatchUp::Watch;

    fn apply_list(&mut self, listing: ObjectListing, span: VersionSpan) {
        let mut entries = Vec::with_capacity(listing.objects.len());
        let mut unusable = Vec::new();
        for object in &listing.objects {
            match self.decode(object) {
                Some(entry) => entries.push(entry),
                // An object whose name is not a valid id was never used as a server.
                None => unusable.extend(object.name.parse::<ServerId>().ok()),
            }
        }
        let scope = match listing.gap {
            None => ListScope::Complete,
            Some(_) => ListScope::Partial { removed: unusable },
        };
        self.state.apply_fleet_list(entries, scope, span);
    }

    fn apply_changes(&mut self, changes: Vec<KindChange>, span: VersionSpan) {
        // Only the last change of each server matters.
        let mut put: BTreeMap<ServerId, ServerEntry> = BTreeMap::new();
        let mut removed: BTreeSet<ServerId> = BTreeSet::new();
        for change in changes {
            let (object, entry) = match change {
                KindChange::Changed(object) => {
                    let entry = self.decode(&object);
                    (object, entry)
                }
                KindChange::Removed(object) => {
                    self.odd_entries.forget(&object.name);
                    (object, None)
                }
            };
            // An object whose name is not a valid id was never used as a server.
            let Ok(id) = object.name.parse::<ServerId>() else {
                continue;
            };
            match entry {
                Some(entry) => {
                    removed.remove(&id);
                    put.insert(id, entry);
                }
                // An entry that cannot be decoded names no server, as in a list.
                None => {
                    put.remove(&id);
                    removed.insert(id);
                }
            }
        }
        let put = put.into_values().collect();
        let removed = removed.into_iter().collect();
        self.state.apply_watched_changes(put, removed, span.newest);
    }
}
