//! Servers that own keys: they run a request only while they hold its key.

use crate::{
    http::{Connection, Message, json_response},
    json,
    network::{Member, Network, free_port},
    record::Record,
    store::Store,
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Interval of check-ins, and number of missed ones after which the store removes an entry.
const HEARTBEAT: Duration = Duration::from_millis(870);
const MISSED_HEARTBEATS: u32 = 3;

const SLOTS: u32 = 3;

/// Pause of a release that waits for running requests.
const POLL_PAUSE: Duration = Duration::from_millis(2);

/// Keys that a server holds, or held until the lease ended or it was told to release them.
#[derive(Clone, Debug)]
pub struct Hold {
    pub server: usize,
    pub first: u32,
    pub last: u32,
    pub fence: u64,
    pub from: Instant,
    pub until: Instant,
}

impl Hold {
    fn has(&self, key: u32, now: Instant) -> bool {
        self.first <= key && key <= self.last && self.from <= now && now < self.until
    }
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: usize,
    pub id: String,
    pub key: Option<u32>,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    holds: Vec<Hold>,
    /// First key, last key and fencing token of all grants and releases.
    fences: Vec<(u32, u32, u64)>,
    /// Keys of running requests.
    running: Vec<u32>,
    runs: Vec<Run>,
}

/// A server.
pub struct Upstream {
    pub index: usize,
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    keyed: bool,
    work: Duration,
    born: u64,
    state: Mutex<State>,
    count: AtomicU32,
    released: AtomicU64,
}

/// What a server is.
pub struct UpstreamKind {
    pub service: &'static str,
    pub keyed: bool,
    pub work: Duration,
}

impl Upstream {
    pub fn start(
        index: usize,
        kind: &UpstreamKind,
        born: u64,
        (network, store, record): (&Arc<Network>, &Arc<Store>, &Arc<Record>),
    ) -> Arc<Self> {
        let address = free_port();
        let listener = TcpListener::bind(address).expect("a free port");
        let upstream = Arc::new(Self {
            index,
            id: format!("i-{index:04}"),
            address,
            service: kind.service,
            keyed: kind.keyed,
            work: kind.work,
            born,
            state: Mutex::default(),
            count: AtomicU32::new(0),
            released: AtomicU64::new(0),
        });
        upstream.check_in(store, 1);
        let beating = (upstream.clone(), store.clone(), network.clone());
        thread::spawn(move || beating.0.keep_registered(&beating.1, &beating.2));
        let serving = (upstream.clone(), network.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (upstream, network, record) = serving.clone();
                thread::spawn(move || {
                    let host = network.host_of(&stream);
                    if let Ok(connection) = Connection::new(stream) {
                        upstream.serve(connection, host, &network, &record);
                    }
                });
            }
        });
        upstream
    }

    fn check_in(&self, store: &Store, sequence: u32) {
        let Self {
            service,
            address,
            born,
            ..
        } = self;
        let spec = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\
             \"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"WarmupLeftS\":0,\
             \"Sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("servers", &self.id, &spec);
    }

    /// Writes the entry while the store is within reach. The store removes it after three missed
    /// check-ins.
    fn keep_registered(&self, store: &Store, network: &Network) {
        let mut missed = 0;
        let mut sequence = 1;
        loop {
            sleep(HEARTBEAT);
            if !network.connects(Member::Server(self.index), Member::Store) {
                missed += 1;
                if missed == MISSED_HEARTBEATS {
                    store.remove("servers", &self.id);
                }
                continue;
            }
            sequence += 1;
            // Entries change when more than the sequence changes; others need not be written.
            if missed > 0 {
                self.check_in(store, sequence);
            }
            missed = 0;
        }
    }

    fn serve(
        &self,
        mut connection: Connection,
        host: Option<usize>,
        network: &Network,
        record: &Record,
    ) {
        let own = Member::Server(self.index);
        while let Ok(Some(request)) = connection.read() {
            // What a partition holds up is lost with its connection.
            if host.is_some_and(|host| network.wait(Member::Host(host), own)) {
                return;
            }
            let response = self.respond(&request, host, record);
            if host.is_some_and(|host| network.wait(Member::Host(host), own)) {
                return;
            }
            if connection.write(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, host: Option<usize>, record: &Record) -> Message {
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.refuse(421, request);
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match request.target() {
            "/grant" if self.keyed => return self.grant(&body, host, record),
            "/release" if self.keyed => return self.release(&body, host, record),
            "/health" => {
                let mut response = json_response(200, "null".into());
                response
                    .headers
                    .push(("X-Instance-Id".into(), self.id.clone()));
                return response;
            }
            _ => {}
        }
        if request.header("x-request-id").is_none() {
            return self.refuse(400, request);
        }
        self.run(request, host, record)
    }

    fn run(&self, request: &Message, host: Option<usize>, record: &Record) -> Message {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let key: Option<u32> = request
            .header("x-shard-key")
            .and_then(|key| key.parse().ok());
        if self.count.load(Ordering::Relaxed) >= SLOTS * 4 {
            return self.refuse(503, request);
        }
        {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            if self.keyed {
                let key = key.unwrap_or(u32::MAX);
                if !state.holds.iter().any(|hold| hold.has(key, now)) {
                    return self.refuse(421, request);
                }
                state.running.push(key);
            }
            state.runs.push(Run {
                server: self.index,
                id: id.clone(),
                key,
                at: now,
            });
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        record.line(&format!(
            "{} runs {id} key {key:?} from host {host:?}",
            self.id
        ));
        sleep(self.work);
        self.count.fetch_sub(1, Ordering::Relaxed);
        let mut status = 200;
        if let (true, Some(key)) = (self.keyed, key) {
            let mut state = self.state.lock().unwrap();
            if let Some(at) = state.running.iter().position(|running| *running == key) {
                state.running.swap_remove(at);
            }
            // Work that outlasts its lease ends with 500; a release lets it end.
            let now = Instant::now();
            let lapsed = |hold: &Hold| hold.first <= key && key <= hold.last && now < hold.until;
            let released = self.released.load(Ordering::Relaxed) > 0;
            if !released && !state.holds.iter().any(lapsed) {
                status = 500;
            }
        }
        let mut response = json_response(status, format!("\"{id} at {}\"", self.id));
        response.headers.push(("X-Request-Id".into(), id));
        response
            .headers
            .push(("X-Response-Signature".into(), "s".into()));
        let running = self.count.load(Ordering::Relaxed);
        response
            .headers
            .push(("X-Upstream-Load".into(), format!("{running},0,{SLOTS}")));
        response
    }

    fn refuse(&self, status: u16, request: &Message) -> Message {
        let mut response = json_response(status, "null".into());
        if let Some(id) = request.header("x-request-id") {
            response.headers.push(("X-Request-Id".into(), id.into()));
        }
        response
            .headers
            .push(("X-Response-Signature".into(), "s".into()));
        response.headers.push(("X-Not-Executed".into(), "1".into()));
        response
    }

    fn grant(&self, body: &str, host: Option<usize>, record: &Record) -> Message {
        let now = Instant::now();
        let number = |name: &str| json::number(body, name).unwrap_or_default();
        let (first, last) = (number("From") as u32, number("To") as u32);
        let (fence, hold_s) = (number("fence") as u64, number("HoldS"));
        let mut state = self.state.lock().unwrap();
        let overlaps = |low: u32, high: u32| low <= last && first <= high;
        let refused = state
            .fences
            .iter()
            .any(|(low, high, seen)| overlaps(*low, *high) && *seen > fence);
        let result = if refused { "refused" } else { "accepted" };
        record.line(&format!(
            "{} {result} grant {first}-{last} fence {fence} for {hold_s} s from host {host:?}",
            self.id
        ));
        if refused {
            return json_response(409, "null".into());
        }
        if !state.fences.contains(&(first, last, fence)) {
            state.fences.push((first, last, fence));
        }
        let hold = Hold {
            server: self.index,
            first,
            last,
            fence,
            from: now,
            until: now + Duration::from_secs_f64(hold_s),
        };
        state.holds.push(hold);
        json_response(200, "null".into())
    }

    fn release(&self, body: &str, host: Option<usize>, record: &Record) -> Message {
        let number = |name: &str| json::number(body, name).unwrap_or_default();
        let (first, last) = (number("From") as u32, number("To") as u32);
        let fence = number("fence") as u64;
        record.line(&format!(
            "{} releases {first}-{last} fence {fence} for host {host:?}",
            self.id
        ));
        {
            let mut state = self.state.lock().unwrap();
            state.fences.push((first, last, fence));
            let now = Instant::now();
            let mut rest = Vec::new();
            for hold in &mut state.holds {
                if hold.until <= now || hold.last < first || last < hold.first {
                    continue;
                }
                if hold.first < first {
                    rest.push(Hold {
                        last: first - 1,
                        from: now,
                        ..hold.clone()
                    });
                }
                if hold.last > last {
                    rest.push(Hold {
                        first: last + 1,
                        from: now,
                        ..hold.clone()
                    });
                }
                hold.until = now;
            }
            state.holds.extend(rest);
        }
        self.released.fetch_add(1, Ordering::Relaxed);
        // The answer follows when the work on these keys has ended.
        while self
            .state
            .lock()
            .unwrap()
            .running
            .iter()
            .any(|key| first <= *key && *key <= last)
        {
            sleep(POLL_PAUSE);
        }
        let mut response = json_response(200, "null".into());
        let handover = format!("{:08x}{first:04x}{fence:08x}", self.index);
        response.headers.push(("X-Handover".into(), handover));
        response
    }

    /// Key ranges that the server holds now.
    pub fn held_keys(&self) -> Vec<(u32, u32)> {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        let held = state
            .holds
            .iter()
            .filter(|hold| hold.from <= now && now < hold.until);
        let mut held: Vec<_> = held.map(|hold| (hold.first, hold.last)).collect();
        held.sort_unstable();
        held.dedup();
        held
    }

    pub fn holds(&self) -> Vec<Hold> {
        self.state.lock().unwrap().holds.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }
}
