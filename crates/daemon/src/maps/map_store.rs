//! Snapshots of maps and configuration that the request path reads without locks.

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
pub struct TimedMap {
    /// Map as published by the scope's controller.
    pub map: Arc<RoutingMap>,
    /// Time on this host's clock from which the map must no longer be used.
    pub valid_until: BootTime,
}

/// Number of previous versions kept for each scope, as bases for deltas in poll answers.
///
/// A poller is rarely more than one poll behind; each version of a map with 4,096
/// shards takes about 130 kB.
const HISTORY_LENGTH: usize = 6;

/// Previous versions by scope, newest last.
type MapHistory = HashMap<ServiceName, VecDeque<Arc<RoutingMap>>>;

/// Routing maps by scope. A mutex serializes writers; readers take no lock.
#[derive(Clone, Debug)]
pub struct MapStore {
    maps: Arc<ArcSwap<HashMap<ServiceName, TimedMap>>>,
    histories: Arc<Mutex<MapHistory>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Default for MapStore {
    fn default() -> Self {
        Self {
            maps: Arc::default(),
            histories: Arc::default(),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl MapStore {
    /// Map of a service; `None` if there is none or it is no longer valid at `now`.
    pub fn valid(&self, service: &ServiceName, now: BootTime) -> Option<TimedMap> {
        let maps = self.maps.load();
        let timed_map = maps.get(service)?;
        (now < timed_map.valid_until).then(|| timed_map.clone())
    }

    /// Map of a service, including one that is no longer valid.
    pub fn stored(&self, service: &ServiceName) -> Option<TimedMap> {
        self.maps.load().get(service).cloned()
    }

    /// All maps by service, including those that are no longer valid.
    pub fn all(&self) -> Arc<HashMap<ServiceName, TimedMap>> {
        self.maps.load_full()
    }

    /// Stores a map unless a newer version, or the same version with an equal or longer
    /// validity, is already stored.
    pub fn accept(&self, timed_map: TimedMap) {
        let mut history = self
            .histories
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut maps = HashMap::clone(&self.maps.load());
        let service = timed_map.map.service.clone();
        let changed = match maps.get(&service) {
            Some(old) if old.map.version > timed_map.map.version => return,
            Some(old) if old.map.version == timed_map.map.version => {
                if old.valid_until >= timed_map.valid_until {
                    return;
                }
                false
            }
            _ => true,
        };
        if changed && let Some(old) = maps.get(&service) {
            let versions = history.entry(service.clone()).or_default();
            versions.push_back(old.map.clone());
            if versions.len() > HISTORY_LENGTH {
                versions.pop_front();
            }
        }
        maps.insert(service, timed_map);
        self.maps.store(Arc::new(maps));
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Extends the validity of the stored map if it has this version.
    pub fn extend_validity(
        &self,
        service: &ServiceName,
        version: MapVersion,
        valid_until: BootTime,
    ) {
        let Some(timed_map) = self.stored(service) else {
            return;
        };
        if timed_map.map.version == version {
            let map = timed_map.map;
            self.accept(TimedMap { map, valid_until });
        }
    }

    /// A previous version of a map, if it is still kept.
    pub fn previous_version(
        &self,
        service: &ServiceName,
        version: MapVersion,
    ) -> Option<Arc<RoutingMap>> {
        let history = self
            .histories
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut versions = history.get(service)?.iter();
        versions.find(|map| map.version == version).cloned()
    }

    /// Removes the maps of all services for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&ServiceName) -> bool) {
        let mut history = self
            .histories
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        history.retain(|service, _| keep(service));
        let maps = self.maps.load();
        if maps.keys().all(&keep) {
            return;
        }
        let mut maps = HashMap::clone(&maps);
        maps.retain(|service, _| keep(service));
        self.maps.store(Arc::new(maps));
    }

    /// Receiver that is notified of each new map version; an extended validity is not signalled.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Configuration and live hosts. Each is replaced as a whole; readers take no lock.
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
    /// Configuration in force; `None` until the first one is accepted.
    pub fn config(&self) -> Option<Arc<ConfigSnapshot>> {
        self.config.load().as_ref().clone()
    }

    /// Stores a configuration if its version is higher than the one in force; returns whether
    /// it was stored.
    pub fn accept(&self, snapshot: ConfigSnapshot) -> bool {
        let version = snapshot.version.0;
        // The lock of the watch channel makes comparison and replacement atomic.
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

    /// Receiver that is notified of each accepted configuration.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.versions.subscribe()
    }

    /// Live hosts of the region, including this one.
    pub fn peers(&self) -> Arc<Vec<PeerAddress>> {
        self.peers.load_full()
    }

    /// Replaces the list of live hosts.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        self.peers.store(Arc::new(peers));
    }
}
