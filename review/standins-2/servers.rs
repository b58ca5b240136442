//! Upstreams of a service that is divided by key, as PROTOCOL describes them, and the record of who
//! holds and runs what.

use {
    crate::{
        links::Links,
        store::Store,
        wire::{Json, Message, Reader, answer, send},
    },
    std::{
        collections::{HashMap, HashSet},
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const KEYS: usize = 1 << 16;
const SLOTS: usize = 4;
const QUEUE: usize = 16;

/// Mean and longest work of a request, as in the site file.
const MEAN_WORK_MS: f64 = 220.0;
const MAX_WORK_MS: f64 = 1_600.0;

/// One way between two zones.
const WAY: Duration = Duration::from_micros(900);

/// Longest time that a server takes to answer a grant.
const GRANT_TIME_MS: u64 = 12;

/// Small generator of random numbers.
pub struct Random(AtomicU64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let mut x = self.0.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ (x >> 31)
    }

    pub fn below(&self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// In 0..1.
    pub fn fraction(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct Held {
    first: usize,
    last: usize,
    fence: u64,
    since: Instant,
    until: Instant,
}

struct Work {
    key: usize,
    request: String,
    since: Instant,
}

/// What one server holds and runs.
struct Record {
    up: bool,
    held: Vec<Held>,
    /// Highest fencing token seen, by key.
    fences: Vec<u64>,
    /// When the last hold that was granted on each key runs out, whether released before or not.
    granted_until: Vec<Instant>,
    works: Vec<Work>,
    waiting: usize,
    /// When a request on each key was last begun.
    begun: HashMap<usize, Instant>,
}

/// Record of all servers, and the lines of the report.
pub struct Ledger {
    started: Instant,
    servers: Mutex<HashMap<String, Record>>,
    ended: Condvar,
    lines: Mutex<Vec<String>>,
    pub violations: Mutex<Vec<String>>,
    pub grants: AtomicU64,
    pub releases: AtomicU64,
    pub runs: AtomicU64,
    handovers: Mutex<HashMap<String, String>>,
    pub random: Random,
}

impl Ledger {
    pub fn new(seed: u64) -> Self {
        Self {
            started: Instant::now(),
            servers: Mutex::default(),
            ended: Condvar::new(),
            lines: Mutex::default(),
            violations: Mutex::default(),
            grants: AtomicU64::new(0),
            releases: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            handovers: Mutex::default(),
            random: Random::new(seed),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn log(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.4} {line}");
        self.lines.lock().expect("not poisoned").push(line);
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("not poisoned").clone()
    }

    fn violate(&self, line: String) {
        self.log(&format!("BROKEN {line}"));
        self.violations.lock().expect("not poisoned").push(line);
    }

    fn grant(&self, server: &str, from: usize, to: usize, fence: u64, hold: Duration) -> bool {
        let now = Instant::now();
        let mut servers = self.servers.lock().expect("not poisoned");
        let mut found = Vec::new();
        for (other, record) in servers
            .iter()
            .filter(|(id, record)| *id != server && record.up)
        {
            for work in &record.works {
                let until = record.granted_until[work.key];
                if (from..=to).contains(&work.key) && until > now {
                    found.push(format!(
                        "OWNER: {server} is granted {from}-{to} (fence {fence}) while {other} is still at work on key {} \
                         (request {}, begun {:.0} ms before); the hold of {other} would run out in {:.0} ms",
                        work.key,
                        work.request,
                        work.since.elapsed().as_secs_f64() * 1e3,
                        (until - now).as_secs_f64() * 1e3,
                    ));
                }
            }
        }
        let record = servers.get_mut(server).expect("a known server");
        if record.fences[from..=to].iter().any(|seen| *seen > fence) {
            return false;
        }
        record.fences[from..=to].fill(fence);
        record.granted_until[from..=to].fill(now + hold);
        let held = |held: &&Held| held.first <= from && to <= held.last && held.until > now;
        let since = record.held.iter().find(held).map_or(now, |held| held.since);
        cut_out(&mut record.held, from, to);
        record.held.push(Held {
            first: from,
            last: to,
            fence,
            since,
            until: now + hold,
        });
        drop(servers);
        for line in found {
            self.violate(line);
        }
        true
    }

    /// Ends the hold; returns when the work on these keys has ended.
    fn release(&self, server: &str, from: usize, to: usize, fence: u64) {
        let mut servers = self.servers.lock().expect("not poisoned");
        let record = servers.get_mut(server).expect("a known server");
        cut_out(&mut record.held, from, to);
        for seen in &mut record.fences[from..=to] {
            *seen = (*seen).max(fence);
        }
        loop {
            let record = servers.get(server).expect("a known server");
            let busy = record
                .works
                .iter()
                .any(|work| (from..=to).contains(&work.key));
            if !busy || !record.up {
                return;
            }
            servers = self.ended.wait(servers).expect("not poisoned");
        }
    }

    /// Two servers that hold the same key for over half a second.
    pub fn watch_holds(&self, stop: &AtomicBool) {
        let mut since: HashMap<(String, String), Instant> = HashMap::new();
        let mut told = HashSet::new();
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let servers = self.servers.lock().expect("not poisoned");
            let mut both: HashMap<(String, String), String> = HashMap::new();
            for (id, record) in servers.iter().filter(|(_, record)| record.up) {
                for (other, second) in servers.iter().filter(|(other, r)| *other > id && r.up) {
                    for held in record.held.iter().filter(|held| held.until > now) {
                        for twin in second.held.iter().filter(|held| held.until > now) {
                            if held.first <= twin.last && twin.first <= held.last {
                                let line = format!(
                                    "{id} holds {}-{} (fence {}), {other} holds {}-{} (fence {})",
                                    held.first,
                                    held.last,
                                    held.fence,
                                    twin.first,
                                    twin.last,
                                    twin.fence
                                );
                                both.insert((id.clone(), other.clone()), line);
                            }
                        }
                    }
                }
            }
            drop(servers);
            since.retain(|pair, _| both.contains_key(pair));
            for (pair, line) in both {
                let begun = *since.entry(pair.clone()).or_insert(now);
                if now - begun > Duration::from_millis(500) && told.insert(pair) {
                    self.violate(format!(
                        "OWNER: two hold the same keys for over 0.5 s: {line}"
                    ));
                }
            }
        }
    }
}

/// Takes the keys out of the ranges that are held.
fn cut_out(held: &mut Vec<Held>, from: usize, to: usize) {
    let mut rest = Vec::new();
    for range in held.drain(..) {
        if range.last < from || to < range.first {
            rest.push(range);
            continue;
        }
        if range.first < from {
            rest.push(Held {
                last: from - 1,
                ..range
            });
        }
        if to < range.last {
            rest.push(Held {
                first: to + 1,
                ..range
            });
        }
    }
    *held = rest;
}

/// A running server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    born: u64,
    ledger: Arc<Ledger>,
}

struct Context {
    id: String,
    links: Links,
    ledger: Arc<Ledger>,
}

impl Server {
    pub fn start(service: &str, ledger: &Arc<Ledger>, links: &Links) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let id = format!("i-{:08x}", ledger.random.next() as u32);
        let now = Instant::now();
        let record = Record {
            up: true,
            held: Vec::new(),
            fences: vec![0; KEYS],
            granted_until: vec![now; KEYS],
            works: Vec::new(),
            waiting: 0,
            begun: HashMap::new(),
        };
        ledger
            .servers
            .lock()
            .expect("not poisoned")
            .insert(id.clone(), record);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Self {
            id,
            address: listener.local_addr()?,
            service: service.to_owned(),
            born: since_epoch.map_or(0, |time| time.as_millis() as u64),
            ledger: ledger.clone(),
        };
        let context = Arc::new(Context {
            id: server.id.clone(),
            links: links.clone(),
            ledger: ledger.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let context = context.clone();
                thread::spawn(move || {
                    let _ = serve(&context, &stream);
                });
            }
        });
        Ok(server)
    }

    /// Writes the entry in the store.
    pub fn register(&self, store: &Store, state: &str) {
        let text = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":{SLOTS},\
             \"State\":\"{state}\",\"WarmupLeftS\":0,\"Sequence\":1,\"born\":{}}}",
            self.service, self.address, self.born
        );
        let spec = Json::parse(&text).expect("valid JSON");
        store.put("servers", &self.id, spec);
        self.ledger
            .log(&format!("{} at {} is {state}", self.id, self.address));
    }

    /// Removes the entry, as after three check-ins that did not reach the store.
    pub fn lapse(&self, store: &Store) {
        store.remove("servers", &self.id);
        self.ledger.log(&format!("the entry of {} lapses", self.id));
    }
}

fn serve(context: &Context, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream)?;
    let Some(host) = context.links.host_of(stream) else {
        return Ok(());
    };
    let reaches = || context.links.wait_for(&host, &context.id, stream);
    loop {
        let request = reader.message()?;
        thread::sleep(WAY);
        if !reaches() {
            return Ok(());
        }
        let bytes = respond(context, &host, &request);
        thread::sleep(WAY);
        if !reaches() {
            return Ok(());
        }
        send(stream, &bytes)?;
    }
}

fn respond(context: &Context, host: &str, request: &Message) -> Vec<u8> {
    let id = &context.id;
    let expected = request.header("x-expected-instance");
    if expected.is_some_and(|expected| expected != id) {
        return not_run("421 Misdirected Request", request);
    }
    match request.word(1) {
        "/grant" | "/release" => order(context, host, request),
        _ => run(context, request),
    }
}

fn order(context: &Context, host: &str, request: &Message) -> Vec<u8> {
    let Context { id, ledger, .. } = context;
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    let number = |name: &str| body.get(name).and_then(Json::number);
    let (Some(from), Some(to), Some(fence)) = (number("From"), number("To"), number("fence"))
    else {
        return answer("400 Bad Request", &[], "");
    };
    let (from, to, fence) = (from as usize, to as usize, fence as u64);
    if request.word(1) == "/grant" {
        let hold = Duration::from_secs_f64(number("HoldS").unwrap_or(0.0));
        let granted = ledger.grant(id, from, to, fence, hold);
        ledger.grants.fetch_add(1, Ordering::Relaxed);
        if !granted {
            ledger.log(&format!(
                "{id} refuses {from}-{to}, fence {fence}, to {host}"
            ));
            return answer("409 Conflict", &[], "");
        }
        ledger.log(&format!(
            "{id} is granted {from}-{to}, fence {fence}, by {host}"
        ));
        thread::sleep(Duration::from_millis(ledger.random.below(GRANT_TIME_MS)));
        return answer("200 OK", &[], "");
    }
    ledger.releases.fetch_add(1, Ordering::Relaxed);
    ledger.log(&format!(
        "{id} reads the release of {from}-{to}, fence {fence}, of {host}"
    ));
    ledger.release(id, from, to, fence);
    let name = format!("{id} {from}-{to} {fence}");
    let mut handovers = ledger.handovers.lock().expect("not poisoned");
    let handover = handovers
        .entry(name)
        .or_insert_with(|| format!("{:016x}", ledger.random.next()))
        .clone();
    drop(handovers);
    ledger.log(&format!(
        "{id} has released {from}-{to}, handover {handover}"
    ));
    answer("200 OK", &[("X-Handover", handover)], "")
}

fn not_run(status: &str, request: &Message) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let headers = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
    answer(status, &headers, "")
}

fn run(context: &Context, request: &Message) -> Vec<u8> {
    let Context { id, ledger, .. } = context;
    let Some(name) = request.header("x-request-id").map(str::to_owned) else {
        return not_run("400 Bad Request", request);
    };
    let key = request
        .header("x-shard-key")
        .and_then(|key| key.parse().ok());
    let Some(key) = key.filter(|key| *key < KEYS) else {
        return not_run("400 Bad Request", request);
    };
    let mut servers = ledger.servers.lock().expect("not poisoned");
    let mut queued = false;
    loop {
        let record = servers.get_mut(id).expect("a known server");
        let now = Instant::now();
        let holds = |held: &Held| (held.first..=held.last).contains(&key) && held.until > now;
        if !record.up || !record.held.iter().any(holds) {
            record.waiting -= usize::from(queued);
            return not_run("421 Misdirected Request", request);
        }
        if record.works.len() < SLOTS {
            record.waiting -= usize::from(queued);
            record.works.push(Work {
                key,
                request: name.clone(),
                since: now,
            });
            break;
        }
        if !queued && record.waiting >= QUEUE {
            return not_run("503 Service Unavailable", request);
        }
        record.waiting += usize::from(!queued);
        queued = true;
        let wait = Duration::from_millis(100);
        servers = ledger
            .ended
            .wait_timeout(servers, wait)
            .expect("not poisoned")
            .0;
    }
    let now = Instant::now();
    let mut found = Vec::new();
    let holder = |record: &Record| {
        let holds = |held: &&Held| (held.first..=held.last).contains(&key) && held.until > now;
        record.held.iter().find(holds).map(|held| held.since)
    };
    let since = servers.get(id).and_then(&holder).unwrap_or(now);
    for (other, record) in servers
        .iter()
        .filter(|(other, record)| *other != id && record.up)
    {
        let both_since = holder(record).map(|other_since| other_since.max(since));
        let begun = record.begun.get(&key).copied();
        if let (Some(both_since), Some(begun)) = (both_since, begun)
            && begun >= both_since
        {
            found.push(format!(
                "OWNER: {id} begins {name} on key {key}, which {other} holds too and began a request on {:.0} ms before",
                (now - begun).as_secs_f64() * 1e3
            ));
        }
    }
    let record = servers.get_mut(id).expect("a known server");
    record.begun.insert(key, now);
    drop(servers);
    for line in found {
        ledger.violate(line);
    }
    ledger.runs.fetch_add(1, Ordering::Relaxed);
    ledger.log(&format!("{id} runs {name} on key {key}"));
    let tail = if ledger.random.below(100) == 0 {
        5.0
    } else {
        1.0
    };
    let work = -MEAN_WORK_MS * (1.0 - ledger.random.fraction()).ln() * tail;
    thread::sleep(Duration::from_secs_f64(work.min(MAX_WORK_MS) / 1e3));
    let mut servers = ledger.servers.lock().expect("not poisoned");
    let record = servers.get_mut(id).expect("a known server");
    record.works.retain(|work| work.request != name);
    let load = format!("{},{},{SLOTS}", record.works.len(), record.waiting);
    let outlasted = record.granted_until[key] < Instant::now();
    drop(servers);
    ledger.ended.notify_all();
    ledger.log(&format!("{id} has run {name}"));
    let status = match outlasted {
        true => "500 Internal Server Error",
        false => "200 OK",
    };
    let headers = [
        ("X-Request-Id", name.clone()),
        ("X-Response-Signature", format!("{id}.{name}")),
        ("X-Upstream-Load", load),
        ("Keep-Alive", "timeout=10".to_owned()),
    ];
    answer(status, &headers, &name)
}
