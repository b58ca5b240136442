//! Simulation of one service without keys in three zones: hosts with gauges and reports, a leader, lost and
//! delayed datagrams, and servers with slots and queues. All randomness comes from one seed.

use {
    crate::zone_plan::{ChoicePlan, ZONES, ZoneOutcome, ZonePlan, at, service_name, zone_name},
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, Candidate, ReportedLoad, RequestOutcome, ServerGauge,
            ServiceDemand, WorkTime, ZoneTransfer, choose_server,
        },
        zones::{
            AnswerWatch, RequestZone, ServiceCapacity, TransferPlanner, TransferTable,
            WatchedServer, choose_zone_server,
        },
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::Duration,
    },
};

/// Length of a run, and the middle part in which a change of load or a loss applies, in milliseconds.
pub const END_MS: u64 = 30_000;
pub const CHANGE_MS: u64 = 10_000;
pub const CHANGE_END_MS: u64 = 20_000;

/// Interval of reports and digests.
pub const REPORT_MS: u64 = 250;

/// Share of datagrams that are lost, and the most that one is delayed.
const LOSS_SHARE: f64 = 0.05;
const MAX_DELAY_MS: u64 = 80;

/// Time for which each tenth host receives no digest, in each period of this length.
const DEAF_MS: u64 = 2_500;
const DEAF_PERIOD_MS: u64 = 9_000;

/// Time that a request is on its way to another zone, and within the zone.
const REMOTE_MS: u64 = 3;
const LOCAL_MS: u64 = 1;

/// Time after which a request to a lost server counts as unresponsive.
const CONNECT_MS: u64 = 300;

/// Servers per zone of deployment V, with its slots, queue, mean time and speeds.
const SERVERS: usize = 10;
const SLOTS: u32 = 2;
const QUEUE: usize = 8;
const SERVICE_MS: f64 = 260.0;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// Share of the machines on which work takes three times as long, and how long that lasts.
const SLOW_SHARE: f64 = 0.2;
const SLOW_MS: u64 = 400;

/// Hosts per zone.
pub const HOSTS: usize = 28;

/// Limits of each request.
pub const TARGET: Duration = Duration::from_millis(1_000);
const DEADLINE: Duration = Duration::from_millis(4_000);
const MAX_ATTEMPTS: usize = 2;

#[derive(Clone, Debug)]
struct SimRequest {
    host: usize,
    arrived: u64,
    tried: Vec<usize>,
    sent: u64,
}

#[derive(Clone, Debug, Default)]
struct SimServer {
    running: u32,
    queue: VecDeque<SimRequest>,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    AtServer(usize, SimRequest),
    Finished(usize, SimRequest),
    Answered(usize, SimRequest, ReportedLoad),
    Refused(usize, SimRequest, ReportedLoad),
    Unresponsive(usize, SimRequest),
    Report(usize),
    ReportAtLeader(usize, HostReport),
    LeaderRound,
    DigestAtHost(usize, Vec<ZoneTransfer>, Vec<u32>),
}

#[derive(Debug)]
struct HostReport {
    demand: u32,
    /// In flight, successes and their mean time at each server.
    servers: Vec<(u32, u32, f64)>,
}

struct SimHost {
    zone: usize,
    gauges: Vec<ServerGauge>,
    table: TransferTable,
    demand: u32,
}

#[derive(Clone, Debug, Default)]
struct ServerRecord {
    mean: Option<f64>,
}

struct ZoneRun {
    plan: ZonePlan,
    choice: ChoicePlan,
    random: ChaCha8Rng,
    now: u64,
    /// Events by time and number, and their contents.
    order: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<SimHost>,
    servers: Vec<SimServer>,
    planner: TransferPlanner,
    watch: AnswerWatch<usize>,
    records: Vec<ServerRecord>,
    in_flight: Vec<Vec<u32>>,
    outcome: ZoneOutcome,
}

fn zone_of(server: usize) -> usize {
    server / SERVERS
}

/// Runs one simulation.
pub fn simulate(plan: ZonePlan, choice: ChoicePlan, seed: u64) -> ZoneOutcome {
    let mut run = ZoneRun::new(plan, choice, seed);
    for zone in 0..ZONES {
        run.schedule(zone as u64, Event::Arrival(zone));
    }
    for host in 0..run.hosts.len() {
        let first = run.random.random_range(0..REPORT_MS);
        run.schedule(first, Event::Report(host));
    }
    run.schedule(REPORT_MS, Event::LeaderRound);
    while let Some(Reverse((time, number))) = run.order.pop() {
        if time >= END_MS {
            break;
        }
        run.now = time;
        let event = run.events[number].take().expect("runs once");
        run.handle(event);
    }
    run.outcome
}

impl ZoneRun {
    fn new(plan: ZonePlan, choice: ChoicePlan, seed: u64) -> Self {
        let server_count = ZONES * SERVERS;
        let host = |number: usize| SimHost {
            zone: number / HOSTS,
            gauges: (0..server_count)
                .map(|_| ServerGauge::new(SLOTS, Duration::ZERO, at(0)))
                .collect(),
            table: TransferTable::new(zone_name(number / HOSTS)),
            demand: 0,
        };
        Self {
            plan,
            choice,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            order: BinaryHeap::new(),
            events: Vec::new(),
            hosts: (0..ZONES * HOSTS).map(host).collect(),
            servers: vec![SimServer::default(); server_count],
            planner: TransferPlanner::new(&[], at(0)),
            watch: AnswerWatch::default(),
            records: vec![ServerRecord::default(); server_count],
            in_flight: vec![vec![0; server_count]; ZONES * HOSTS],
            outcome: ZoneOutcome::default(),
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.order
            .push(Reverse((self.now + delay, self.events.len())));
        self.events.push(Some(event));
    }

    fn is_changed(&self) -> bool {
        (CHANGE_MS..CHANGE_END_MS).contains(&self.now)
    }

    fn is_lost(&self, server: usize) -> bool {
        self.is_changed() && self.plan.lost == Some(zone_of(server))
    }

    /// Delay of a datagram; `None` if it is lost.
    fn datagram_delay(&mut self) -> Option<u64> {
        let is_lost = self.random.random::<f64>() < LOSS_SHARE;
        (!is_lost).then(|| self.random.random_range(1..MAX_DELAY_MS))
    }

    fn way(&self, host: usize, server: usize) -> u64 {
        match self.hosts[host].zone == zone_of(server) {
            true => LOCAL_MS,
            false => REMOTE_MS,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(zone) => self.arrive(zone),
            Event::AtServer(server, request) => self.reach_server(server, request),
            Event::Finished(server, request) => self.finish(server, request),
            Event::Answered(server, request, load) => self.answer(server, request, load),
            Event::Refused(server, request, load) => {
                let now = at(self.now);
                let latency = Duration::from_millis(self.now - request.sent);
                let gauge = &mut self.hosts[request.host].gauges[server];
                gauge.record_ended(RequestOutcome::Refused, latency, now);
                gauge.record_reported_load(load, now);
                self.dispatch(request);
            }
            Event::Unresponsive(server, request) => {
                let now = at(self.now);
                let gauge = &mut self.hosts[request.host].gauges[server];
                gauge.record_ended(RequestOutcome::Unresponsive, Duration::ZERO, now);
                self.dispatch(request);
            }
            Event::Report(host) => self.report(host),
            Event::ReportAtLeader(host, report) => self.record_report(host, &report),
            Event::LeaderRound => self.run_leader_round(),
            Event::DigestAtHost(host, transfers, totals) => {
                let phase = self.random.random();
                let host = &mut self.hosts[host];
                host.table.set_transfers(transfers, phase, at(self.now));
                for (gauge, total) in host.gauges.iter_mut().zip(totals) {
                    gauge.set_remote_load(total.saturating_sub(gauge.published_in_flight()));
                }
            }
        }
    }

    fn arrive(&mut self, zone: usize) {
        let rates = match self.is_changed() {
            true => self.plan.changed,
            false => self.plan.demand,
        };
        let pause = -(1.0 - self.random.random::<f64>()).ln() / rates[zone] * 1_000.0;
        self.schedule((pause.round() as u64).max(1), Event::Arrival(zone));
        let host = zone * HOSTS + self.random.random_range(0..HOSTS);
        self.hosts[host].demand += 1;
        self.outcome.requests[zone] += 1;
        let request = SimRequest {
            host,
            arrived: self.now,
            tried: Vec::new(),
            sent: self.now,
        };
        self.dispatch(request);
    }

    /// Sends the request to a server, or refuses it.
    fn dispatch(&mut self, mut request: SimRequest) {
        let now = at(self.now);
        let host = &mut self.hosts[request.host];
        let zone = host.zone;
        let waited = Duration::from_millis(self.now - request.arrived);
        let rule = AdmissionRule {
            target_latency: TARGET,
            time_left: DEADLINE.saturating_sub(waited),
            rank_limit: None,
            is_hot_key: false,
        };
        let mut candidates = Vec::new();
        for (server, gauge) in host.gauges.iter().enumerate() {
            let reading = gauge.read(now);
            candidates.push(Candidate {
                reading,
                local: zone_of(server) == zone,
                tried: request.tried.contains(&server),
                admitted: rule.decide(reading) == Admission::Send,
            });
        }
        let request_zone = host.table.next_zone(&service_name(), now);
        let wanted = match &request_zone {
            RequestZone::Undecided => None,
            RequestZone::Own => Some(zone),
            RequestZone::Other(name) => (0..ZONES).find(|zone| zone_name(*zone) == *name),
        };
        let chosen = wanted.and_then(|wanted| {
            let is_wanted = |server: usize| zone_of(server) == wanted;
            choose_zone_server(&candidates, is_wanted, TARGET, &mut self.random)
        });
        let by_fallback = chosen.is_none() || wanted == Some(zone);
        let chosen = chosen.or_else(|| choose_server(&candidates, TARGET, &mut self.random));
        let server = chosen.expect("there are servers");
        let takes_it = candidates[server].admitted;
        if request.tried.len() >= MAX_ATTEMPTS || !takes_it {
            self.outcome.refused[zone] += 1;
            return;
        }
        if zone_of(server) != zone {
            self.outcome.crossed += 1;
            self.outcome.crossed_by_fallback += u32::from(by_fallback);
        }
        host.gauges[server].record_sent();
        request.tried.push(server);
        request.sent = self.now;
        match self.is_lost(server) {
            true => self.schedule(CONNECT_MS, Event::Unresponsive(server, request)),
            false => {
                let way = self.way(request.host, server);
                self.schedule(way, Event::AtServer(server, request));
            }
        }
    }

    fn load(&self, server: usize) -> ReportedLoad {
        let server = &self.servers[server];
        ReportedLoad {
            running: server.running,
            waiting: server.queue.len() as u32,
            slots: SLOTS,
            work_time: WorkTime::USUAL,
        }
    }

    fn reach_server(&mut self, server: usize, request: SimRequest) {
        let target = &mut self.servers[server];
        if target.running < SLOTS {
            target.running += 1;
            let time = self.run_time(server);
            self.schedule(time, Event::Finished(server, request));
        } else if target.queue.len() < QUEUE {
            target.queue.push_back(request);
        } else {
            let load = self.load(server);
            let way = self.way(request.host, server);
            self.schedule(way, Event::Refused(server, request, load));
        }
    }

    fn run_time(&mut self, server: usize) -> u64 {
        // Which machines are slow changes with each period.
        let period = self.now / SLOW_MS;
        let mut machine =
            ChaCha8Rng::seed_from_u64(period.wrapping_mul(7_919).wrapping_add(server as u64));
        let slow = match machine.random::<f64>() < SLOW_SHARE {
            true => 3.0,
            false => 1.0,
        };
        let speed = SPEEDS[server % SPEEDS.len()];
        let work = 0.5 + self.random.random::<f64>();
        (SERVICE_MS * slow * work / speed) as u64
    }

    fn finish(&mut self, server: usize, request: SimRequest) {
        self.servers[server].running -= 1;
        let load = self.load(server);
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.servers[server].running += 1;
            let time = self.run_time(server);
            self.schedule(time, Event::Finished(server, next));
        }
        let way = self.way(request.host, server);
        match self.is_lost(server) {
            true => self.schedule(way, Event::Unresponsive(server, request)),
            false => self.schedule(way, Event::Answered(server, request, load)),
        }
    }

    fn answer(&mut self, server: usize, request: SimRequest, load: ReportedLoad) {
        let now = at(self.now);
        let host = &mut self.hosts[request.host];
        let latency = Duration::from_millis(self.now - request.sent);
        let gauge = &mut host.gauges[server];
        gauge.record_ended(RequestOutcome::Success, latency, now);
        gauge.record_reported_load(load, now);
        let took = Duration::from_millis(self.now - request.arrived);
        self.outcome.in_time[host.zone] += u32::from(took <= TARGET);
    }

    fn report(&mut self, number: usize) {
        self.schedule(REPORT_MS, Event::Report(number));
        let host = &mut self.hosts[number];
        let mut servers = Vec::new();
        for gauge in &mut host.gauges {
            let (successes, mean) = gauge.take_period();
            servers.push((gauge.publish_in_flight(), successes, mean));
        }
        let report = HostReport {
            demand: std::mem::take(&mut host.demand),
            servers,
        };
        if let Some(delay) = self.datagram_delay() {
            self.schedule(delay, Event::ReportAtLeader(number, report));
        }
    }

    fn record_report(&mut self, number: usize, report: &HostReport) {
        let zone = zone_name(self.hosts[number].zone);
        let demand = ServiceDemand {
            service: service_name(),
            requests: report.demand,
        };
        self.planner.record_demand(&zone, &demand);
        for (server, (in_flight, successes, mean)) in report.servers.iter().enumerate() {
            self.in_flight[number][server] = *in_flight;
            self.watch
                .record_load(server, *in_flight, *successes, at(self.now));
            if *successes == 0 {
                continue;
            }
            let weight = 1.0 - 0.9_f64.powf(f64::from(*successes));
            let record = &mut self.records[server];
            record.mean = Some(match record.mean {
                Some(old) => old + (mean - old) * weight,
                None => *mean,
            });
        }
    }

    fn run_leader_round(&mut self) {
        self.schedule(REPORT_MS, Event::LeaderRound);
        let mut capacity = ServiceCapacity {
            service: service_name(),
            target_latency: TARGET,
            zones: Default::default(),
        };
        for (server, record) in self.records.iter().enumerate() {
            let mean = record.mean.unwrap_or(SERVICE_MS / 1_000.0);
            let name = zone_name(zone_of(server));
            let watched = WatchedServer {
                incarnation: 1,
                zone: &name,
                service_time: mean,
            };
            if self.watch.is_silent(&server, watched, at(self.now)) {
                continue;
            }
            let zone = capacity.zones.entry(name);
            zone.or_default().add_server(SLOTS, mean, None);
        }
        self.planner.update(&[capacity], at(self.now));
        let mut transfers = self.planner.decide(at(self.now));
        self.record_decision(&transfers);
        if self.choice == ChoicePlan::Factor {
            transfers.clear();
        }
        let server_count = self.servers.len();
        let totals: Vec<u32> = (0..server_count)
            .map(|server| self.in_flight.iter().map(|host| host[server]).sum())
            .collect();
        for host in 0..self.hosts.len() {
            let is_deaf = host % 10 == 0 && self.now % DEAF_PERIOD_MS < DEAF_MS;
            let Some(delay) = self.datagram_delay().filter(|_| !is_deaf) else {
                continue;
            };
            let event = Event::DigestAtHost(host, transfers.clone(), totals.clone());
            self.schedule(delay, event);
        }
    }

    fn record_decision(&mut self, transfers: &[ZoneTransfer]) {
        let mut shares = [0.0; ZONES];
        for transfer in transfers {
            let from = (0..ZONES).find(|zone| zone_name(*zone) == transfer.from);
            if transfer.from != transfer.to {
                shares[from.expect("a zone of the run")] += transfer.share.fraction();
            }
        }
        let last = self.outcome.decisions.last();
        let last = last.map_or([0.0; ZONES], |(_, shares)| *shares);
        for (old, new) in last.iter().zip(shares) {
            self.outcome.changes += u32::from((*old > 0.0) != (new > 0.0));
        }
        self.outcome.decisions.push((self.now, shares));
        self.count_both_ways();
    }

    /// Counts this moment if hosts of two zones send to each other by the transfers that they hold now.
    fn count_both_ways(&mut self) {
        let mut applied = [[false; ZONES]; ZONES];
        for host in &self.hosts {
            for transfer in host.table.transfers(at(self.now)) {
                if transfer.from != zone_name(host.zone) {
                    continue;
                }
                let to = (0..ZONES).find(|zone| zone_name(*zone) == transfer.to);
                applied[host.zone][to.expect("a zone of the run")] = true;
            }
        }
        let mut pairs = (0..ZONES).flat_map(|from| (0..from).map(move |to| (from, to)));
        let is_both = |(from, to): &(usize, usize)| applied[*from][*to] && applied[*to][*from];
        self.outcome.both_ways += u32::from(pairs.any(|pair| is_both(&pair)));
    }
}
