//! Simulates a controller: runs its state machine, in simulated time, against servers, electors
//! and a platform that answer immediately.

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

/// Simulated time between two tick events of the state machine.
const TICK: Duration = Duration::from_millis(50);

/// Sizes of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSizes {
    /// Number of backend servers of the scope.
    pub servers: usize,
    /// Number of shards of the scope.
    pub shards: u32,
    /// Number of live hosts of the region.
    pub hosts: usize,
    /// Simulated time to measure, after all shards have been assigned.
    pub measured_time: Duration,
}

/// Costs of a controller in the measured part of a simulation, after start-up.
#[derive(Clone, Debug, Default)]
pub struct SimulationTotals {
    /// Processor time of the state machine, in seconds.
    pub cpu_seconds: f64,
    /// Simulated time in seconds.
    pub seconds: f64,
    /// Orders sent to servers.
    pub orders: u64,
    /// Bytes of the orders' bodies as JSON.
    pub order_bytes: u64,
    /// Requests to electors for promises.
    pub promises: u64,
    /// Reads of the scope object.
    pub reads: u64,
    /// Writes of the scope object.
    pub writes: u64,
    /// Number of times a map was published or its validity extended.
    pub maps: u64,
    /// Last written scope object.
    pub state: Option<ScopeState>,
    /// Last published map.
    pub map: Option<Arc<RoutingMap>>,
}

/// The state machine and the simulated systems around it.
struct ScopeSimulation {
    machine: ScopeMachine,
    /// Promise table of every host of the region.
    electors: HashMap<HostId, ElectorTable>,
    /// Scope object on the simulated platform, with its version.
    object: Option<(ObjectVersion, ScopeState)>,
    /// Simulated time.
    now: BootTime,
    totals: SimulationTotals,
}

/// Simulates one controller and returns its costs. The first 20 simulated seconds, in which it
/// takes over the scope and assigns the shards, are not measured.
pub fn simulate_scope(sizes: SimulationSizes) -> SimulationTotals {
    let hosts = host_list(sizes.hosts);
    let start = BootTime::from_millis(1_000_000);
    let machine = ScopeMachine::new(service_name(), hosts[0].clone(), 1, 1);
    let electors = hosts
        .iter()
        .map(|host| (host.id.clone(), ElectorTable::new(BootTime::from_millis(0))))
        .collect();
    let mut simulation = ScopeSimulation {
        machine,
        electors,
        object: None,
        now: start,
        totals: SimulationTotals::default(),
    };
    simulation.dispatch(ScopeEvent::HostsChanged(hosts));
    simulation.dispatch(ScopeEvent::SpecChanged(Arc::new(spec(sizes))));
    simulation.advance(Duration::from_secs(20));
    simulation.totals = SimulationTotals::default();
    simulation.advance(sizes.measured_time);
    simulation.totals.seconds = sizes.measured_time.as_secs_f64();
    simulation.totals.state = simulation.object.map(|(_, state)| state);
    simulation.totals
}

impl ScopeSimulation {
    /// Advances the simulated time by `span`, with a tick event every [`TICK`].
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.dispatch(ScopeEvent::Tick);
        }
    }

    /// Passes an event, and then the events that result from its actions, to the state machine.
    /// Only the machine's own processor time is measured.
    fn dispatch(&mut self, event: ScopeEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let before = thread_cpu_time();
            let actions = self.machine.handle(event, self.now);
            self.totals.cpu_seconds += (thread_cpu_time() - before).as_secs_f64();
            for action in actions {
                events.extend(self.answer(action));
            }
        }
    }

    /// Counts and executes an action; returns the event that reports its result.
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
                self.record_scope_read(&state);
                self.object = Some((ObjectVersion(version), *state));
                Some(ScopeEvent::ScopeWritten {
                    write,
                    result: Ok(ObjectVersion(version)),
                })
            }
            ScopeAction::RequestPromise { elector, request } => {
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

    /// Informs every elector of the new content of the scope object.
    fn record_scope_read(&mut self, state: &ScopeState) {
        for table in self.electors.values_mut() {
            table.record_scope_object(
                &state.service,
                state.epoch,
                &state.controller,
                state.nonce,
                self.now,
            );
        }
    }
}

/// Successful answer of a server to an order.
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
    "ledig".parse().expect("literal names are valid")
}

fn zone_name(index: usize) -> ZoneName {
    format!("zone-{}", index % 4)
        .parse()
        .expect("literal names are valid")
}

fn host_list(count: usize) -> Vec<HostInfo> {
    (0..count)
        .map(|index| HostInfo {
            id: format!("host-{index}")
                .parse()
                .expect("literal names are valid"),
            zone: zone_name(index),
            leaving: false,
        })
        .collect()
}

fn spec(sizes: SimulationSizes) -> ScopeSpec {
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
    let id: ServerId = format!("server-{index}")
        .parse()
        .expect("literal names are valid");
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

/// Processor time used by the current thread so far.
fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
