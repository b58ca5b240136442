//! Follows the operator's configuration in the store and puts new versions in force.

use {
    super::{CatchUp, KindChange, KindFollower},
    crate::state::{HostState, RevisionSpan, StoreKind},
    camphorcove_platform::{CONFIG_KIND, CONFIG_NAME, StoredObject, decode_configuration},
    std::sync::{Arc, atomic::Ordering},
};

/// Applies changes of the operator's configuration.
pub struct ConfigFollower {
    state: Arc<HostState>,
}

impl ConfigFollower {
    /// Creates a follower that updates `state`.
    pub fn new(state: Arc<HostState>) -> Self {
        Self { state }
    }

    fn apply(&self, object: &StoredObject) {
        if object.name != CONFIG_NAME {
            return;
        }
        let revision = object.revision;
        match decode_configuration(&object.content) {
            Ok(table) => {
                let version = table.version;
                let routes = table.route_count();
                if self.state.set_table(table) {
                    log::info!(version:% = version, revision, routes; "configuration in force");
                }
            }
            Err(fault) => {
                let counters = &self.state.counters;
                counters.configs_rejected.fetch_add(1, Ordering::Relaxed);
                log::error!(revision, reason:% = fault; "configuration rejected, keeping the current one");
            }
        }
    }
}

impl KindFollower for ConfigFollower {
    const STORE_KIND: StoreKind = StoreKind::Config;
    const KIND_NAME: &'static str = CONFIG_KIND;
    /// Each change contains a complete configuration, and only the last one matters.
    const CATCH_UP: CatchUp = CatchUp::List;

    fn apply_list(&mut self, objects: Vec<StoredObject>, span: RevisionSpan) {
        for object in &objects {
            self.apply(object);
        }
        self.state.record_seen(Self::STORE_KIND, span);
    }

    fn apply_changes(&mut self, changes: Vec<KindChange>, span: RevisionSpan) {
        let mut newest: Option<StoredObject> = None;
        for change in changes {
            match change {
                KindChange::Changed(object) if object.name == CONFIG_NAME => newest = Some(object),
                KindChange::Changed(_) => {}
                KindChange::Removed(object) => {
                    log::warn!(name = object.name.as_str(); "configuration removed from the store, keeping the current one");
                }
            }
        }
        if let Some(object) = newest {
            self.apply(&object);
        }
        self.state.record_seen(Self::STORE_KIND, span);
    }
}
