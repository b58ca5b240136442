//! Servers spoil some answers: the head names HTTP/1.0 and no length, and the body is cut off by a reset.

use crate::hosts::{start_hosts, Folder};
use crate::http::{read_request, read_response, response, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Servers, and how many of them spoil answers: no more than the share of 0.5.
const SERVERS: usize = 4;
const FAULTY_SERVERS: usize = 2;

/// One answer in this many is spoiled at these servers: the share of 0.02.
const ONE_IN: u64 = 50;

/// Callers, each with a connection of its own that it keeps while it can.
const CALLERS: usize = 24;

const CALM: Duration = Duration::from_secs(4);
const TROUBLE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(3);

struct Shared {
    record: Record,
    spoils: AtomicBool,
    spoiled: AtomicU64,
    stop: AtomicBool,
}

#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, size: u32) -> i32;
}

/// Makes the kernel reset a connection when it is closed.
fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    let size = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the socket is open, and the option is read from `linger` during the call only.
    let code = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, size) };
    assert_eq!(code, 0, "the option is known");
}

/// The bytes that a server answers a request with: 240 to 300 kB.
fn body_of(id: &str) -> Vec<u8> {
    let lines = 8_000 + id.bytes().map(usize::from).sum::<usize>() % 1_000;
    let mut body = Vec::new();
    for line in 0..lines {
        body.extend_from_slice(format!("answer to {id}, line {line:06}\n").as_bytes());
    }
    body
}

fn serve(stream: TcpStream, own_id: &str, is_faulty: bool, answers: &AtomicU64, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header("x-expected-instance") != Some(own_id) {
            let headers = [("X-Instance-Id", own_id.to_owned())];
            if writer
                .write_all(&response("421 Misdirected Request", &headers, b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        shared.record.line(&format!("{own_id} runs {id}"));
        thread::sleep(Duration::from_millis(20));
        let body = body_of(&id);
        let answer = answers.fetch_add(1, Ordering::Relaxed);
        let spoil = is_faulty && shared.spoils.load(Ordering::Relaxed) && answer % ONE_IN == 0;
        let bytes = match spoil {
            false => {
                let headers = [
                    ("X-Request-Id", id.clone()),
                    ("X-Response-Signature", format!("signed.{id}")),
                ];
                response("200 OK", &headers, &body)
            }
            true => {
                shared.spoiled.fetch_add(1, Ordering::Relaxed);
                let sent = body.len() * 2 / 3;
                shared.record.line(&format!(
                    "{own_id} cuts off its answer to {id}: HTTP/1.0 without a length, {sent} of {} bytes, then a reset",
                    body.len()
                ));
                let head = format!(
                    "HTTP/1.0 200 OK\r\nX-Request-Id: {id}\r\nX-Response-Signature: signed.{id}\r\n\r\n"
                );
                let _ = writer.write_all(head.as_bytes());
                let _ = writer.write_all(&body[..sent]);
                // What has been sent arrives before the reset.
                thread::sleep(Duration::from_millis(100));
                reset_on_close(&writer);
                return;
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
    let answers = Arc::new(AtomicU64::new(1));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, shared, answers) = (id.clone(), shared.clone(), answers.clone());
            thread::spawn(move || serve(stream, &id, is_faulty, &answers, &shared));
        }
    });
    address
}

#[derive(Default)]
struct Counts {
    sent: u64,
    whole: u64,
    failed: u64,
    wrong: u64,
}

/// What is wrong with a success.
fn fault_of(answer: &Message, id: &str) -> Option<String> {
    if answer.header("x-response-signature").is_none() {
        return Some("no signature".into());
    }
    if answer.header("x-request-id") != Some(id) {
        return Some("answer to another request".into());
    }
    let whole = body_of(id);
    (answer.body != whole).then(|| {
        format!(
            "{} bytes of a body of {} bytes",
            answer.body.len(),
            whole.len()
        )
    })
}

fn call(host: SocketAddr, at: usize, shared: &Shared, counts: &Mutex<Counts>) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("r{at}x{number}");
        let mut reader = match kept.take() {
            Some(reader) => reader,
            None => match TcpStream::connect(host) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                    BufReader::new(stream)
                }
                Err(_) => continue,
            },
        };
        let text = format!(
            "GET /ledig/{id} HTTP/1.1\r\nHost: boats.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 2500\r\n\r\n"
        );
        counts.lock().unwrap().sent += 1;
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            counts.lock().unwrap().failed += 1;
            continue;
        }
        match read_response(&mut reader) {
            Ok(Some(answer)) if (200..300).contains(&answer.status()) => {
                let bytes = answer.body.len();
                shared
                    .record
                    .line(&format!("{id} answered {}, {bytes} bytes", answer.status()));
                match fault_of(&answer, &id) {
                    None => counts.lock().unwrap().whole += 1,
                    Some(fault) => {
                        counts.lock().unwrap().wrong += 1;
                        shared
                            .record
                            .line(&format!("BROKEN MIXED: success for {id}: {fault}"));
                    }
                }
                kept = Some(reader);
            }
            Ok(Some(answer)) => {
                counts.lock().unwrap().failed += 1;
                shared
                    .record
                    .line(&format!("{id} answered {}", answer.status()));
            }
            Ok(None) | Err(_) => {
                counts.lock().unwrap().failed += 1;
                shared
                    .record
                    .line(&format!("{id}: no answer in the protocol, connection closed"));
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
}

pub fn run(record: &Record, with_trouble: bool) -> i32 {
    let shared = Arc::new(Shared {
        record: record.clone(),
        spoils: AtomicBool::new(false),
        spoiled: AtomicU64::new(0),
        stop: AtomicBool::new(false),
    });
    let store = Store::start();
    for at in 0..SERVERS {
        let id = format!("i-{at}");
        let address = start_server(id.clone(), at < FAULTY_SERVERS, shared.clone());
        let zone = ["zone-a", "zone-b", "zone-c"][at % 3];
        let entry = format!(
            "{{\"Service\":\"ledig\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":12,\"State\":\"ready\",\"WarmupLeftS\":0,\"Sequence\":1,\"born\":{}}}",
            1_700_000_000_000_u64 + at as u64
        );
        store.put("servers", &id, &entry);
    }
    store.put(
        "config",
        "main",
        "{\"Version\":\"00000001\",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"boats.example\",\
         \"PathPrefix\":\"/ledig/\",\"Kind\":\"safe\",\"TimeoutS\":1.2,\"TargetLatencyS\":0.4,\
         \"Priority\":2,\"Service\":\"ledig\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"ledig\",\
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
    let counts = Arc::new(Mutex::new(Counts::default()));
    let mut callers = Vec::new();
    for at in 0..CALLERS {
        let host = hosts[at % hosts.len()].callers;
        let (shared, counts) = (shared.clone(), counts.clone());
        callers.push(thread::spawn(move || call(host, at, &shared, &counts)));
    }
    thread::sleep(CALM);
    record.line(&format!("trouble begins: {with_trouble}"));
    shared.spoils.store(with_trouble, Ordering::Relaxed);
    let began = Instant::now();
    thread::sleep(TROUBLE);
    shared.spoils.store(false, Ordering::Relaxed);
    record.line(&format!("trouble ends after {:?}", began.elapsed()));
    thread::sleep(AFTER);
    shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let hosts_run = hosts.iter_mut().all(|host| host.runs());
    let counts = counts.lock().unwrap();
    let spoiled = shared.spoiled.load(Ordering::Relaxed);
    let summary = format!(
        "sent {}, whole successes {}, failed {}, wrong successes {}, answers spoiled {spoiled}, hosts run: {hosts_run}",
        counts.sent, counts.whole, counts.failed, counts.wrong
    );
    record.line(&summary);
    println!("{summary}");
    if counts.whole < 200 || (with_trouble && spoiled == 0) || !hosts_run {
        return 2;
    }
    i32::from(counts.wrong > 0)
}
