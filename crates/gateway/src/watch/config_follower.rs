//! Follows the operator's configuration in the store and puts new versions in force.

use {
    super::{CatchUp, KindChange, KindFollower},
    crate::state::{ConfigCopy, HostState, StoreKind, VersionSpan},
    camphorcove_core::ids::StoreVersion,
    camphorcove_platform::{
        CONFIG_KIND, CONFIG_NAME, ObjectListing, StoredObject, decode_configuration,
    },
    serde_json::Value,
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
        if let Some(fault) = &object.fault {
            let counters = &self.state.counters;
            counters.configs_rejected.fetch_add(1, Ordering::Relaxed);
            log::error!(revision:% = object.version, reason = fault.as_str(); "configuration rejected, keeping the current one");
            return;
        }
        if apply_configuration(&self.state, object.version, &object.content) {
            let text = object.content.to_string();
            let copy = ConfigCopy::pack(object.version, self.state.config_version(), &text);
            self.state.set_config_copy(copy);
        }
    }
}

/// Applies a copy of the configuration that the leader sent.
pub fn apply_config_copy(state: &HostState, copy: ConfigCopy) {
    let is_seen = state.seen_through(StoreKind::Config) >= copy.version;
    if is_seen && state.config_version() >= copy.config_version {
        return;
    }
    let text = copy.unpack();
    let content = text.and_then(|text| Ok(serde_json::from_str::<Value>(&text)?));
    let content = match content {
        Ok(content) => content,
        Err(error) => {
            log::error!(revision:% = copy.version, reason:% = error; "copy of the configuration cannot be read");
            return;
        }
    };
    state.record_store_epoch(copy.version);
    let in_force = apply_configuration(state, copy.version, &content);
    state.record_version(StoreKind::Config, copy.version);
    if in_force {
        state.set_config_copy(copy);
    }
}

/// Puts a configuration in force if it is valid and newer; returns whether it is in force now.
fn apply_configuration(state: &HostState, stored_at: StoreVersion, content: &Value) -> bool {
    match decode_configuration(content) {
        Ok(table) => {
            let version = table.version;
            let routes = table.route_count();
            if state.set_table(table) {
                log::info!(version:% = version, revision:% = stored_at, routes; "configuration in force");
            }
            state.table().is_some_and(|table| table.version == version)
        }
        Err(fault) => {
            let counters = &state.counters;
            counters.configs_rejected.fetch_add(1, Ordering::Relaxed);
            log::error!(revision:% = stored_at, reason:% = fault; "configuration rejected, keeping the current one");
            false
        }
    }
}

impl KindFollower for ConfigFollower {
    const STORE_KIND: StoreKind = StoreKind::Config;
    const KIND_NAME: &'static str = CONFIG_KIND;
    /// Each change contains a complete configuration, and only the last one matters.
    const CATCH_UP: CatchUp = CatchUp::List;

    fn apply_list(&mut self, listing: ObjectListing, span: VersionSpan) {
        for object in &listing.objects {
            self.apply(object);
        }
        self.state.record_seen(Self::STORE_KIND, span);
    }

    fn apply_changes(&mut self, changes: Vec<KindChange>, span: VersionSpan) {
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
