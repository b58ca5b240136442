//! Servers in trouble send additional responses after complete ones: refusals, where the answer to an order
//! is expected.

use crate::hosts::{start_hosts, Folder};
use crate::keyed_callers::{self, Load};
use crate::late_copies::{start_server, watch, CONFIG};
use crate::ledger::Ledger;
use crate::owning_server::{Addition, OwningServer, Trouble, Work};
use crate::record::Record;
use crate::store::Store;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 5;
const HOSTS: usize = 3;
const CALLERS: usize = 60;

/// Servers in trouble: a share of 0.4.
const FAULTY_SERVERS: usize = 2;

/// Rounds, and the length of the trouble in each.
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_millis(9_000);
const TROUBLE: Duration = Duration::from_millis(5_000);

pub fn run(record: &Record, with_trouble: bool) -> i32 {
    let ledger = Arc::new(Ledger::new(record.clone()));
    let store = Store::start();
    let servers: Vec<OwningServer> = (0..SERVERS)
        .map(|number| start_server(number, Work::Even, &store, &ledger, record))
        .collect();
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
    load.pause_ms.store(700, Ordering::Relaxed);
    let callers = keyed_callers::start(CALLERS, addresses, load.clone(), record.clone());
    watch(&ledger, Instant::now(), Duration::from_secs(3));
    for round in 0..ROUNDS {
        let began = Instant::now();
        let trouble = Arc::new(Trouble {
            addition: Addition::Refusal,
            ..Trouble::default()
        });
        let faulty: Vec<usize> = (0..FAULTY_SERVERS).map(|at| (round + at) % SERVERS).collect();
        record.line(&format!("round {round}: servers {faulty:?} are in trouble: {with_trouble}"));
        for at in &faulty {
            let trouble = with_trouble.then(|| trouble.clone());
            *servers[*at].shared.trouble.lock().unwrap() = trouble;
        }
        watch(&ledger, began, TROUBLE);
        for at in &faulty {
            *servers[*at].shared.trouble.lock().unwrap() = None;
        }
        record.line(&format!(
            "{} additional responses to {} answers of the servers in trouble",
            trouble.copies.load(Ordering::Relaxed),
            trouble.answers.load(Ordering::Relaxed)
        ));
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
