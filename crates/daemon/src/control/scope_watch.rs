//! Notices what changed around a scope between two ticks.

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

/// Ticks between two looks at the hosts.
const SLOW_TICKS: u32 = 4;

/// Interval at which the machine is told the wall-clock time.
const WALL_INTERVAL: Duration = Duration::from_secs(60);

/// Compares the shared state with what the machine was told last.
#[derive(Debug)]
pub struct ScopeWatch {
    service: ServiceName,
    context: Arc<MapContext>,
    ticks: u32,
    config: ConfigVersion,
    hosts: u64,
    map: (MapVersion, BootTime),
    published: MapVersion,
    replaced: MapVersion,
    wall_told: Option<BootTime>,
    load_told: BootTime,
    looked_at: Option<BootTime>,
    unavailable: Duration,
}

impl ScopeWatch {
    /// Watch for a machine that was told nothing.
    pub fn new(service: ServiceName, context: Arc<MapContext>) -> Self {
        let now = context.now();
        Self {
            service,
            context,
            ticks: 0,
            config: ConfigVersion(0),
            hosts: 0,
            map: Default::default(),
            published: MapVersion::default(),
            replaced: MapVersion::default(),
            wall_told: None,
            load_told: now,
            looked_at: None,
            unavailable: Duration::ZERO,
        }
    }

    /// Records the version of a map that the machine published.
    pub fn published(&mut self, version: MapVersion) {
        self.published = self.published.max(version);
    }

    /// Whether this tick is one of those that look at the hosts.
    pub fn is_slow_tick(&self) -> bool {
        self.ticks.is_multiple_of(SLOW_TICKS)
    }

    /// Events for what changed since the last call.
    pub fn observe(&mut self, controls: bool) -> Vec<ScopeEvent> {
        self.ticks = self.ticks.wrapping_add(1);
        let mut events = Vec::new();
        events.extend(self.wall_event());
        events.extend(self.spec_event());
        if self.is_slow_tick() || self.hosts == 0 {
            events.extend(self.hosts_event());
        }
        events.extend(self.map_event());
        if controls {
            events.extend(self.replaced_event());
            events.extend(self.load_event());
        }
        self.note_availability();
        events
    }

    /// Time without a valid map since the first one was held.
    pub fn unavailable(&self) -> Duration {
        self.unavailable
    }

    fn note_availability(&mut self) {
        let Some(held) = self.context.maps.held(&self.service) else {
            return;
        };
        let now = self.context.now();
        if let Some(looked_at) = self.looked_at {
            let lapsed_at = held.valid_until.max(looked_at);
            self.unavailable += now.since(lapsed_at);
        }
        self.looked_at = Some(now);
    }

    fn load_event(&mut self) -> Option<ScopeEvent> {
        let now = self.context.now();
        let span = now.since(self.load_told);
        if span < LOAD_INTERVAL {
            return None;
        }
        self.load_told = now;
        let counts = self.context.loads.take(&self.service);
        let rates = counts
            .into_iter()
            .map(|(shard, count)| (shard, f64::from(count) / span.as_secs_f64()));
        Some(ScopeEvent::LoadObserved(rates.collect()))
    }

    fn wall_event(&mut self) -> Option<ScopeEvent> {
        let now = self.context.now();
        let told = self.wall_told;
        if told.is_some_and(|told| now.since(told) < WALL_INTERVAL) {
            return None;
        }
        self.wall_told = Some(now);
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
        let live = self.context.live();
        let hosts = digest(&live);
        if hosts == self.hosts {
            return None;
        }
        self.hosts = hosts;
        let infos = live.into_iter().map(|host| host.host);
        Some(ScopeEvent::HostsChanged(infos.collect()))
    }

    fn map_event(&mut self) -> Option<ScopeEvent> {
        let held = self.context.maps.held(&self.service)?;
        let map = (held.map.version, held.valid_until);
        if map == self.map {
            return None;
        }
        let changed = map.0 != self.map.0;
        self.map = map;
        Some(ScopeEvent::MapObserved {
            epoch: held.map.version.epoch,
            valid_until: held.valid_until,
            map: changed.then(|| held.map.clone()),
        })
    }

    /// A version counts as replaced once every host that polls for the scope,
    /// and every host behind it, names a newer one or was not heard of for long.
    fn replaced_event(&mut self) -> Option<ScopeEvent> {
        let now = self.context.now();
        let floor = self.context.hosts.floor(&self.service, now);
        let replaced = floor.map_or(self.published, |floor| floor.min(self.published));
        if replaced <= self.replaced {
            return None;
        }
        self.replaced = replaced;
        Some(ScopeEvent::MapsReplaced(replaced))
    }
}

/// What a configuration says of one scope.
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
