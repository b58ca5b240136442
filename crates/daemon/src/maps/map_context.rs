//! State about maps, configuration and hosts that the tasks of this host share.

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

/// Identity and address of this host.
#[derive(Clone, Debug)]
pub struct LocalHost {
    /// Host id, unique in the region.
    pub id: HostId,
    /// Region that the host belongs to.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Peer address as announced to other hosts.
    pub peer: SocketAddr,
}

/// Shared state of the tasks that distribute maps and configuration.
#[derive(Debug)]
pub struct MapContext {
    /// Identity of this host.
    pub host: LocalHost,
    /// Monotonic clock of this host.
    pub clock: BootClock,
    /// Routing maps that this host holds.
    pub maps: MapStore,
    /// Configuration in force and live hosts.
    pub config: ConfigStore,
    /// Other hosts and their liveness.
    pub hosts: HostTable,
    /// Last known controller of each scope.
    pub hints: ControllerHints,
    /// Client for control messages to other hosts.
    pub client: PeerClient,
    /// Request counts by shard.
    pub loads: Arc<ShardLoads>,
    controlled: Mutex<BTreeSet<ServiceName>>,
    leaving: AtomicBool,
    ready: watch::Sender<bool>,
}

impl MapContext {
    /// Creates a context without maps, configuration and known hosts.
    pub fn new(host: LocalHost, client: PeerClient, loads: Arc<ShardLoads>) -> Self {
        Self {
            host,
            clock: BootClock,
            maps: MapStore::default(),
            config: ConfigStore::default(),
            hosts: HostTable::default(),
            hints: ControllerHints::default(),
            client,
            loads,
            controlled: Mutex::default(),
            leaving: AtomicBool::new(false),
            ready: watch::Sender::new(false),
        }
    }

    /// Current time of this host's monotonic clock.
    pub fn now(&self) -> BootTime {
        self.clock.now()
    }

    /// This host's entry as announced to its peers.
    pub fn local_peer(&self) -> PeerAddress {
        PeerAddress {
            host: HostInfo {
                id: self.host.id.clone(),
                zone: self.host.zone.clone(),
                leaving: self.is_leaving(),
            },
            peer: self.host.peer,
        }
    }

    /// Live hosts including this one, ordered by id.
    pub fn live_hosts(&self) -> Vec<PeerAddress> {
        self.with_local_peer(self.hosts.live(self.now()))
    }

    /// Live hosts and hosts of the address book including this one, ordered by id.
    pub fn known_hosts(&self) -> Vec<PeerAddress> {
        self.with_local_peer(self.hosts.known(self.now()))
    }

    fn with_local_peer(&self, mut hosts: Vec<PeerAddress>) -> Vec<PeerAddress> {
        hosts.retain(|host| host.host.id != self.host.id);
        hosts.push(self.local_peer());
        hosts.sort_by(|left, right| left.host.id.cmp(&right.host.id));
        hosts
    }

    /// Names of the configured services; empty while there is no configuration.
    pub fn services(&self) -> Vec<ServiceName> {
        let Some(snapshot) = self.config.config() else {
            return Vec::new();
        };
        let services = snapshot.config.services.iter();
        services.map(|service| service.name.clone()).collect()
    }

    /// Adopts a configuration if it is of this region and newer than the one in force, removes
    /// the maps of services that it no longer contains, and marks the host as ready.
    pub fn adopt_config(&self, snapshot: ConfigSnapshot, source: &str) {
        if snapshot.config.region != self.host.region {
            log::error!(
                "ignored a configuration of region {} on a host in region {}",
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

    /// Marks this host as ready to serve callers. Called after the first successful read of the
    /// configuration from the platform or from a peer.
    pub fn set_ready(&self) {
        self.ready
            .send_if_modified(|ready| !std::mem::replace(ready, true));
    }

    /// Receiver that tells whether callers may be served.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Announces to peers that this host is about to leave the region.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether this host has announced that it leaves the region.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records whether this host is the controller of a scope.
    pub fn set_controls(&self, service: &ServiceName, controls: bool) {
        let mut set = self
            .controlled
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match controls {
            true => set.insert(service.clone()),
            false => set.remove(service),
        };
    }

    /// Scopes of which this host is the controller.
    pub fn controlled_scopes(&self) -> BTreeSet<ServiceName> {
        let set = self
            .controlled
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        set.clone()
    }
}
