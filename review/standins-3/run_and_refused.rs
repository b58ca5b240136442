//! A server in trouble fails requests that it has run with 503, without saying that they were not run.

use crate::hosts::{start_hosts, Folder};
use crate::http::{read_request, read_response, response};
use crate::record::Record;
use crate::store::Store;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Servers, of which the first fails requests: a share of 0.125.
const SERVERS: usize = 8;

/// Requests of 100 that it fails.
const FAILED_PERCENT: u64 = 45;

const CALLERS: usize = 24;
const CALM: Duration = Duration::from_secs(4);
const TROUBLE: Duration = Duration::from_millis(6_500);
const AFTER: Duration = Duration::from_secs(3);

/// Tries of a caller at one booking, each with an id of its own.
const TRIES: usize = 3;

struct Shared {
    record: Record,
    fails: AtomicBool,
    failed: AtomicU64,
    stop: AtomicBool,
    /// Ids of the requests that have run.
    runs: Mutex<HashSet<String>>,
    /// How often each booking has been made.
    bookings: Mutex<HashMap<String, usize>>,
    refused_and_run: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

fn serve(stream: TcpStream, own_id: &str, is_faulty: bool, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let bytes = if request.header("x-expected-instance") != Some(own_id) {
            let headers = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
            response("421 Misdirected Request", &headers, b"")
        } else {
            let booking = String::from_utf8_lossy(&request.body).into_owned();
            shared.runs.lock().unwrap().insert(id.clone());
            *shared.bookings.lock().unwrap().entry(booking.clone()).or_default() += 1;
            shared.record.line(&format!("{own_id} runs {id}: {booking}"));
            thread::sleep(Duration::from_millis(60));
            let count = shared.failed.load(Ordering::Relaxed);
            let fails = is_faulty && shared.fails.load(Ordering::Relaxed);
            let hash = id.bytes().fold(7_u64, |hash, byte| hash * 31 % 99_991 + u64::from(byte));
            let headers = [
                ("X-Request-Id", id.clone()),
                ("X-Response-Signature", format!("signed.{id}")),
            ];
            match fails && hash % 100 < FAILED_PERCENT {
                true => {
                    shared.failed.store(count + 1, Ordering::Relaxed);
                    shared.record.line(&format!("{own_id} fails {id} with 503, signed, after its run"));
                    response("503 Service Unavailable", &headers, b"booked, but not confirmed")
                }
                false => response("200 OK", &headers, booking.as_bytes()),
            }
        };
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn start_server(id: String, is_faulty: bool, shared: Arc<Shared>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, shared) = (id.clone(), shared.clone());
            thread::spawn(move || serve(stream, &id, is_faulty, &shared));
        }
    });
    address
}

/// Makes one booking, as PROTOCOL.md allows: again after a promise that it was not run, when told so.
fn book(host: SocketAddr, booking: &str, shared: &Shared) {
    for attempt in 0..TRIES {
        let id = format!("{booking}t{attempt}");
        let Ok(stream) = TcpStream::connect(host) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut reader = BufReader::new(stream);
        let text = format!(
            "POST /boka/commit HTTP/1.1\r\nHost: boats.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{booking}",
            booking.len()
        );
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            return;
        }
        let Ok(Some(answer)) = read_response(&mut reader) else {
            shared.record.line(&format!("{id}: no answer"));
            return;
        };
        shared.record.line(&format!("{id} answered {}", answer.status()));
        if answer.status() == 200 {
            shared.served.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if ![408, 421, 429, 503].contains(&answer.status()) {
            return;
        }
        shared.refused.fetch_add(1, Ordering::Relaxed);
        if shared.runs.lock().unwrap().contains(&id) {
            shared.refused_and_run.fetch_add(1, Ordering::Relaxed);
            shared.record.line(&format!(
                "BROKEN REFUSED: {id} was answered {} and has run",
                answer.status()
            ));
        }
        let pause = answer.header("retry-after").and_then(|text| text.parse().ok());
        thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.1_f64).clamp(0.0, 1.0)));
    }
}

pub fn run(record: &Record, with_trouble: bool) -> i32 {
    let shared = Arc::new(Shared {
        record: record.clone(),
        fails: AtomicBool::new(false),
        failed: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        runs: Mutex::default(),
        bookings: Mutex::default(),
        refused_and_run: AtomicU64::new(0),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
    });
    let store = Store::start();
    for at in 0..SERVERS {
        let id = format!("i-{at}");
        let address = start_server(id.clone(), at == 0, shared.clone());
        let zone = ["zone-a", "zone-b", "zone-c"][at % 3];
        let entry = format!(
            "{{\"Service\":\"boka\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":3,\"State\":\"ready\",\"WarmupLeftS\":0,\"Sequence\":1,\"born\":{}}}",
            1_700_000_000_000_u64 + at as u64
        );
        store.put("servers", &id, &entry);
    }
    store.put(
        "config",
        "main",
        "{\"Version\":\"00000001\",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"boats.example\",\
         \"PathPrefix\":\"/boka/\",\"Kind\":\"unsafe\",\"TimeoutS\":1.5,\"TargetLatencyS\":0.5,\
         \"Priority\":1,\"Service\":\"boka\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"boka\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":120,\"Protocol\":\"h1\",\"Tls\":false}],\
         \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\
         \"IdleTimeoutS\":15}}",
    );
    let folder = Folder::new();
    let Some(mut hosts) = start_hosts(2, store.address, &folder) else {
        record.line("a host does not listen");
        return 2;
    };
    thread::sleep(Duration::from_secs(2));
    let mut callers = Vec::new();
    for at in 0..CALLERS {
        let host = hosts[at % hosts.len()].callers;
        let shared = shared.clone();
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while !shared.stop.load(Ordering::Relaxed) {
                number += 1;
                book(host, &format!("b{at}x{number}"), &shared);
                thread::sleep(Duration::from_millis(250));
            }
        }));
    }
    thread::sleep(CALM);
    record.line(&format!("trouble begins: {with_trouble}"));
    shared.fails.store(with_trouble, Ordering::Relaxed);
    thread::sleep(TROUBLE);
    shared.fails.store(false, Ordering::Relaxed);
    record.line("trouble ends");
    thread::sleep(AFTER);
    shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let hosts_run = hosts.iter_mut().all(|host| host.runs());
    let bookings = shared.bookings.lock().unwrap();
    let made_twice = bookings.values().filter(|made| **made > 1).count();
    let broken = shared.refused_and_run.load(Ordering::Relaxed);
    let served = shared.served.load(Ordering::Relaxed);
    let failed = shared.failed.load(Ordering::Relaxed);
    let summary = format!(
        "served {served}, refused {}, failed by the server after a run {failed}, refused and run {broken}, \
         bookings made more than once {made_twice}, hosts run: {hosts_run}",
        shared.refused.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if served < 200 || !hosts_run || (with_trouble && failed == 0) {
        return 2;
    }
    i32::from(broken > 0)
}
