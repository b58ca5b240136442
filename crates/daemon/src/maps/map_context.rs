//! What the tasks of this host share about maps, configuration and hosts.

use {
    super::{ConfigStore, ControllerHints, HostTable, MapStore, ShardLoads},
    camphorcove_core::{
        control::HostInfo,
        ids::{HostId, RegionName, ServiceName, ZoneName},
        time::BootTime,
    },
    camphorcove_net::{
        clock::BootClock,
        peer::{ConfigSnapshot, PeerAddress, PeerClient},
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::sync::watch,
};

/// This host among its peers.
#[derive(Clone, Debug)]
pub struct HostSelf {
    /// Id.
    pub id: HostId,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer port.
    pub peer: SocketAddr,
}

/// Shared state of the tasks that distribute maps and configuration.
#[derive(Debug)]
pub struct MapContext {
    /// This host.
    pub host: HostSelf,
    /// Clock.
    pub clock: BootClock,
    /// Routing maps.
    pub maps: MapStore,
    /// Configuration.
    pub config: ConfigStore,
    /// Other hosts.
    pub hosts: HostTable,
    /// Controllers.
    pub hints: ControllerHints,
    /// Client for control messages.
    pub client: PeerClient,
    /// Requests by shard.
    pub loads: Arc<ShardLoads>,
    controls: Mutex<BTreeSet<ServiceName>>,
    leaving: AtomicBool,
    ready: watch::Sender<bool>,
}

impl MapContext {
    /// Context of a host that holds nothing yet.
    pub fn new(host: HostSelf, client: PeerClient, loads: Arc<ShardLoads>) -> Self {
        Self {
            host,
            clock: BootClock,
            maps: MapStore::default(),
            config: ConfigStore::default(),
            hosts: HostTable::default(),
            hints: ControllerHints::default(),
            client,
            loads,
            controls: Mutex::default(),
            leaving: AtomicBool::new(false),
            ready: watch::Sender::new(false),
        }
    }

    /// Current time.
    pub fn now(&self) -> BootTime {
        self.clock.now()
    }

    /// This host as its peers see it.
    pub fn me(&self) -> PeerAddress {
        PeerAddress {
            host: HostInfo {
                id: self.host.id.clone(),
                zone: self.host.zone.clone(),
                leaving: self.is_leaving(),
            },
            peer: self.host.peer,
        }
    }

    /// Live hosts, this one included, by id.
    pub fn live(&self) -> Vec<PeerAddress> {
        self.with_me(self.hosts.live(self.now()))
    }

    /// Live and listed hosts, this one included, by id.
    pub fn known(&self) -> Vec<PeerAddress> {
        self.with_me(self.hosts.known(self.now()))
    }

    fn with_me(&self, mut hosts: Vec<PeerAddress>) -> Vec<PeerAddress> {
        hosts.retain(|host| host.host.id != self.host.id);
        hosts.push(self.me());
        hosts.sort_by(|left, right| left.host.id.cmp(&right.host.id));
        hosts
    }

    /// Configured services.
    pub fn services(&self) -> Vec<ServiceName> {
        let Some(snapshot) = self.config.config() else {
            return Vec::new();
        };
        let services = snapshot.config.services.iter();
        services.map(|service| service.name.clone()).collect()
    }

    /// Adopts a configuration of this region if it is newer than the one held.
    pub fn adopt_config(&self, snapshot: ConfigSnapshot, source: &str) {
        if snapshot.config.region != self.host.region {
            log::error!(
                "configuration of region {} ignored in region {}",
                snapshot.config.region,
                self.host.region
            );
            return;
        }
        let version = snapshot.version.0;
        if self.config.accept(snapshot) {
            log::info!(version = version, source = source; "configuration adopted");
            let services = self.services();
            self.maps.retain(|service| services.contains(service));
        }
        self.set_ready();
    }

    /// Allows callers to be served; needs one successful read of the platform
    /// or of a serving peer.
    pub fn set_ready(&self) {
        self.ready
            .send_if_modified(|ready| !std::mem::replace(ready, true));
    }

    /// Whether callers may be served.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Announces that this host leaves.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether this host leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records whether this host controls a scope.
    pub fn set_controls(&self, service: &ServiceName, controls: bool) {
        let mut set = self.controls.lock().unwrap_or_else(PoisonError::into_inner);
        match controls {
            true => set.insert(service.clone()),
            false => set.remove(service),
        };
    }

    /// Scopes that this host controls.
    pub fn controls(&self) -> BTreeSet<ServiceName> {
        let set = self.controls.lock().unwrap_or_else(PoisonError::into_inner);
        set.clone()
    }
}
