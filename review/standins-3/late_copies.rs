//! Servers in trouble send answers to orders a second time, late, while servers are replaced.

use crate::hosts::{start_hosts, Folder};
use crate::keyed_callers::{self, Load};
use crate::ledger::Ledger;
use crate::owning_server::{OwningServer, Trouble, Work};
use crate::record::Record;
use crate::store::Store;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 5;
const HOSTS: usize = 3;
const CALLERS: usize = 60;

/// Rounds in which one server is replaced by a new one.
const ROUNDS: usize = 14;
/// Time from the begin of the trouble to the replacement, length of the trouble, and of a round.
const LEAD: Duration = Duration::from_millis(4_000);
const TROUBLE: Duration = Duration::from_millis(5_000);
const ROUND: Duration = Duration::from_millis(7_000);
/// Time for which a server serves on after it has announced to leave.
const DRAIN: Duration = Duration::from_millis(2_500);

pub const CONFIG: &str = "{\"Version\":\"00000001\",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"boats.example\",\
    \"PathPrefix\":\"/ledig/\",\"Kind\":\"safe\",\"TimeoutS\":2.0,\"TargetLatencyS\":0.6,\
    \"Priority\":2,\"Service\":\"ledig\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"ledig\",\
    \"HealthPath\":\"/health\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false,\
    \"Sharded\":true,\"WarmS\":2.0,\"Grants\":\"direct\"}],\
    \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\
    \"IdleTimeoutS\":15}}";

pub fn zone(number: usize) -> &'static str {
    ["zone-a", "zone-b", "zone-c"][number % 3]
}

pub fn born(number: usize) -> u64 {
    1_700_000_000_000 + number as u64
}

pub fn start_server(
    number: usize,
    work: Work,
    store: &Store,
    ledger: &Arc<Ledger>,
    record: &Record,
) -> OwningServer {
    let id = format!("i-{number}");
    let server = OwningServer::start(number, id.clone(), work, ledger.clone(), record.clone());
    let entry = server.entry("ledig", zone(number), "ready", born(number), 1);
    store.put("servers", &id, &entry);
    server
}

/// Looks for servers that hold the same keys until `end` after `began`.
pub fn watch(ledger: &Ledger, began: Instant, end: Duration) {
    while began.elapsed() < end {
        ledger.check();
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(record: &Record, with_trouble: bool) -> i32 {
    let ledger = Arc::new(Ledger::new(record.clone()));
    let store = Store::start();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(start_server(number, Work::Even, &store, &ledger, record));
    }
    // Requests may wait for a while, as for a service whose work takes long.
    let times = "\"TimeoutS\":4.0,\"TargetLatencyS\":1.5";
    let config = CONFIG.replace("\"TimeoutS\":2.0,\"TargetLatencyS\":0.6", times);
    store.put("config", "main", &config);
    let folder = Folder::new();
    let Some(mut hosts) = start_hosts(HOSTS, store.address, &folder) else {
        record.line("a host does not listen");
        return 2;
    };
    let addresses = Arc::new(Mutex::new(hosts.iter().map(|host| host.callers).collect()));
    let deadline = Instant::now() + Duration::from_secs(12);
    while !(0..SERVERS).all(|at| ledger.ranges(at) > 0) {
        if Instant::now() > deadline {
            record.line("keys were not assigned");
            return 2;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let load = Arc::new(Load::default());
    load.pause_ms.store(500, Ordering::Relaxed);
    let callers = keyed_callers::start(CALLERS, addresses, load.clone(), record.clone());
    thread::sleep(Duration::from_secs(3));
    for round in 0..ROUNDS {
        let began = Instant::now();
        let leaving = &servers[round];
        let faulty = [round, round + 1];
        record.line(&format!(
            "round {round}: {} is replaced, it holds {} ranges; {} and {} are in trouble: {with_trouble}",
            leaving.shared.id,
            ledger.ranges(round),
            leaving.shared.id,
            servers[round + 1].shared.id
        ));
        let trouble = Arc::new(Trouble::default());
        for at in faulty {
            let trouble = with_trouble.then(|| trouble.clone());
            *servers[at].shared.trouble.lock().unwrap() = trouble;
        }
        watch(&ledger, began, LEAD - Duration::from_millis(1_000));
        servers.push(start_server(
            SERVERS + round,
            Work::Even,
            &store,
            &ledger,
            record,
        ));
        watch(&ledger, began, LEAD);
        let leaving = &servers[round];
        record.line(&format!("{} drains", leaving.shared.id));
        let entry = leaving.entry("ledig", zone(round), "draining", born(round), 2);
        store.put("servers", &leaving.shared.id, &entry);
        watch(&ledger, began, TROUBLE);
        for at in faulty {
            *servers[at].shared.trouble.lock().unwrap() = None;
        }
        record.line(&format!(
            "{} of {} answers of the servers in trouble were sent twice",
            trouble.copies.load(Ordering::Relaxed),
            trouble.answers.load(Ordering::Relaxed)
        ));
        watch(&ledger, began, LEAD + DRAIN);
        store.remove("servers", &servers[round].shared.id);
        servers[round].end();
        watch(&ledger, began, ROUND);
    }
    load.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let hosts_run = hosts.iter_mut().all(|host| host.runs());
    let served = load.served.load(Ordering::Relaxed);
    let summary = format!(
        "served {served}, refused {}, failed {}, OWNER broken {} times, hosts run: {hosts_run}",
        load.refused.load(Ordering::Relaxed),
        load.failed.load(Ordering::Relaxed),
        ledger.broken()
    );
    record.line(&summary);
    println!("{summary}");
    if served < 500 || !hosts_run {
        return 2;
    }
    i32::from(ledger.broken() > 0)
}
