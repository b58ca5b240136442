//! Tests how the requests for hot keys are limited, and that the other keys of their owners are served.

use {
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, KeyAdmission, KeyGates, KeyShare, ReportedLoad,
            RequestOutcome, ServerGauge, WorkTime,
        },
        ids::{ServerId, ServiceName},
        ownership::{
            KeyRange, MAX_KEY_SHARES, RangeLoad, RangePhase, RangeRecord, ServerInstance,
            ServiceOwners, choose_key_shares,
        },
        time::BootTime,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{collections::HashMap, time::Duration},
};

const SLOTS: u32 = 2;
const SERVICE_MS: f64 = 250.0;
const HOSTS: usize = 10;
const SPAN_MS: u64 = 300_000;
/// Time within which the leader has listed a hot key. What callers get before is not counted.
const LISTED_MS: u64 = 2_000;
/// Interval of reports and digests, and time that each takes to arrive in the simulation.
const DIGEST_MS: u64 = 250;
const HOT_KEY: u16 = 500;
/// Requests a second that the owner can take.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS;
/// Load of the owner's other keys, as a share of its capacity.
const OTHER_LOAD: f64 = 0.4;
/// Least share of the capacity that the hot key gets in the simulation. It is below one half, since
/// requests are refused at moments at which the other keys have filled the owner's slots.
const MIN_HOT_SERVED: f64 = 0.38;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn service() -> ServiceName {
    "ledger".parse().expect("a name")
}

fn server_id() -> ServerId {
    "s1".parse().expect("an id")
}

/// All keys at one owner.
fn owners() -> ServiceOwners {
    let owner = ServerInstance {
        id: server_id(),
        incarnation: 1,
        address: "127.0.0.1:9001".parse().expect("an address"),
    };
    let mut owners = ServiceOwners::new(1);
    owners.ranges = vec![RangeRecord {
        range: KeyRange::ALL,
        phase: RangePhase::Owned { owner, token: 1 },
    }];
    owners
}

fn capacity() -> HashMap<ServerId, f32> {
    HashMap::from([(server_id(), RangeLoad::steady_count(CAPACITY as f32))])
}

/// Load of these keys, in requests a second.
fn load(keys: impl IntoIterator<Item = (u16, f32)>) -> RangeLoad {
    let mut load = RangeLoad::new(at(0));
    for (key, per_second) in keys {
        load.add(key, RangeLoad::steady_count(per_second).round() as u32);
    }
    load
}

fn shares(load: &RangeLoad) -> Vec<KeyShare> {
    choose_key_shares(&service(), &owners(), load, &capacity())
}

/// Requests served and offered.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    offered: u32,
    served: u32,
    late: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

/// Runs one owner whose other keys have `OTHER_LOAD` of its capacity and whose hot key has `hot_load`
/// times its capacity; requests arrive at many hosts. Returns what the callers of the
/// other keys and of the hot key get.
fn simulate(hot_load: f64, is_limited: bool, seed: u64) -> (Tally, Tally) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut gauges = vec![ServerGauge::new(SLOTS, Duration::ZERO, at(0)); HOSTS];
    let mut gates = vec![KeyGates::default(); HOSTS];
    let mut load = RangeLoad::new(at(0));
    let mut counted: Vec<u16> = Vec::new();
    let mut published = [0_u32; HOSTS];
    let mut slots = [0_u64; SLOTS as usize];
    // End, start, host, whether the key is hot, and time of sending of each request at the owner.
    let mut requests: Vec<(u64, u64, usize, bool, u64)> = Vec::new();
    let (mut others, mut hot) = (Tally::default(), Tally::default());
    let (owners, capacity, service) = (owners(), capacity(), service());
    for now in 0..SPAN_MS {
        if now.is_multiple_of(DIGEST_MS) {
            let shares = choose_key_shares(&service, &owners, &load, &capacity);
            let total: u32 = published.iter().sum();
            for host in 0..HOSTS {
                gauges[host].set_remote_load(total - published[host]);
                if is_limited {
                    gates[host].set_shares(&shares, random.random(), at(now));
                }
                published[host] = gauges[host].publish_in_flight();
            }
            for key in counted.drain(..) {
                load.add(key, 1);
            }
            load.decay(at(now));
        }
        let ended: Vec<_> = requests
            .extract_if(.., |request| request.0 <= now)
            .collect();
        for (_, _, host, is_hot, sent) in ended {
            let running = requests.iter().filter(|request| request.1 <= now).count() as u32;
            let reported = ReportedLoad {
                running,
                waiting: requests.len() as u32 - running,
                slots: SLOTS,
                work_time: WorkTime::USUAL,
            };
            let latency = Duration::from_millis(now - sent);
            gauges[host].record_ended(RequestOutcome::Success, latency, at(now));
            gauges[host].record_reported_load(reported, at(now));
            let tally = if is_hot { &mut hot } else { &mut others };
            if sent < LISTED_MS {
                continue;
            }
            tally.served += 1;
            tally.late += u32::from(now - sent > 1_000);
        }
        for is_hot in [false, true] {
            let load = if is_hot { hot_load } else { OTHER_LOAD };
            if random.random::<f64>() >= load * CAPACITY / 1_000.0 {
                continue;
            }
            let host = random.random_range(0..HOSTS);
            let key = match is_hot {
                true => HOT_KEY,
                false => random.random_range(1_000..2_000),
            };
            counted.push(key);
            let tally = if is_hot { &mut hot } else { &mut others };
            tally.offered += u32::from(now >= LISTED_MS);
            let admission = gates[host].admit(&service, key, at(now));
            let rule = AdmissionRule {
                target_latency: Duration::from_millis(1_000),
                time_left: Duration::from_millis(4_000),
                rank_limit: None,
                is_hot_key: admission == KeyAdmission::Admitted,
            };
            let is_refused = matches!(admission, KeyAdmission::Refused(_));
            let reading = gauges[host].read(at(now));
            if is_refused || rule.decide(reading) != Admission::Send {
                continue;
            }
            gauges[host].record_sent();
            let work = SERVICE_MS * (0.5 + random.random::<f64>());
            let slot = slots.iter_mut().min().expect("slots");
            let start = (*slot).max(now);
            *slot = start + work as u64;
            requests.push((*slot, start, host, is_hot, now));
        }
    }
    (others, hot)
}

/// Load: a key with 3 to 10 times the capacity of its owner beside other keys with 0.4 of it. Guards
/// against a hot key whose requests get the callers of the other keys refused, and against
/// limits that leave the owner idle.
#[rstest]
fn other_keys_are_served_as_if_the_hot_key_were_not_there(
    #[values(3.0, 6.0, 10.0)] hot_load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (alone, _) = simulate(0.0, true, seed);
    let (unlimited, _) = simulate(hot_load, false, seed);

    let (others, hot) = simulate(hot_load, true, seed);

    let per_second = f64::from(hot.served) / (SPAN_MS as f64 / 1_000.0);
    assert!(
        others.share() >= alone.share() - 0.05,
        "{others:?}, alone {alone:?}"
    );
    assert!(others.late * 20 <= others.served, "{others:?}");
    assert!(
        per_second >= CAPACITY * MIN_HOT_SERVED,
        "hot key: {per_second} requests/s"
    );
    assert!(unlimited.share() < 0.8, "without limits {unlimited:?}");
}

/// Load: one key with 5 times the capacity, other keys with 0.2 or 0.8 of it. Guards against a share
/// that is less than half of the owner, or more than the other keys leave.
#[rstest]
#[case::others_leave_more_than_half(1, 0.2, 0.7)]
#[case::others_leave_less_than_half(3, 0.8, 0.5)]
fn hot_key_gets_what_the_others_leave(
    #[case] keys: u16,
    #[case] other_load: f32,
    #[case] of_capacity: f64,
) {
    let capacity = CAPACITY as f32;
    let other = (1..=keys).map(|key| (key, capacity * other_load / f32::from(keys)));
    let load = load(other.chain([(HOT_KEY, capacity * 5.0)]));

    let shares = shares(&load);

    assert_eq!(shares.len(), 1, "{shares:?}");
    let admitted = shares[0].share.fraction() * 5.0;
    // Counts are whole numbers, about 12 of them for the whole capacity.
    assert!(
        (admitted - of_capacity).abs() < 0.05,
        "{admitted} of the capacity"
    );
}

/// Load: below the capacity in total, one key with most of it. Guards against limits while there is
/// room.
#[test]
fn keys_of_an_owner_with_room_are_not_limited() {
    let load = load([(HOT_KEY, CAPACITY as f32 * 0.7), (7, CAPACITY as f32 * 0.2)]);

    assert_eq!(shares(&load), Vec::new());
}

/// Load: 200 adjacent hot keys at one owner. Guards against a digest that grows with the number of
/// hot keys.
#[test]
fn list_of_hot_keys_is_bounded() {
    let load = load((100..300).map(|key| (key, CAPACITY as f32)));

    let shares = shares(&load);

    assert_eq!(shares.len(), MAX_KEY_SHARES);
    let encoded = bincode::encode_to_vec(&shares, bincode::config::standard());
    assert!(encoded.expect("encodable").len() < 10_000);
}

/// Failure: the leader is silent. Guards against hosts that refuse requests for a key by a list that
/// nobody renews.
#[test]
fn list_lapses_without_the_leader() {
    let mut gates = KeyGates::default();
    let load = load([(HOT_KEY, CAPACITY as f32 * 9.0)]);
    gates.set_shares(&shares(&load), 0.0, at(0));

    let listed = gates.admit(&service(), HOT_KEY, at(1_400));
    let lapsed = gates.admit(&service(), HOT_KEY, at(1_500));

    assert!(matches!(listed, KeyAdmission::Refused(_)));
    assert_eq!(lapsed, KeyAdmission::NotHot);
    assert_eq!(gates.count(at(1_500)), 0);
}

/// Guards against a gate that lets more or less than the listed share through.
#[test]
fn listed_share_passes() {
    let mut gates = KeyGates::default();
    let load = load([(HOT_KEY, CAPACITY as f32 * 9.0)]);
    let shares = shares(&load);
    gates.set_shares(&shares, 0.5, at(0));

    let passed =
        (0..1_000).filter(|_| gates.admit(&service(), HOT_KEY, at(10)) == KeyAdmission::Admitted);

    let expected = shares[0].share.fraction() * 1_000.0;
    assert!((passed.count() as f64 - expected).abs() <= 1.0);
    assert_eq!(gates.admit(&service(), 1, at(10)), KeyAdmission::NotHot);
}
