//! Another writer leaves entries of a service that the configuration does not name, at the addresses of
//! servers; servers leave without reporting that they drain.

use crate::hosts::{start_hosts, Folder};
use crate::keyed_callers::{self, Load};
use crate::late_copies::{born, start_server, watch, zone, CONFIG};
use crate::ledger::Ledger;
use crate::owning_server::{OwningServer, Work};
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
const ROUND: Duration = Duration::from_millis(7_000);
/// Time from the start of the new server until the old one removes its entry.
const LEAD: Duration = Duration::from_millis(2_000);
/// Time for which a server serves on after it has removed its entry.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Leaves an entry at the address of a server, as another writer does. It was written after the start of
/// the server.
fn leave_odd_entry(server: &OwningServer, number: usize, store: &Store, record: &Record) {
    let name = format!("m-{number}");
    let entry = server.entry("metrik", zone(number), "ready", born(number) + 60_000, 1);
    store.put("servers", &name, &entry);
    record.line(&format!("another writer leaves {name}: {entry}"));
}

pub fn run(record: &Record, with_trouble: bool) -> i32 {
    let ledger = Arc::new(Ledger::new(record.clone()));
    let store = Store::start();
    let start = |number: usize| {
        let work = Work::LongAtTimes;
        let server = start_server(number, work, &store, &ledger, record);
        if with_trouble {
            leave_odd_entry(&server, number, &store, record);
        }
        server
    };
    let mut servers: Vec<OwningServer> = (0..SERVERS).map(start).collect();
    store.put("config", "main", CONFIG);
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
    load.pause_ms.store(600, Ordering::Relaxed);
    let callers = keyed_callers::start(CALLERS, addresses, load.clone(), record.clone());
    watch(&ledger, Instant::now(), Duration::from_secs(3));
    for round in 0..ROUNDS {
        let began = Instant::now();
        servers.push(start(SERVERS + round));
        watch(&ledger, began, LEAD);
        let leaving = &servers[round];
        record.line(&format!("round {round}: {} removes its entry and serves on", leaving.shared.id));
        store.remove("servers", &leaving.shared.id);
        watch(&ledger, began, LEAD + DRAIN);
        servers[round].end();
        store.remove("servers", &format!("m-{round}"));
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
