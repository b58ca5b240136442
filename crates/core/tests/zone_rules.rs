//! Rules of the decision which requests leave their availability zone, and of its use at a host.

use {
    camphorcove_core::{
        dispatch::{
            AdmittedShare, Candidate, GaugeReading, ServiceDemand, ZoneTransfer, choose_server,
        },
        ids::{ServiceName, ZoneName},
        time::BootTime,
        zones::{
            AnswerWatch, RequestZone, ServiceCapacity, TransferPlanner, TransferTable,
            WatchedServer, ZoneCapacity, choose_zone_server, utilization_limit,
        },
    },
    proptest::{collection::vec, prelude::*},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const TARGET: Duration = Duration::from_millis(1_000);

/// Interval of reports and digests, in milliseconds.
const REPORT_MS: u64 = 250;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn zone(number: usize) -> ZoneName {
    format!("zone-{number}").parse().expect("valid name")
}

fn service() -> ServiceName {
    "uploads".parse().expect("valid name")
}

fn transfer(from: usize, to: usize, share: f64) -> ZoneTransfer {
    ZoneTransfer {
        service: service(),
        from: zone(from),
        to: zone(to),
        share: AdmittedShare::from_fraction(share),
    }
}

/// Capacity of zones with these numbers of servers, each with 2 slots and 0.2 s a request.
fn capacity(servers: &[u32], limit: Option<f64>) -> ServiceCapacity {
    let mut zones = BTreeMap::new();
    for (number, count) in servers.iter().enumerate() {
        let mut capacity = ZoneCapacity::default();
        for _ in 0..*count {
            capacity.add_server(2, 0.2, limit);
        }
        zones.insert(zone(number), capacity);
    }
    ServiceCapacity {
        service: service(),
        target_latency: TARGET,
        zones,
    }
}

/// Gives the planner `rounds` rounds of this steady demand, in requests a second, from `from` on;
/// returns the last decision and the time after it.
fn run_rounds(
    planner: &mut TransferPlanner,
    capacity: &ServiceCapacity,
    demand: &[f64],
    rounds: u64,
    from: u64,
) -> (Vec<ZoneTransfer>, u64) {
    let mut transfers = Vec::new();
    let mut now = from;
    for _ in 0..rounds {
        now += REPORT_MS;
        for (number, rate) in demand.iter().enumerate() {
            let demand = ServiceDemand {
                service: service(),
                requests: (rate * REPORT_MS as f64 / 1_000.0).round() as u32,
            };
            planner.record_demand(&zone(number), &demand);
        }
        planner.update(std::slice::from_ref(capacity), at(now));
        transfers = planner.decide(at(now));
    }
    (transfers, now)
}

fn decided(servers: &[u32], demand: &[f64]) -> Vec<ZoneTransfer> {
    let mut planner = TransferPlanner::new(&[], at(0));
    let (transfers, _) = run_rounds(&mut planner, &capacity(servers, None), demand, 20, 0);
    transfers
}

fn between_zones(transfers: &[ZoneTransfer]) -> Vec<&ZoneTransfer> {
    let is_sent = |transfer: &&ZoneTransfer| transfer.from != transfer.to;
    transfers.iter().filter(is_sent).collect()
}

/// Guards against a division that ignores which zone has how much room.
#[test]
fn excess_is_divided_by_the_room() {
    let transfers = decided(&[10, 10, 20], &[140.0, 40.0, 40.0]);

    let to = |number| {
        let sent = transfers
            .iter()
            .find(|transfer| transfer.to == zone(number));
        sent.expect("sends there").share.fraction()
    };
    let total = to(1) + to(2);
    assert!((0.4..0.65).contains(&total), "{total} leaves");
    assert!(to(2) > to(1) * 2.0, "{} and {}", to(1), to(2));
}

/// Guards against a leader whose decision that nothing is sent looks like no decision.
#[test]
fn decision_that_nothing_is_sent_is_not_empty() {
    let transfers = decided(&[10, 10], &[20.0, 20.0]);

    assert!(!transfers.is_empty());
    assert!(between_zones(&transfers).is_empty());
}

/// Guards against requests that are kept in a zone without servers, and against one that keeps none at all,
/// so that nothing shows when its servers answer again.
#[test]
fn zone_without_servers_sends_nearly_all() {
    let transfers = decided(&[0, 10], &[20.0, 20.0]);

    assert_eq!(transfers, [transfer(0, 1, 0.95)]);
}

/// Guards against capacity that limited servers do not have.
#[test]
fn limits_of_servers_bound_their_capacity() {
    let mut planner = TransferPlanner::new(&[], at(0));
    let mut both = capacity(&[10, 10], None);
    both.zones
        .insert(zone(0), capacity(&[10], Some(2.0)).zones[&zone(0)]);

    let (transfers, _) = run_rounds(&mut planner, &both, &[40.0, 20.0], 20, 0);

    assert_eq!(between_zones(&transfers).len(), 1);
    assert_eq!((&transfers[0].from, &transfers[0].to), (&zone(0), &zone(1)));
}

/// Guards against a new leader that lets requests go against those which hosts still send by the decision of its
/// predecessor.
#[test]
fn new_leader_does_not_reverse_what_hosts_may_still_apply() {
    let known = [transfer(1, 0, 0.2)];
    let capacity = capacity(&[10, 10], None);
    let demand = [140.0, 20.0];
    let mut planner = TransferPlanner::new(&known, at(0));

    let (early, now) = run_rounds(&mut planner, &capacity, &demand, 6, 0);
    let (late, _) = run_rounds(&mut planner, &capacity, &demand, 2, now);

    assert_eq!(now, 1_500);
    assert!(between_zones(&early).is_empty());
    assert_eq!(between_zones(&late).len(), 1);
}

/// Guards against a zone that begins and ends to send whenever its demand crosses one threshold.
#[test]
fn demand_near_the_threshold_does_not_flap() {
    let capacity = capacity(&[10, 10], None);
    let mut planner = TransferPlanner::new(&[], at(0));
    let mut now = 0;
    let mut changes = 0;
    let mut was_sending = false;
    for block in 0..10 {
        let demand = if block % 2 == 0 { 84.0 } else { 70.0 };
        for _ in 0..40 {
            let (transfers, later) = run_rounds(&mut planner, &capacity, &[demand, 30.0], 1, now);
            now = later;
            let is_sending = !between_zones(&transfers).is_empty();
            changes += u32::from(is_sending != was_sending);
            was_sending = is_sending;
        }
    }

    let (demand, usable) = planner.zone_rates(&service(), &zone(0)).expect("known");
    assert!(
        demand < usable,
        "the load crosses the threshold: {demand}, {usable}"
    );
    assert_eq!(changes, 1);
}

proptest! {
    /// Guards, for any capacity and demand, against a zone that sends and receives, shares above one, receivers that get
    /// more than their servers take, and requests that leave although no zone has room.
    #[test]
    fn decisions_keep_to_the_rules(
        servers in vec(0_u32..30, 2..6),
        rates in vec(0.0_f64..250.0, 6),
    ) {
        let demand = &rates[..servers.len()];
        let transfers = decided(&servers, demand);

        prop_assert!(!transfers.is_empty());
        let sent = between_zones(&transfers);
        let senders: BTreeSet<_> = sent.iter().map(|transfer| transfer.from.clone()).collect();
        let receivers: BTreeSet<_> = sent.iter().map(|transfer| transfer.to.clone()).collect();
        prop_assert!(senders.is_disjoint(&receivers), "{sent:?}");
        for (number, rate) in demand.iter().enumerate() {
            let name = zone(number);
            let leaving = sent.iter().filter(|transfer| transfer.from == name);
            let leaving: f64 = leaving.map(|transfer| transfer.share.fraction()).sum();
            prop_assert!(leaving <= 0.96, "{leaving} leaves {name}");
            let mut received = 0.0;
            for transfer in sent.iter().filter(|transfer| transfer.to == name) {
                let from = (0..servers.len()).find(|from| zone(*from) == transfer.from);
                received += demand[from.expect("a zone")] * transfer.share.fraction();
            }
            let full = f64::from(servers[number]) * 10.0;
            // Counts of a round are rounded to whole requests.
            prop_assert!(received == 0.0 || received + rate <= full * 0.95 + 8.0, "{name}");
            prop_assert!(leaving == 0.0 || *rate >= full * 0.4 - 4.0, "{name} sends early");
        }
    }
}

/// Guards against a decision that takes long at the largest size: 60 services in 3 zones, 500 hosts.
#[test]
fn decision_for_many_services_takes_microseconds_each() {
    let name =
        |number: usize| -> ServiceName { format!("service-{number}").parse().expect("valid name") };
    let capacities: Vec<ServiceCapacity> = (0..60)
        .map(|number| ServiceCapacity {
            service: name(number),
            ..capacity(&[50, 50, 60], None)
        })
        .collect();
    let mut planner = TransferPlanner::new(&[], at(0));
    let demand = |number| ServiceDemand {
        service: name(number),
        requests: 1,
    };
    for host in 0..500 {
        for number in 0..60 {
            planner.record_demand(&zone(host % 3), &demand(number));
        }
    }

    let started = Instant::now();
    planner.update(&capacities, at(REPORT_MS));
    let transfers = planner.decide(at(REPORT_MS));
    let took = started.elapsed();

    println!("{} transfers, {took:?} for 60 services", transfers.len());
    assert!(took < Duration::from_millis(20), "{took:?}");
}

/// Guards against a threshold that lets servers miss the target latency, or that wastes most of them.
#[rstest]
#[case::long_target(2.0, 260, 4_000, 0.89, 0.9)]
#[case::usual_target(2.0, 260, 1_000, 0.6, 0.75)]
#[case::many_slots(6.0, 580, 2_000, 0.75, 0.9)]
#[case::missed_without_queue(2.0, 900, 800, 0.5, 0.51)]
fn utilization_limit_follows_the_target(
    #[case] slots: f64,
    #[case] service_ms: u64,
    #[case] target_ms: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let service_time = Duration::from_millis(service_ms);
    let limit = utilization_limit(slots, service_time, Duration::from_millis(target_ms));

    assert!((least..=most).contains(&limit), "{limit}");
}

/// Guards against hosts that send another share than the leader names.
#[test]
fn host_sends_exactly_the_shares() {
    let mut table = TransferTable::new(zone(0));
    let shares = vec![
        transfer(0, 1, 0.3),
        transfer(0, 2, 0.15),
        transfer(2, 0, 0.5),
    ];
    table.set_transfers(shares, 0.4, at(0));
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..1_000 {
        let next = format!("{:?}", table.next_zone(&service(), at(100)));
        *counts.entry(next).or_default() += 1;
    }

    let count = |next: RequestZone| counts[&format!("{next:?}")];
    assert!(count(RequestZone::Other(zone(1))).abs_diff(300) <= 1);
    assert!(count(RequestZone::Other(zone(2))).abs_diff(150) <= 1);
    assert!(count(RequestZone::Own).abs_diff(550) <= 2);
}

/// Guards against a decision that is applied after its leader is lost, or that an empty list of a leader which does
/// not decide replaces.
#[rstest]
#[case::before_the_first(None, 0, RequestZone::Undecided)]
#[case::recent(Some(vec![transfer(1, 1, 1.0)]), 1_400, RequestZone::Own)]
#[case::old(Some(vec![transfer(1, 1, 1.0)]), 1_500, RequestZone::Undecided)]
#[case::all_leave(Some(vec![transfer(0, 1, 1.0)]), 1_400, RequestZone::Other(zone(1)))]
fn decision_ends_with_its_age(
    #[case] transfers: Option<Vec<ZoneTransfer>>,
    #[case] age: u64,
    #[case] expected: RequestZone,
) {
    let mut table = TransferTable::new(zone(0));
    if let Some(transfers) = transfers {
        table.set_transfers(transfers, 0.0, at(0));
    }
    table.set_transfers(Vec::new(), 0.0, at(age));

    assert_eq!(table.next_zone(&service(), at(age)), expected);
}

/// Guards against requests that stay with servers which cannot take them, and against servers of other zones that
/// get requests while the wanted zone can.
#[rstest]
#[case::free(Candidate { local: true, ..server(0.3) }, Some(0))]
#[case::not_admitted(Candidate { admitted: false, ..server(0.3) }, None)]
#[case::tried(Candidate { tried: true, ..server(0.3) }, None)]
#[case::avoided(avoided(server(0.3)), None)]
fn wanted_zone_is_used_while_it_can_take_requests(
    #[case] wanted: Candidate,
    #[case] expected: Option<usize>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let candidates = [wanted, server(0.01)];

    let chosen = choose_zone_server(&candidates, |at| at == 0, TARGET, &mut random);

    assert_eq!(chosen, expected);
    assert_eq!(
        choose_server(&candidates[1..], TARGET, &mut random),
        Some(0)
    );
}

fn server(expected: f64) -> Candidate {
    Candidate {
        reading: GaugeReading {
            backlog: 0,
            slots: 2,
            expected,
            service_time: expected,
            work_factor: 1.0,
            failure_share: 0.0,
            avoided: false,
        },
        local: false,
        tried: false,
        admitted: true,
    }
}

fn avoided(mut server: Candidate) -> Candidate {
    server.reading.avoided = true;
    server
}

/// Guards against capacity of servers that answer nobody, against slow servers that count as lost, and against a
/// zone whose servers count again only one by one.
#[test]
fn silent_servers_of_a_zone_count_again_together() {
    let mut watch = AnswerWatch::<u32>::default();
    let zones = [zone(0), zone(0), zone(1)];
    let is_silent = |watch: &mut AnswerWatch<u32>, server: u32, incarnation, millis| {
        let watched = WatchedServer {
            incarnation,
            zone: &zones[server as usize],
            service_time: 0.2,
        };
        watch.is_silent(&server, watched, at(millis))
    };
    for server in 0..3 {
        is_silent(&mut watch, server, 1, 0);
        watch.record_load(server, 1, 0, at(0));
    }

    let early = (0..3).filter(|server| is_silent(&mut watch, *server, 1, 900));
    assert_eq!(early.count(), 0);
    let lost = (0..3).filter(|server| is_silent(&mut watch, *server, 1, 1_100));
    assert_eq!(lost.count(), 3);

    watch.record_load(0, 0, 1, at(1_200));
    let still: Vec<u32> = (0..3)
        .filter(|at| is_silent(&mut watch, *at, 1, 1_200))
        .collect();
    assert_eq!(still, [2], "only the other zone is still silent");
    assert!(
        !is_silent(&mut watch, 2, 2, 1_200),
        "a new start is not silent"
    );
}
