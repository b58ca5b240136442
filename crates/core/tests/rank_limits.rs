//! Tests admission by rank under overload, where the ranks arrive at different hosts.

use {
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, RankGate, RankLimits, ReportedLoad, RequestOutcome,
            ReturnTarget, ServerGauge, WaitQueue, WaitTicket, WorkTime,
        },
        routing::{RetryPolicy, RouteRank, RouteRule},
        time::BootTime,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

const SLOTS: u32 = 2;
const SERVICE_MS: f64 = 250.0;
const SPAN_MS: u64 = 240_000;
/// Interval and age of what hosts learn from the leader about each other's requests.
const DIGEST_MS: u64 = 250;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn route(rank: u32, target_ms: u64, limit_ms: u64) -> RouteRule {
    RouteRule {
        name: format!("r{rank}"),
        host: "shop.test".to_owned(),
        prefix: "/".to_owned(),
        retry: RetryPolicy::AtMostOnce,
        time_limit: Duration::from_millis(limit_ms),
        target_latency: Duration::from_millis(target_ms),
        rank: RouteRank(rank),
        attempts: 1,
        split: Vec::new(),
    }
}

fn target() -> ReturnTarget {
    ReturnTarget::Owner("s1".parse().expect("an id"))
}

/// Which parts of admission are in use.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Unranked,
    Ranked,
    /// Ranks, and requests wait at their hosts.
    Waiting,
}

/// One host with the requests of one route.
struct SimHost {
    gauge: ServerGauge,
    gate: RankGate,
    rule: AdmissionRule,
    /// Requests a millisecond.
    rate: f64,
    in_flight: u32,
    queue: WaitQueue,
    /// End of the wait of each waiting request.
    waits: Vec<(WaitTicket, u64)>,
    offered: u32,
    served: u32,
}

impl SimHost {
    fn new(route: &RouteRule, limits: Option<&RankLimits>, rate: f64) -> Self {
        Self {
            gauge: ServerGauge::new(SLOTS, Duration::ZERO, at(0)),
            gate: RankGate::default(),
            rule: AdmissionRule {
                target_latency: route.target_latency,
                time_left: route.time_limit,
                rank_limit: limits.and_then(|limits| limits.limit(route)),
                is_hot_key: false,
            },
            rate,
            in_flight: 0,
            queue: WaitQueue::default(),
            waits: Vec::new(),
            offered: 0,
            served: 0,
        }
    }

    fn admits(&mut self, now: BootTime) -> bool {
        let reading = self.gauge.read(now);
        let admission = match self.rule.rank_limit {
            Some(_) => self.gate.decide(self.rule, reading),
            None => self.rule.decide(reading),
        };
        admission == Admission::Send
    }

    /// Lets a refused request wait, if room is expected soon.
    fn begin_wait(&mut self, now: u64) {
        let longest = self.rule.longest_wait(self.gauge.read(at(now)));
        if longest.is_zero() {
            return;
        }
        if let Some(ticket) = self.queue.enter(target(), RouteRank(0), 100) {
            self.waits.push((ticket, now + longest.as_millis() as u64));
        }
    }

    /// Whether a waiting request is sent now, as a request of this host has ended.
    fn wake(&mut self, now: u64) -> bool {
        let Some(ticket) = self.queue.wake_next(&target()) else {
            return false;
        };
        let is_sent = self.rule.decide(self.gauge.read(at(now))) == Admission::Send;
        match is_sent {
            true => self.leave(ticket),
            false => self.queue.wait_on(ticket),
        }
        is_sent
    }

    fn leave(&mut self, ticket: WaitTicket) {
        self.queue.leave(ticket);
        self.waits.retain(|(waiting, _)| *waiting != ticket);
    }

    /// Ends the waits that have lasted too long.
    fn expire_waits(&mut self, now: u64) {
        for (ticket, ends_at) in self.waits.clone() {
            if ends_at <= now {
                self.leave(ticket);
            }
        }
    }

    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

/// Runs one server under `overload` times its capacity; each route arrives at a host of its own.
/// Returns the share of requests served by host, and of all requests.
fn simulate(routes: &[RouteRule], mode: Mode, overload: f64, seed: u64) -> (Vec<f64>, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let limits = RankLimits::of_routes(routes).filter(|_| mode != Mode::Unranked);
    let rate = overload * f64::from(SLOTS) / SERVICE_MS / routes.len() as f64;
    let mut hosts: Vec<SimHost> = routes
        .iter()
        .map(|route| SimHost::new(route, limits.as_ref(), rate))
        .collect();
    let mut slots = vec![0_u64; SLOTS as usize];
    // End, start and host of each request at the server.
    let mut requests: Vec<(u64, u64, usize, u64)> = Vec::new();
    let mut published = vec![0_u32; hosts.len()];
    for now in 0..SPAN_MS {
        if now.is_multiple_of(DIGEST_MS) {
            for (number, host) in hosts.iter_mut().enumerate() {
                let total: u32 = published.iter().sum();
                host.gauge.set_remote_load(total - published[number]);
            }
            for (number, host) in hosts.iter_mut().enumerate() {
                published[number] = host.gauge.publish_in_flight();
            }
        }
        let ended: Vec<_> = requests.extract_if(.., |(end, ..)| *end <= now).collect();
        let mut woken = Vec::new();
        for (_, _, number, sent) in ended {
            let running = requests
                .iter()
                .filter(|(_, start, ..)| *start <= now)
                .count() as u32;
            let load = ReportedLoad {
                running,
                waiting: requests.len() as u32 - running,
                slots: SLOTS,
                work_time: WorkTime::USUAL,
            };
            let host = &mut hosts[number];
            let latency = Duration::from_millis(now - sent);
            host.gauge
                .record_ended(RequestOutcome::Success, latency, at(now));
            host.gauge.record_reported_load(load, at(now));
            host.in_flight -= 1;
            host.served += 1;
            woken.push(number);
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            host.expire_waits(now);
            let is_woken = woken.contains(&number) && host.wake(now);
            let mut sends = u32::from(is_woken);
            if random.random::<f64>() < host.rate {
                host.offered += 1;
                if host.admits(at(now)) {
                    sends += 1;
                } else if mode == Mode::Waiting {
                    host.begin_wait(now);
                }
            }
            for _ in 0..sends {
                host.gauge.record_sent();
                host.in_flight += 1;
                let work = SERVICE_MS * (0.5 + random.random::<f64>());
                let slot = slots.iter_mut().min().expect("slots");
                let start = (*slot).max(now);
                *slot = start + work as u64;
                requests.push((*slot, start, number, now));
            }
        }
    }
    let served: u32 = hosts.iter().map(|host| host.served).sum();
    let offered: u32 = hosts.iter().map(|host| host.offered).sum();
    let shares = hosts.iter().map(SimHost::served_share).collect();
    (shares, f64::from(served) / f64::from(offered))
}

/// Load: 1.5 to 3 times the capacity of one server, the most urgent route with the shortest target
/// latency. Guards against the urgent route being served least, as it is without ranks, and
/// against ranks that starve the less urgent one.
#[rstest]
fn urgent_requests_are_served_first_and_no_rank_starves(
    #[values(1.5, 2.0, 3.0)] overload: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let routes = [route(0, 1_000, 4_000), route(2, 4_000, 8_000)];

    let (shares, mean) = simulate(&routes, Mode::Ranked, overload, seed);

    assert!(shares[0] >= shares[1], "served {shares:?}, mean {mean}");
    assert!(shares[1] >= mean / 4.0, "served {shares:?}, mean {mean}");
    let (unranked, _) = simulate(&routes, Mode::Unranked, overload, seed);
    assert!(
        unranked[0] < unranked[1],
        "served without ranks {unranked:?}"
    );
}

/// Load: three ranks at three hosts, and a less urgent rank with the shortest target (customer C).
/// Guards against an order of the limits that follows the targets instead of the ranks, and against waits
/// at the hosts that let less urgent requests overtake urgent ones.
#[rstest]
#[case::three_ranks(vec![route(0, 1_000, 4_000), route(1, 1_200, 5_000), route(2, 4_000, 8_000)])]
#[case::short_target_of_low_rank(vec![route(1, 1_200, 3_000), route(2, 800, 2_000)])]
fn ranks_are_served_in_their_order(
    #[case] routes: Vec<RouteRule>,
    #[values(1.5, 2.0, 3.0)] overload: f64,
    #[values(Mode::Ranked, Mode::Waiting)] mode: Mode,
    #[values(1, 2, 3)] seed: u64,
) {
    let (shares, mean) = simulate(&routes, mode, overload, seed);

    for pair in shares.windows(2) {
        assert!(pair[0] >= pair[1], "served {shares:?}, mean {mean}");
    }
    let lowest = shares[shares.len() - 1];
    assert!(lowest >= mean / 4.0, "served {shares:?}, mean {mean}");
}

/// Load: 0.6 of the capacity. Guards against ranks that refuse requests while there is
/// room.
#[rstest]
fn less_urgent_requests_are_served_while_there_is_room(#[values(1, 2, 3)] seed: u64) {
    let routes = [route(0, 1_000, 4_000), route(2, 4_000, 8_000)];

    let (shares, _) = simulate(&routes, Mode::Ranked, 0.6, seed);

    assert!(shares[1] >= 0.9, "served {shares:?}");
}

/// Guards against limits where all routes have the same rank: they are to be served as before.
#[test]
fn equal_ranks_have_no_limits() {
    let routes = [route(2, 2_000, 5_000), route(2, 3_000, 6_000)];

    assert_eq!(RankLimits::of_routes(&routes), None);
}
