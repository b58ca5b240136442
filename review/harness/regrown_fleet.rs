//! Hosts lose power; a part of the rest, with the leader and two servers, is cut off; the lost hosts
//! come back on the other side of the cut.

use crate::{
    Verdict,
    caller::{call, keyed_request},
    host::{Host, end_all, leader_of, relay_datagrams},
    network::{Member, Network},
    record::Record,
    store::Store,
    upstream::{Hold, Run, Upstream, UpstreamKind},
};
use std::{
    env, fs,
    path::Path,
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

const HOSTS: usize = 10;
const SERVERS: usize = 8;

/// Hosts that lose power, and for how long: share 0.55, 2 s.
const LOST_HOSTS: usize = 6;
const DARK_TIME: Duration = Duration::from_millis(2_000);

/// Hosts and servers that are cut off, and for how long: shares 0.3 and 0.25, 10 s.
const CUT_HOSTS: usize = 3;
const CUT_SERVERS: usize = 2;
const CUT_TIME: Duration = Duration::from_secs(10);

/// From the loss of power to the cut.
const CUT_DELAY: Duration = Duration::from_millis(1_950);

/// From a check of the leader in the store to the loss of power. Checks follow each other by a second.
const LOSS_DELAY: Duration = Duration::from_millis(300);

/// Two servers may hold the same keys for this long.
const HOLD_LIMIT: Duration = Duration::from_millis(500);

/// Grants that arrive this soon after a cut has healed do not count.
const THAW_SLACK: Duration = Duration::from_millis(300);

/// Each caller sends a request in this interval, with this time budget.
const CALL_INTERVAL: Duration = Duration::from_millis(700);
const DEADLINE: Duration = Duration::from_millis(2_500);

const START_TIME: Duration = Duration::from_secs(20);
const SETTLE_TIME: Duration = Duration::from_secs(6);
const REST_TIME: Duration = Duration::from_secs(4);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let files = env::temp_dir().join(format!("camphorcove-review-{}", process::id()));
    fs::create_dir_all(&files).expect("a temporary folder");
    let verdict = play(&files, &record, trouble);
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&files);
    }
    record.flush();
    verdict
}

fn configuration() -> &'static str {
    r#"{"Version":"00000001","Routes":[{"Name":"r","Host":"rafts.example","PathPrefix":"/key/","Kind":"safe","TimeoutS":1.2,"TargetLatencyS":0.4,"MaxAttempts":2,"Priority":2,"Service":"ledig"}],"Services":[{"Name":"ledig","MaxConnections":120,"Sharded":true,"HealthPath":"/health"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutS":5,"IdleTimeoutS":15}}"#
}

fn play(files: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let network = Arc::new(Network::default());
    let store = Arc::new(Store::default());
    store.put("config", "main", configuration());
    let kind = UpstreamKind {
        service: "ledig",
        keyed: true,
        work: Duration::from_millis(60),
    };
    let born = 1_790_000_000_000;
    let start_server = |index: usize| {
        Upstream::start(
            index,
            &kind,
            born + index as u64,
            (&network, &store, record),
        )
    };
    let mut servers: Vec<Arc<Upstream>> = (0..SERVERS - 1).map(start_server).collect();
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|index| Host::new(index, files, &store, &network))
        .collect();
    relay_datagrams(&hosts, &network);
    for host in &hosts {
        host.start(&network);
    }
    if !await_keys(&servers, record) {
        end_all(&hosts, record);
        return Verdict::CouldNotRun;
    }
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = hosts
        .iter()
        .map(|host| call_often(host, record, &ended))
        .collect();
    sleep(SETTLE_TIME);
    // Planned work, so that the assignment has been written since all hosts report.
    servers.push(start_server(SERVERS - 1));
    if !await_keys(&servers, record) {
        end_all(&hosts, record);
        return Verdict::CouldNotRun;
    }
    sleep(REST_TIME);
    let Some(leader) = leader_of(&store) else {
        record.note("no leader");
        return Verdict::CouldNotRun;
    };
    record.note(&format!("host {leader} leads"));
    let others: Vec<usize> = (0..HOSTS).filter(|host| *host != leader).collect();
    let (lost, kept) = others.split_at(LOST_HOSTS);
    let mut cut_hosts = vec![leader];
    cut_hosts.extend_from_slice(&kept[..CUT_HOSTS - 1]);
    let mut healed_at = None;
    if trouble {
        let known = store.owner_read(leader);
        while store.owner_read(leader) == known {
            sleep(Duration::from_millis(5));
        }
        sleep(LOSS_DELAY);
        record.note(&format!("hosts {lost:?} lose power"));
        for host in lost {
            hosts[*host].end();
        }
        sleep(CUT_DELAY);
        let mut island: Vec<Member> = cut_hosts.iter().map(|host| Member::Host(*host)).collect();
        island.extend((0..CUT_SERVERS).map(Member::Server));
        record.note(&format!(
            "hosts {cut_hosts:?} and servers 0 to {} are cut off",
            CUT_SERVERS - 1
        ));
        network.cut(island);
        sleep(DARK_TIME - CUT_DELAY);
        record.note("the lost hosts start again");
        for host in lost {
            hosts[*host].start(&network);
        }
        sleep(CUT_TIME);
        network.cut(Vec::new());
        record.note("the cut has healed");
        healed_at = Some(Instant::now());
    } else {
        sleep(LOSS_DELAY + DARK_TIME + CUT_TIME);
    }
    sleep(REST_TIME);
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    end_all(&hosts, record);
    judge(&servers, healed_at, record)
}

/// Waits until all servers have got keys; `false` if they do not.
fn await_keys(servers: &[Arc<Upstream>], record: &Record) -> bool {
    let started = Instant::now();
    while !servers.iter().all(|server| !server.held_keys().is_empty()) {
        if started.elapsed() > START_TIME {
            record.note("not all servers have got keys");
            return false;
        }
        sleep(Duration::from_millis(50));
    }
    true
}

/// Sends requests for all keys in turn to a host.
fn call_often(
    host: &Host,
    record: &Arc<Record>,
    ended: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    static KEYS: AtomicU32 = AtomicU32::new(0);
    let (address, index) = (host.callers, host.index);
    let (record, ended) = (record.clone(), ended.clone());
    thread::spawn(move || {
        let mut count = 0;
        while !ended.load(Ordering::Relaxed) {
            count += 1;
            let key = KEYS.fetch_add(1, Ordering::Relaxed) * 5_003 % 65_536;
            let id = format!("c{index}-{count}");
            call(
                address,
                &keyed_request(&id, key, DEADLINE),
                DEADLINE,
                &record,
            );
            sleep(CALL_INTERVAL);
        }
    })
}

/// Finds two servers that held the same keys at the same time for longer than allowed.
fn judge(servers: &[Arc<Upstream>], healed_at: Option<Instant>, record: &Record) -> Verdict {
    let counts = |hold: &Hold| {
        healed_at.is_none_or(|healed| hold.from < healed || hold.from >= healed + THAW_SLACK)
    };
    let holds: Vec<Vec<Hold>> = servers
        .iter()
        .map(|server| server.holds().into_iter().filter(counts).collect())
        .collect();
    let mut longest = Duration::ZERO;
    for (at, one) in holds.iter().enumerate() {
        for other in &holds[at + 1..] {
            let span = longest_overlap(one, other, record);
            longest = longest.max(span);
        }
    }
    let runs: Vec<Run> = servers.iter().flat_map(|server| server.runs()).collect();
    let beside: Vec<&Run> = runs
        .iter()
        .filter(|run| has_other_holder(run, &holds))
        .collect();
    for run in &beside {
        let seconds = record.seconds(run.at);
        record.line(&format!(
            "server {} began {} at {seconds:.3} beside another holder",
            run.server, run.id
        ));
    }
    let mut beside: Vec<usize> = beside.iter().map(|run| run.server).collect();
    let count = beside.len();
    beside.sort_unstable();
    beside.dedup();
    record.note(&format!(
        "{} runs, {count} of them at servers {beside:?} while another server held the key; longest \
         time with two holders: {:.3} s",
        runs.len(),
        longest.as_secs_f64()
    ));
    match longest > HOLD_LIMIT {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Whether another server held the key when the request began to run.
fn has_other_holder(run: &Run, holds: &[Vec<Hold>]) -> bool {
    let Some(key) = run.key else {
        return false;
    };
    let holds_key = |hold: &Hold| {
        hold.server != run.server
            && (hold.first..=hold.last).contains(&key)
            && (hold.from..hold.until).contains(&run.at)
    };
    holds.iter().flatten().any(holds_key)
}

/// Longest time in which both servers held a key.
fn longest_overlap(one: &[Hold], other: &[Hold], record: &Record) -> Duration {
    let mut shared: Vec<(u32, Instant, Instant, String)> = Vec::new();
    for left in one {
        for right in other {
            let (from, until) = (left.from.max(right.from), left.until.min(right.until));
            let key = left.first.max(right.first);
            if key <= left.last.min(right.last) && from < until {
                let text = format!(
                    "server {} (fence {}) and server {} (fence {})",
                    left.server, left.fence, right.server, right.fence
                );
                shared.push((key, from, until, text));
            }
        }
    }
    // Renewals follow each other without a gap, so that spans of the same key are joined.
    shared.sort_by_key(|(key, from, ..)| (*key, *from));
    let mut longest = Duration::ZERO;
    let mut joined: Option<(u32, Instant, Instant, String)> = None;
    for (key, from, until, text) in shared {
        joined = match joined {
            Some((known, start, end, text)) if known == key && from <= end => {
                Some((known, start, end.max(until), text))
            }
            _ => Some((key, from, until, text)),
        };
        let (key, from, until, text) = joined.as_ref().expect("just set");
        let span = until.duration_since(*from);
        if span > longest {
            longest = span;
            record.line(&format!(
                "key {key} held by {text} from {:.3} to {:.3}",
                record.seconds(*from),
                record.seconds(*until)
            ));
        }
    }
    longest
}
