//! Snapshots that the request path reads without waiting.

use {
    arc_swap::ArcSwap,
    camphorcove_core::{
        ids::ServiceName,
        map::{MapVersion, RoutingMap},
        time::BootTime,
    },
    camphorcove_net::peer::{ConfigSnapshot, PeerAddress},
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex, PoisonError},
    },
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

/// Older versions kept for each scope, to answer polls with changes only.
///
/// A poller is rarely more than a poll behind; each version of a map with 4,096
/// shards takes about 130 kB.
const HISTORY: usize = 6;

/// Older versions by scope, newest last.
type MapHistory = HashMap<ServiceName, VecDeque<Arc<RoutingMap>>>;

/// Maps by scope. Writers take turns; any number of requests read without waiting.
#[derive(Clone, Debug)]
pub struct MapStore {
    maps: Arc<ArcSwap<HashMap<ServiceName, HeldMap>>>,
    writer: Arc<Mutex<MapHistory>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Default for MapStore {
    fn default() -> Self {
        Self {
            maps: Arc::default(),
            writer: Arc::default(),
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
    pub fn accept(&self, held: HeldMap) {
        let mut history = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
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
        if changed && let Some(old) = maps.get(&service) {
            let versions = history.entry(service.clone()).or_default();
            versions.push_back(old.map.clone());
            if versions.len() > HISTORY {
                versions.pop_front();
            }
        }
        maps.insert(service, held);
        self.maps.store(Arc::new(maps));
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Prolongs the validity of a held version; other versions are left alone.
    pub fn prolong(&self, service: &ServiceName, version: MapVersion, valid_until: BootTime) {
        let Some(held) = self.held(service) else {
            return;
        };
        if held.map.version == version {
            let map = held.map;
            self.accept(HeldMap { map, valid_until });
        }
    }

    /// An older version of a map, if it is still kept.
    pub fn older(&self, service: &ServiceName, version: MapVersion) -> Option<Arc<RoutingMap>> {
        let history = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut versions = history.get(service)?.iter();
        versions.find(|map| map.version == version).cloned()
    }

    /// Removes the maps of services that are no longer configured.
    pub fn retain(&self, keep: impl Fn(&ServiceName) -> bool) {
        let mut history = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        history.retain(|service, _| keep(service));
        let maps = self.maps.load();
        if maps.keys().all(&keep) {
            return;
        }
        let mut maps = HashMap::clone(&maps);
        maps.retain(|service, _| keep(service));
        self.maps.store(Arc::new(maps));
    }

    /// Signals each accepted new version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Configuration and live hosts, replaced as a whole.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    config: Arc<ArcSwap<Option<Arc<ConfigSnapshot>>>>,
    peers: Arc<ArcSwap<Vec<PeerAddress>>>,
    versions: Arc<watch::Sender<u64>>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            config: Arc::default(),
            peers: Arc::default(),
            versions: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl ConfigStore {
    /// Configuration in force; `None` before the first.
    pub fn config(&self) -> Option<Arc<ConfigSnapshot>> {
        self.config.load().as_ref().clone()
    }

    /// Accepts a configuration if its version is higher than the one in force.
    pub fn accept(&self, snapshot: ConfigSnapshot) -> bool {
        let version = snapshot.version.0;
        // The watch's lock makes comparing and replacing one step.
        self.versions.send_if_modified(|current| {
            let newer = self
                .config()
                .is_none_or(|held| snapshot.version > held.version);
            if newer {
                self.config.store(Arc::new(Some(Arc::new(snapshot))));
                *current = version;
            }
            newer
        })
    }

    /// Signals each accepted configuration.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.versions.subscribe()
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
