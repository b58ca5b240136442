//! Servers in trouble send an additional response after a complete one: a refusal that names no request.

use crate::hosts::{start_hosts, Folder};
use crate::http::{read_request, read_response, response};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Servers, and how many of them are in trouble: a share of 0.5.
const SERVERS: usize = 6;
const FAULTY_SERVERS: usize = 3;

/// One answer in this many is followed by another one: a share of 0.025.
const ONE_IN: u64 = 40;

const CALLERS: usize = 24;
const CALM: Duration = Duration::from_secs(4);
const TROUBLE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(3);

/// Tries of a caller at one booking, each with an id of its own.
const TRIES: usize = 3;

struct Shared {
    record: Record,
    spoils: AtomicBool,
    /// Answers of the servers in trouble, and additional ones.
    answers: AtomicU64,
    additional: AtomicU64,
    stop: AtomicBool,
    /// How often each request has run.
    runs: Mutex<HashMap<String, usize>>,
    /// How often each booking has been made.
    bookings: Mutex<HashMap<String, usize>>,
    refused_and_run: AtomicU64,
    run_twice: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

fn serve(stream: TcpStream, own_id: &str, is_faulty: bool, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    // An additional response follows the last one, late: where the next one is expected.
    let mut owes_response = false;
    while let Ok(Some(request)) = read_request(&mut reader) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if std::mem::take(&mut owes_response) {
            shared.additional.fetch_add(1, Ordering::Relaxed);
            shared.record.line(&format!(
                "{own_id} sends an additional response, a refusal without an id, as {id} arrives"
            ));
            let headers = [("X-Not-Executed", "1".to_owned())];
            let bytes = response("503 Service Unavailable", &headers, b"");
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
        if request.header("x-expected-instance") != Some(own_id) {
            let headers = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
            let bytes = response("421 Misdirected Request", &headers, b"");
            if writer.write_all(&bytes).is_err() {
                return;
            }
            continue;
        }
        let booking = String::from_utf8_lossy(&request.body).into_owned();
        let runs = {
            let mut runs = shared.runs.lock().unwrap();
            let runs = runs.entry(id.clone()).or_default();
            *runs += 1;
            *runs
        };
        *shared.bookings.lock().unwrap().entry(booking.clone()).or_default() += 1;
        shared.record.line(&format!("{own_id} runs {id}: {booking}"));
        if runs > 1 {
            shared.run_twice.fetch_add(1, Ordering::Relaxed);
            shared
                .record
                .line(&format!("BROKEN TWICE: {id} runs for the {runs}. time"));
        }
        thread::sleep(Duration::from_millis(60));
        let headers = [
            ("X-Request-Id", id.clone()),
            ("X-Response-Signature", format!("signed.{id}")),
        ];
        if is_faulty && shared.spoils.load(Ordering::Relaxed) {
            let answers = shared.answers.fetch_add(1, Ordering::Relaxed);
            owes_response = answers % ONE_IN == ONE_IN - 1;
        }
        if writer
            .write_all(&response("200 OK", &headers, booking.as_bytes()))
            .is_err()
        {
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
        if shared.runs.lock().unwrap().contains_key(&id) {
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
        spoils: AtomicBool::new(false),
        answers: AtomicU64::new(0),
        additional: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        runs: Mutex::default(),
        bookings: Mutex::default(),
        refused_and_run: AtomicU64::new(0),
        run_twice: AtomicU64::new(0),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
    });
    let store = Store::start();
    for at in 0..SERVERS {
        let id = format!("i-{at}");
        let address = start_server(id.clone(), at < FAULTY_SERVERS, shared.clone());
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
    shared.spoils.store(with_trouble, Ordering::Relaxed);
    thread::sleep(TROUBLE);
    shared.spoils.store(false, Ordering::Relaxed);
    record.line("trouble ends");
    thread::sleep(AFTER);
    shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let hosts_run = hosts.iter_mut().all(|host| host.runs());
    let bookings = shared.bookings.lock().unwrap();
    let made_twice = bookings.values().filter(|made| **made > 1).count();
    let twice = shared.run_twice.load(Ordering::Relaxed);
    let refused_and_run = shared.refused_and_run.load(Ordering::Relaxed);
    let served = shared.served.load(Ordering::Relaxed);
    let additional = shared.additional.load(Ordering::Relaxed);
    let summary = format!(
        "served {served}, additional responses {additional} to {} answers of the servers in trouble, requests run \
         twice {twice}, refused and run {refused_and_run}, bookings made more than once {made_twice}, hosts run: {hosts_run}",
        shared.answers.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if served < 200 || !hosts_run || (with_trouble && additional == 0) {
        return 2;
    }
    i32::from(twice + refused_and_run > 0)
}
