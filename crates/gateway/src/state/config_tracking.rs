//! The configuration in force, and its copy for other hosts.

use {
    super::{ConfigCopy, HostState},
    camphorcove_core::{
        ids::{ConfigVersion, StoreVersion},
        routing::RouteTable,
    },
    std::sync::Arc,
};

impl HostState {
    /// Configuration in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.lock().table.clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.table().map(|table| table.version).unwrap_or_default()
    }

    /// Puts a configuration in force if its version is newer; returns whether it is.
    pub fn set_table(&self, table: RouteTable) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let newer = inner
            .table
            .as_ref()
            .is_none_or(|current| current.version < table.version);
        if newer {
            inner.round_robin.reset();
            inner.table = Some(Arc::new(table));
            inner.refresh_warmups(now);
            inner.admission.slot_waits.end_all();
        }
        newer
    }

    /// Keeps a copy of the configuration in force.
    pub fn set_config_copy(&self, copy: ConfigCopy) {
        self.lock().config_copy = Some(Arc::new(copy));
    }

    /// Copy of the configuration in force, if it has been taken.
    pub fn config_copy(&self) -> Option<Arc<ConfigCopy>> {
        self.lock().config_copy.clone()
    }

    /// Copy of the configuration in force, if it is newer than `version`.
    pub fn config_copy_after(&self, version: StoreVersion) -> Option<Arc<ConfigCopy>> {
        self.config_copy().filter(|copy| copy.version > version)
    }
}
