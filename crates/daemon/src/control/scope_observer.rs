//! Detects changes in the host's shared state that concern a scope and turns them into events.

use {
    crate::maps::{LOAD_INTERVAL, MapContext, digest},
    camphorcove_core::{
        control::{ScopeEvent, ScopeSpec},
        ids::{ConfigVersion, ServiceName},
        keys::{KeyHash, shard_of},
        map::MapVersion,
        time::BootTime,
    },
    camphorcove_net::{clock::wall_millis, peer::ConfigSnapshot},
    std::{sync::Arc, time::Duration},
};

/// One tick in this many is a slow tick, which also checks the live hosts.
const SLOW_TICK_PERIOD: u32 = 4;

/// Interval at which the state machine receives the wall-clock time.
const WALL_CLOCK_INTERVAL: Duration = Duration::from_secs(60);

/// Compares the shared state with what was last reported to the state machine.
#[derive(Debug)]
pub struct ScopeObserver {
    service: ServiceName,
    context: Arc<MapContext>,
    ticks: u32,
    config: ConfigVersion,
    /// Digest of the live hosts as last reported; 0 before the first report.
    hosts_digest: u64,
    map: (MapVersion, BootTime),
    /// Latest map version that the state machine published.
    published: MapVersion,
    /// Latest map version reported as in use everywhere; older ones have been replaced.
    replaced: MapVersion,
    wall_clock_sent_at: Option<BootTime>,
    load_sent_at: BootTime,
    availability_checked_at: Option<BootTime>,
    unavailable: Duration,
}

impl ScopeObserver {
    /// Creates an observer that reports the whole state on its first calls.
    pub fn new(service: ServiceName, context: Arc<MapContext>) -> Self {
        let now = context.now();
        Self {
            service,
            context,
            ticks: 0,
            config: ConfigVersion(0),
            hosts_digest: 0,
            map: Default::default(),
            published: MapVersion::default(),
            replaced: MapVersion::default(),
            wall_clock_sent_at: None,
            load_sent_at: now,
            availability_checked_at: None,
            unavailable: Duration::ZERO,
        }
    }

    /// Records the version of a map that the state machine published.
    pub fn published(&mut self, version: MapVersion) {
        self.published = self.published.max(version);
    }

    /// Whether the current tick also checks the live hosts.
    pub fn is_slow_tick(&self) -> bool {
        self.ticks.is_multiple_of(SLOW_TICK_PERIOD)
    }

    /// Counts a tick and returns events for what changed since the last call. Map replacement
    /// and load are reported only if this host `controls` the scope.
    pub fn observe(&mut self, controls: bool) -> Vec<ScopeEvent> {
        self.ticks = self.ticks.wrapping_add(1);
        let mut events = Vec::new();
        events.extend(self.wall_clock_event());
        events.extend(self.spec_event());
        if self.is_slow_tick() || self.hosts_digest == 0 {
            events.extend(self.hosts_event());
        }
        events.extend(self.map_event());
        if controls {
            events.extend(self.replaced_event());
            events.extend(self.load_event());
        }
        self.update_unavailable_time();
        events
    }

    /// Total time without a valid routing map since this host received its first one.
    pub fn unavailable(&self) -> Duration {
        self.unavailable
    }

    fn update_unavailable_time(&mut self) {
        let Some(timed_map) = self.context.maps.stored(&self.service) else {
            return;
        };
        let now = self.context.now();
        if let Some(availability_checked_at) = self.availability_checked_at {
            let invalid_since = timed_map.valid_until.max(availability_checked_at);
            self.unavailable += now.since(invalid_since);
        }
        self.availability_checked_at = Some(now);
    }

    fn load_event(&mut self) -> Option<ScopeEvent> {
        let now = self.context.now();
        let span = now.since(self.load_sent_at);
        if span < LOAD_INTERVAL {
            return None;
        }
        self.load_sent_at = now;
        let counts = self.context.loads.take(&self.service);
        let rates = counts
            .into_iter()
            .map(|(shard, count)| (shard, f64::from(count) / span.as_secs_f64()));
        Some(ScopeEvent::LoadObserved(rates.collect()))
    }

    fn wall_clock_event(&mut self) -> Option<ScopeEvent> {
        let now = self.context.now();
        let last_sent = self.wall_clock_sent_at;
        if last_sent.is_some_and(|sent_at| now.since(sent_at) < WALL_CLOCK_INTERVAL) {
            return None;
        }
        self.wall_clock_sent_at = Some(now);
        Some(ScopeEvent::WallClock {
            millis: wall_millis(),
        })
    }

    fn spec_event(&mut self) -> Option<ScopeEvent> {
        let snapshot = self.context.config.config()?;
        if snapshot.version == self.config {
            return None;
        }
        self.config = snapshot.version;
        let spec = scope_spec(&snapshot, &self.service)?;
        Some(ScopeEvent::SpecChanged(Arc::new(spec)))
    }

    fn hosts_event(&mut self) -> Option<ScopeEvent> {
        let live = self.context.live_hosts();
        let hosts = digest(&live);
        if hosts == self.hosts_digest {
            return None;
        }
        self.hosts_digest = hosts;
        let host_infos = live.into_iter().map(|host| host.host);
        Some(ScopeEvent::HostsChanged(host_infos.collect()))
    }

    fn map_event(&mut self) -> Option<ScopeEvent> {
        let timed_map = self.context.maps.stored(&self.service)?;
        let map = (timed_map.map.version, timed_map.valid_until);
        if map == self.map {
            return None;
        }
        let changed = map.0 != self.map.0;
        self.map = map;
        Some(ScopeEvent::MapObserved {
            epoch: timed_map.map.version.epoch,
            valid_until: timed_map.valid_until,
            map: changed.then(|| timed_map.map.clone()),
        })
    }

    /// A map version counts as replaced once every host that polls this one for the scope,
    /// and every host downstream of such a host, has reported a newer version or has been
    /// silent for so long that its maps have expired.
    fn replaced_event(&mut self) -> Option<ScopeEvent> {
        let now = self.context.now();
        let oldest_version = self.context.hosts.oldest_version(&self.service, now);
        let replaced = oldest_version.map_or(self.published, |oldest_version| {
            oldest_version.min(self.published)
        });
        if replaced <= self.replaced {
            return None;
        }
        self.replaced = replaced;
        Some(ScopeEvent::MapsReplaced(replaced))
    }
}

/// Extracts the specification of one scope from a configuration; `None` if the service
/// is not configured.
pub fn scope_spec(snapshot: &ConfigSnapshot, service: &ServiceName) -> Option<ScopeSpec> {
    let mut services = snapshot.config.services.iter();
    let config = services.find(|config| config.name == *service)?;
    let orders = &snapshot.orders;
    let drained = orders.drained.iter().filter(|order| order.0 == *service);
    let pins = orders.pins.iter().filter(|order| order.0 == *service);
    Some(ScopeSpec {
        version: snapshot.version,
        service: config.clone(),
        drained: drained.map(|order| order.1.clone()).collect(),
        pins: pins
            .filter(|_| config.shards > 0)
            .map(|order| {
                let hash = KeyHash::of(order.1.as_bytes());
                (shard_of(hash, config.shards), order.2.clone())
            })
            .collect(),
    })
}
