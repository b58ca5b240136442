//! Snapshots that the request path reads without waiting.

use {
    arc_swap::ArcSwap,
    camphorcove_core::{ids::ServiceName, map::RoutingMap, time::BootTime},
    camphorcove_net::peer::{ConfigSnapshot, PeerAddress},
    std::{collections::HashMap, sync::Arc},
    tokio::sync::watch,
};

/// A routing map with the end of its validity.
#[derive(Clone, Debug)]
pub struct HeldMap {
    /// The map.
    pub map: Arc<RoutingMap>,
    /// End of validity on this host's clock; the map must not be used after it.
    pub valid_until: BootTime,
}

/// Maps by scope. One task writes; any number of requests read.
#[derive(Clone, Debug)]
pub struct MapStore {
    maps: Arc<ArcSwap<HashMap<ServiceName, HeldMap>>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Default for MapStore {
    fn default() -> Self {
        Self {
            maps: Arc::default(),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl MapStore {
    /// Map of a service if it is valid at `now`.
    pub fn valid(&self, service: &ServiceName, now: BootTime) -> Option<HeldMap> {
        let maps = self.maps.load();
        let held = maps.get(service)?;
        (now < held.valid_until).then(|| held.clone())
    }

    /// Map of a service, valid or not.
    pub fn held(&self, service: &ServiceName) -> Option<HeldMap> {
        self.maps.load().get(service).cloned()
    }

    /// All maps.
    pub fn all(&self) -> Arc<HashMap<ServiceName, HeldMap>> {
        self.maps.load_full()
    }

    /// Accepts a map unless an equal or newer version with longer validity is held.
    ///
    /// Called by the one task that owns the store's content.
    pub fn accept(&self, held: HeldMap) {
        let mut maps = HashMap::clone(&self.maps.load());
        let service = held.map.service.clone();
        let changed = match maps.get(&service) {
            Some(old) if old.map.version > held.map.version => return,
            Some(old) if old.map.version == held.map.version => {
                if old.valid_until >= held.valid_until {
                    return;
                }
                false
            }
            _ => true,
        };
        maps.insert(service, held);
        self.maps.store(Arc::new(maps));
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Signals each accepted new version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Configuration and live hosts, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    config: Arc<ArcSwap<Option<Arc<ConfigSnapshot>>>>,
    peers: Arc<ArcSwap<Vec<PeerAddress>>>,
}

impl ConfigStore {
    /// Configuration in force; `None` before the first.
    pub fn config(&self) -> Option<Arc<ConfigSnapshot>> {
        self.config.load().as_ref().clone()
    }

    /// Accepts a configuration if its version is higher than the one in force.
    pub fn accept(&self, snapshot: ConfigSnapshot) -> bool {
        let newer = self
            .config()
            .is_none_or(|current| snapshot.version > current.version);
        if newer {
            self.config.store(Arc::new(Some(Arc::new(snapshot))));
        }
        newer
    }

    /// Live hosts of the region, this one included.
    pub fn peers(&self) -> Arc<Vec<PeerAddress>> {
        self.peers.load_full()
    }

    /// Replaces the live hosts.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        self.peers.store(Arc::new(peers));
    }
}
