//! A server of a keyed service, as PROTOCOL.md describes it.

use crate::http::{read_request, response, Message};
use crate::json::Json;
use crate::ledger::{Hold, Ledger};
use crate::record::Record;
use std::collections::VecDeque;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Slots and places in the queue.
pub const SLOTS: usize = 4;
const QUEUE: usize = 16;

/// Time after which an answer is sent once more, from an answer on another connection.
const LATENESS: Duration = Duration::from_millis(3);

/// Longest time by which a second copy of an answer is late.
const LONGEST_LATENESS: Duration = Duration::from_millis(250);

/// Time for which a new connection holds a slot.
const HANDSHAKE: Duration = Duration::from_millis(1);

#[derive(Default)]
struct Slots {
    running: usize,
    /// Waiting requests in order, each with its key.
    waiting: VecDeque<(u64, u16)>,
    next: u64,
}

/// What servers in trouble send in addition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Addition {
    /// Their last answer to an order, once more.
    #[default]
    LastAnswer,
    /// A refusal, when the next order on a connection that has carried answers arrives.
    Refusal,
}

/// Trouble of some servers, which send additional answers.
#[derive(Default)]
pub struct Trouble {
    pub addition: Addition,
    /// Answers that these servers have given since it began.
    pub answers: AtomicU64,
    /// Answers that they have sent a second time.
    pub copies: AtomicU64,
}

impl Trouble {
    /// Whether one more answer may be sent a second time: at most 3 of 100 are.
    fn takes_copy(&self) -> bool {
        let answers = self.answers.load(Ordering::Relaxed);
        let next = |copies: u64| ((copies + 1) * 100 <= answers * 3).then_some(copies + 1);
        let taken = self.copies.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        taken.is_ok()
    }
}

pub struct Shared {
    pub number: usize,
    pub id: String,
    work: Work,
    pub ledger: Arc<Ledger>,
    pub record: Record,
    slots: Mutex<Slots>,
    freed: Condvar,
    /// Highest fence seen, by range of keys.
    fences: Mutex<Vec<(u16, u16, u64)>>,
    released: Mutex<Vec<(u16, u16, u64, String)>>,
    pub ended: AtomicBool,
    /// The trouble that the server is in.
    pub trouble: Mutex<Option<Arc<Trouble>>>,
    handovers: AtomicU64,
    owed: Mutex<Vec<(Instant, TcpStream, Vec<u8>)>>,
}

pub struct OwningServer {
    pub shared: Arc<Shared>,
    pub address: SocketAddr,
}

/// How long requests run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// 200 to 900 ms.
    Even,
    /// 80 to 700 ms, but for one request in ten, which takes 1,000 to 1,800 ms.
    LongAtTimes,
}

impl Work {
    fn time_of(self, id: &str) -> Duration {
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in id.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        hash ^= hash >> 29;
        let spread = hash >> 8;
        let millis = match (self, hash % 20) {
            (Work::Even, _) => 200 + spread % 700,
            (Work::LongAtTimes, 0..=7) => 80 + spread % 120,
            (Work::LongAtTimes, 8..=15) => 200 + spread % 150,
            (Work::LongAtTimes, 16..=17) => 350 + spread % 350,
            (Work::LongAtTimes, _) => 1_000 + spread % 800,
        };
        Duration::from_millis(millis)
    }
}

impl OwningServer {
    pub fn start(
        number: usize,
        id: String,
        work: Work,
        ledger: Arc<Ledger>,
        record: Record,
    ) -> OwningServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        ledger.name(number, &id);
        let shared = Arc::new(Shared {
            number,
            id,
            work,
            ledger,
            record,
            slots: Mutex::default(),
            freed: Condvar::new(),
            fences: Mutex::default(),
            released: Mutex::default(),
            ended: AtomicBool::new(false),
            trouble: Mutex::default(),
            handovers: AtomicU64::new(0),
            owed: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::Relaxed) {
                    return;
                }
                let shared = serving.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        OwningServer { shared, address }
    }

    /// Ends the server, as a crash or an exit does.
    pub fn end(&self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        self.shared.ledger.end(self.shared.number);
        let _ = TcpStream::connect(self.address);
    }

    pub fn entry(&self, service: &str, zone: &str, state: &str, born: u64, sequence: u64) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"{state}\",\"WarmupLeftS\":0,\"Sequence\":{sequence},\"born\":{born}}}",
            self.address
        )
    }
}

fn text(value: Option<&Json>) -> u64 {
    value.and_then(Json::number).unwrap_or(0.0) as u64
}

impl Shared {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let Ok(probe) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        self.hold_slot();
        // The last answer to an order on this connection.
        let mut last_answer: Option<Vec<u8>> = None;
        let mut is_first_request = true;
        loop {
            let request = match read_request(&mut reader) {
                Ok(Some(request)) => request,
                Ok(None) | Err(_) => return,
            };
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let is_first = std::mem::take(&mut is_first_request);
            if !is_first && request.target() == "/grant" && self.adds_refusal() {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                self.record.line(&format!(
                    "{} sends an additional response, 421, as an order arrives: {body}",
                    self.id
                ));
                let headers = [("X-Instance-Id", self.id.clone())];
                let bytes = response("421 Misdirected Request", &headers, b"");
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let is_order = request.method() == "POST"
                && (request.target() == "/grant" || request.target() == "/release");
            let bytes = match is_order {
                true => self.order(&request, &writer, last_answer.take()),
                false => self.request(&request, &probe),
            };
            let Some(bytes) = bytes else {
                return;
            };
            if let Some(trouble) = &*self.trouble.lock().unwrap() {
                trouble.answers.fetch_add(1, Ordering::Relaxed);
            }
            last_answer = is_order.then(|| bytes.clone());
            if self.ended.load(Ordering::Relaxed) || writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn order(
        &self,
        request: &Message,
        writer: &TcpStream,
        last_answer: Option<Vec<u8>>,
    ) -> Option<Vec<u8>> {
        let arrived = Instant::now();
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [("X-Instance-Id", self.id.clone())];
            return Some(response("421 Misdirected Request", &headers, b""));
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let from = text(body.get("From")) as u16;
        let to = text(body.get("To")) as u16;
        let fence = text(body.get("fence"));
        let line = format!("{} {} {from} to {to} fence {fence}", self.id, request.target());
        if request.target() == "/grant" {
            let mut fences = self.fences.lock().unwrap();
            let overlapping = |known: &&(u16, u16, u64)| known.0 <= to && from <= known.1;
            let highest = fences.iter().filter(overlapping).map(|known| known.2).max();
            if highest.is_some_and(|highest| highest > fence) {
                self.record.line(&format!("{line}: 409"));
                return Some(response("409 Conflict", &[], b""));
            }
            fences.retain(|known| !(known.0 >= from && known.1 <= to));
            fences.push((from, to, fence));
            let hold = body.get("HoldS").and_then(Json::number).unwrap_or(0.0);
            let until = arrived + Duration::from_secs_f64(hold.clamp(0.0, 10.0));
            let since = arrived;
            self.ledger.grant(
                self.number,
                Hold {
                    from,
                    to,
                    fence,
                    until,
                    since,
                },
            );
            self.released
                .lock()
                .unwrap()
                .retain(|known| known.1 < from || known.0 > to);
            drop(fences);
            let is_raise = highest.is_some_and(|highest| highest < fence);
            if is_raise && self.ledger.running(self.number, from, to) > 0 {
                self.send_copies();
            }
            if highest != Some(fence) {
                self.record.line(&format!("{line}: 200, holds {hold} s"));
            }
            let bytes = response("200 OK", &[], b"");
            return Some(bytes);
        }
        // New work on the keys stops at once; requests that wait for a slot are rejected when they get it.
        let fences = self.fences.lock().unwrap();
        self.ledger.release(self.number, from, to);
        drop(fences);
        self.record.line(&format!(
            "{line}: arrives, {} requests run on these keys",
            self.ledger.running(self.number, from, to)
        ));
        if self.ledger.running(self.number, from, to) > 0 {
            self.owe_copy(writer, last_answer);
        }
        while self.ledger.running(self.number, from, to) > 0 {
            thread::sleep(Duration::from_millis(1));
            if self.ended.load(Ordering::Relaxed) {
                return None;
            }
        }
        let handover = {
            let mut released = self.released.lock().unwrap();
            let known = released.iter().find(|known| known.0 == from && known.1 == to);
            match known.map(|known| known.3.clone()) {
                Some(handover) => handover,
                None => {
                    let number = self.handovers.fetch_add(1, Ordering::Relaxed);
                    let handover = format!("{:04x}{:012x}", self.number, number + 1);
                    released.push((from, to, fence, handover.clone()));
                    handover
                }
            }
        };
        self.record.line(&format!("{line}: 200, handover {handover}"));
        Some(response("200 OK", &[("X-Handover", handover)], b""))
    }

    /// Keeps the last answer on the connection, to send it once more where the next one is expected.
    fn owe_copy(&self, writer: &TcpStream, answer: Option<Vec<u8>>) {
        if let (Some(answer), Ok(writer)) = (answer, writer.try_clone()) {
            self.owed.lock().unwrap().push((Instant::now(), writer, answer));
        }
    }

    /// Whether the server sends a refusal that belongs to no order now.
    fn adds_refusal(&self) -> bool {
        let trouble = self.trouble.lock().unwrap().clone();
        let trouble = trouble.filter(|trouble| trouble.addition == Addition::Refusal);
        trouble.is_some_and(|trouble| trouble.takes_copy())
    }

    /// Sends kept answers once more, late: shortly after an answer on another connection.
    fn send_copies(&self) {
        let mut owed = self.owed.lock().unwrap();
        owed.retain(|(since, _, _)| since.elapsed() < LONGEST_LATENESS);
        let trouble = self.trouble.lock().unwrap().clone();
        let trouble = trouble.filter(|trouble| trouble.addition == Addition::LastAnswer);
        let Some(trouble) = trouble else {
            return;
        };
        for (since, mut writer, answer) in owed.drain(..) {
            if !trouble.takes_copy() {
                break;
            }
            let (id, record) = (self.id.clone(), self.record.clone());
            thread::spawn(move || {
                thread::sleep(LATENESS);
                record.line(&format!(
                    "{id} sends an earlier answer once more, {:?} after the order that it meets",
                    since.elapsed()
                ));
                let _ = writer.write_all(&answer);
            });
        }
    }

    fn request(&self, request: &Message, probe: &TcpStream) -> Option<Vec<u8>> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let not_run = |status: &str| {
            let headers = [
                ("X-Request-Id", id.clone()),
                ("X-Not-Executed", "1".to_owned()),
                ("X-Upstream-Load", self.load()),
            ];
            Some(response(status, &headers, b""))
        };
        if request.header("x-expected-instance") != Some(&self.id) {
            return not_run("421 Misdirected Request");
        }
        let key = request.header("x-shard-key").and_then(|key| key.parse().ok());
        let Some(key) = key else {
            return not_run("400 Bad Request");
        };
        if self.ledger.holds(self.number, key).is_none() {
            return not_run("421 Misdirected Request");
        }
        let deadline = request
            .header("x-deadline-ms")
            .and_then(|ms| ms.parse().ok())
            .map(|ms| Instant::now() + Duration::from_millis(ms));
        {
            let mut slots = self.slots.lock().unwrap();
            if slots.running >= SLOTS && slots.waiting.len() >= QUEUE {
                drop(slots);
                return not_run("503 Service Unavailable");
            }
            let ticket = slots.next;
            slots.next += 1;
            slots.waiting.push_back((ticket, key));
            while slots.running >= SLOTS || slots.waiting.front() != Some(&(ticket, key)) {
                slots = self.freed.wait_timeout(slots, Duration::from_millis(5)).unwrap().0;
                let is_gone = has_left(probe);
                let is_late = deadline.is_some_and(|deadline| Instant::now() > deadline);
                let is_released = self.ledger.holds(self.number, key).is_none();
                if is_gone || is_late || is_released || self.ended.load(Ordering::Relaxed) {
                    slots.waiting.retain(|waiting| waiting.0 != ticket);
                    drop(slots);
                    self.freed.notify_all();
                    return match (is_gone, is_late) {
                        (true, _) => None,
                        (_, true) => not_run("503 Service Unavailable"),
                        _ => not_run("421 Misdirected Request"),
                    };
                }
            }
            slots.waiting.pop_front();
            slots.running += 1;
        }
        let Some(hold_until) = self.ledger.holds(self.number, key) else {
            self.free();
            return not_run("421 Misdirected Request");
        };
        let run = self.ledger.begin(self.number, key, &id, hold_until);
        self.record.line(&format!("{} runs {id} on key {key}", self.id));
        let ends = Instant::now() + self.work.time_of(&id);
        let mut outcome = Some("200 OK");
        while Instant::now() < ends {
            thread::sleep(Duration::from_millis(2).min(ends.saturating_duration_since(Instant::now())));
            if self.ended.load(Ordering::Relaxed) || has_left(probe) {
                outcome = None;
                break;
            }
            if deadline.is_some_and(|deadline| Instant::now() > deadline) {
                outcome = Some("504 Gateway Timeout");
                break;
            }
        }
        self.ledger.finish(run);
        self.free();
        self.record
            .line(&format!("{} ends {id}: {}", self.id, outcome.unwrap_or("dropped")));
        let headers = [
            ("X-Request-Id", id.clone()),
            ("X-Response-Signature", format!("signed.{id}")),
            ("X-Upstream-Load", self.load()),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        Some(response(outcome?, &headers, id.as_bytes()))
    }

    /// A new connection holds a slot for a moment.
    fn hold_slot(&self) {
        let mut slots = self.slots.lock().unwrap();
        while slots.running >= SLOTS {
            slots = self.freed.wait_timeout(slots, Duration::from_millis(5)).unwrap().0;
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
        }
        slots.running += 1;
        drop(slots);
        thread::sleep(HANDSHAKE);
        self.free();
    }

    fn load(&self) -> String {
        let slots = self.slots.lock().unwrap();
        format!("{},{},{SLOTS}", slots.running, slots.waiting.len())
    }

    fn free(&self) {
        self.slots.lock().unwrap().running -= 1;
        self.freed.notify_all();
    }
}

/// Whether the caller has closed the connection.
fn has_left(probe: &TcpStream) -> bool {
    let mut byte = [0; 1];
    if probe.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = probe.peek(&mut byte);
    let _ = probe.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
