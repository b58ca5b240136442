//! Runs a controller's state machine against servers and electors that answer at once.

use {
    camphorcove_core::{
        conf::{RequestLimits, RoutingMode, ServerConfig, ServiceConfig},
        control::{
            HostInfo, ScopeAction, ScopeEvent, ScopeMachine, ScopeSpec, ServerReply, ServerReport,
            ServerResult,
        },
        election::ElectorTable,
        ids::{ConfigVersion, Epoch, HostId, ObjectVersion, ServerId, ServiceName, ZoneName},
        map::RoutingMap,
        scope::ScopeState,
        time::BootTime,
    },
    nix::time::{ClockId, clock_gettime},
    std::{
        collections::{HashMap, VecDeque},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Interval of the machine's ticks.
const TICK: Duration = Duration::from_millis(50);

/// Sizes of one run.
#[derive(Clone, Copy, Debug)]
pub struct DriverSizes {
    /// Backend servers of the scope.
    pub servers: usize,
    /// Shards of the scope.
    pub shards: u32,
    /// Live hosts of the region.
    pub hosts: usize,
    /// Simulated time after the first assignment has settled.
    pub steady: Duration,
}

/// What a run cost in its steady part.
#[derive(Clone, Debug, Default)]
pub struct DriverTotals {
    /// Processor time of the state machine, in seconds.
    pub cpu_seconds: f64,
    /// Simulated seconds.
    pub seconds: f64,
    /// Orders sent to servers.
    pub orders: u64,
    /// Bytes of the orders' bodies.
    pub order_bytes: u64,
    /// Requests for promises.
    pub promises: u64,
    /// Reads of the scope object.
    pub reads: u64,
    /// Writes of the scope object.
    pub writes: u64,
    /// Maps published or prolonged.
    pub maps: u64,
    /// Latest scope object.
    pub state: Option<ScopeState>,
    /// Latest map.
    pub map: Option<Arc<RoutingMap>>,
}

/// Everything around the machine, in memory.
struct ScopeWorld {
    machine: ScopeMachine,
    electors: HashMap<HostId, ElectorTable>,
    object: Option<(ObjectVersion, ScopeState)>,
    now: BootTime,
    totals: DriverTotals,
}

/// Runs one controller and returns the cost of its steady part.
pub fn drive_scope(sizes: DriverSizes) -> DriverTotals {
    let hosts = host_list(sizes.hosts);
    let start = BootTime::from_millis(1_000_000);
    let machine = ScopeMachine::new(service_name(), hosts[0].clone(), 1, 1);
    let electors = hosts
        .iter()
        .map(|host| (host.id.clone(), ElectorTable::new(BootTime::from_millis(0))))
        .collect();
    let mut world = ScopeWorld {
        machine,
        electors,
        object: None,
        now: start,
        totals: DriverTotals::default(),
    };
    world.run(ScopeEvent::HostsChanged(hosts));
    world.run(ScopeEvent::SpecChanged(Arc::new(spec(sizes))));
    world.run_for(Duration::from_secs(20));
    world.totals = DriverTotals::default();
    world.run_for(sizes.steady);
    world.totals.seconds = sizes.steady.as_secs_f64();
    world.totals.state = world.object.map(|(_, state)| state);
    world.totals
}

impl ScopeWorld {
    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.run(ScopeEvent::Tick);
        }
    }

    fn run(&mut self, event: ScopeEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let before = thread_cpu();
            let actions = self.machine.handle(event, self.now);
            self.totals.cpu_seconds += (thread_cpu() - before).as_secs_f64();
            for action in actions {
                events.extend(self.answer(action));
            }
        }
    }

    fn answer(&mut self, action: ScopeAction) -> Option<ScopeEvent> {
        match action {
            ScopeAction::ReadScope => {
                self.totals.reads += 1;
                Some(ScopeEvent::ScopeRead {
                    sent_at: self.now,
                    result: Ok(self.object.clone()),
                })
            }
            ScopeAction::WriteScope { write, state, .. } => {
                self.totals.writes += 1;
                let version = self.object.as_ref().map_or(1, |(version, _)| version.0 + 1);
                self.note_read(&state);
                self.object = Some((ObjectVersion(version), *state));
                Some(ScopeEvent::ScopeWritten {
                    write,
                    result: Ok(ObjectVersion(version)),
                })
            }
            ScopeAction::AskPromise { elector, request } => {
                self.totals.promises += 1;
                let now = self.now;
                let table = self.electors.get_mut(&elector);
                let reply = table.map(|table| table.answer(&request, now));
                Some(ScopeEvent::PromiseAnswered {
                    elector,
                    sent_at: now,
                    reply,
                })
            }
            ScopeAction::SendOrder {
                server,
                order,
                body,
                ..
            } => {
                self.totals.orders += 1;
                self.totals.order_bytes += serde_json::to_vec(&body).map_or(0, |b| b.len() as u64);
                Some(ScopeEvent::OrderAnswered {
                    server,
                    order,
                    sent_at: self.now,
                    result: Ok(reply(self.machine.epoch())),
                })
            }
            ScopeAction::PublishMap { map, valid_until } => {
                self.totals.maps += 1;
                self.totals.map = Some(Arc::clone(&map));
                Some(ScopeEvent::MapObserved {
                    epoch: map.version.epoch,
                    valid_until,
                    map: Some(map),
                })
            }
            ScopeAction::OfferHandover { .. } | ScopeAction::SteppedDown => None,
        }
    }

    fn note_read(&mut self, state: &ScopeState) {
        for table in self.electors.values_mut() {
            table.scope_read(
                &state.service,
                state.epoch,
                &state.controller,
                state.nonce,
                self.now,
            );
        }
    }
}

fn reply(epoch: Epoch) -> ServerReply {
    ServerReply {
        result: ServerResult::Done,
        epoch,
        report: ServerReport {
            process: 1,
            ..ServerReport::default()
        },
    }
}

fn service_name() -> ServiceName {
    "ledig".parse().expect("a literal name")
}

fn zone_name(index: usize) -> ZoneName {
    format!("zone-{}", index % 4)
        .parse()
        .expect("a literal name")
}

fn host_list(count: usize) -> Vec<HostInfo> {
    (0..count)
        .map(|index| HostInfo {
            id: format!("host-{index}").parse().expect("a literal name"),
            zone: zone_name(index),
            leaving: false,
        })
        .collect()
}

fn spec(sizes: DriverSizes) -> ScopeSpec {
    let servers = (0..sizes.servers).map(server).collect();
    ScopeSpec {
        version: ConfigVersion(1),
        service: ServiceConfig {
            name: service_name(),
            host: None,
            path_prefix: "/".into(),
            routing: RoutingMode::Keyed,
            key: None,
            shards: sizes.shards,
            placement: camphorcove_core::conf::PlacementGoal::Availability,
            fencing: camphorcove_core::conf::FencingMode::Checked,
            class: camphorcove_core::conf::RequestClass::Interactive,
            dedup: camphorcove_core::conf::DedupMode::None,
            idempotent_methods: Vec::new(),
            max_moves: 256,
            limits: RequestLimits::default(),
            servers,
        },
        drained: Vec::new(),
        pins: Vec::new(),
    }
}

fn server(index: usize) -> ServerConfig {
    let id: ServerId = format!("server-{index}").parse().expect("a literal name");
    let port = 10_000 + u16::try_from(index).unwrap_or(0);
    ServerConfig {
        id,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        zone: zone_name(index),
        weight: 100,
        slots: 3,
        connections: 120,
    }
}

fn thread_cpu() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
