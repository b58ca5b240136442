//! A route that divides its traffic among two services gets a third one while requests are sent.

use crate::{
    Verdict,
    caller::{call, send_slowly},
    host::{Host, end_all},
    http::Message,
    record::Record,
    store::Store,
    upstream::Upstream,
};
use std::{
    env, fs,
    net::SocketAddr,
    path::Path,
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

const HOSTS: usize = 3;

/// Services, with two servers each.
const SERVICES: [&str; 3] = ["boka-a", "boka-b", "boka-c"];
const SERVERS_PER_SERVICE: usize = 2;

/// Callers of the route that was added later, for each host. Each needs half a second to send a body.
const UPLOADERS: usize = 3;
const BODY_BYTES: usize = 4_000;
const BODY_PARTS: usize = 5;
const PART_PAUSE: Duration = Duration::from_millis(100);

const CALL_INTERVAL: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(3_000);

const START_TIME: Duration = Duration::from_secs(20);
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time after a version's ack in which it has to be in force, and a margin for the callers.
const APPLY_TIME: Duration = Duration::from_millis(2_000 + 1_000);
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Requests on routes added later from which on the rule applies.
const MIN_REQUESTS: usize = 20;

/// Route and status of a request that a caller sent.
struct Outcome {
    later: bool,
    status: u16,
    sent_at: Instant,
}

type Outcomes = Arc<Mutex<Vec<Outcome>>>;

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

/// A configuration whose second route, if any, divides its traffic among these services.
fn configuration(version: u32, split: &[&str]) -> String {
    let route = |name: &str, kind: &str, target: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"rafts.example","PathPrefix":"/{name}/","Kind":"{kind}","TimeoutS":1.5,"TargetLatencyS":0.5,"MaxAttempts":2,"Priority":1,{target}}}"#
        )
    };
    let mut routes = vec![route("first", "safe", r#""Service":"boka-a""#)];
    if !split.is_empty() {
        let parts = split
            .iter()
            .map(|service| format!(r#"{{"Service":"{service}","Weight":10}}"#));
        let parts: Vec<String> = parts.collect();
        let target = format!(r#""TrafficSplit":[{}]"#, parts.join(","));
        routes.push(route("later", "unsafe", &target));
    }
    let services = SERVICES.iter().map(|service| {
        format!(r#"{{"Name":"{service}","MaxConnections":120,"HealthPath":"/health"}}"#)
    });
    let (routes, services) = (routes.join(","), services.collect::<Vec<_>>().join(","));
    format!(
        r#"{{"Version":"{version:08x}","Routes":[{routes}],"Services":[{services}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutS":5,"IdleTimeoutS":15}}}}"#
    )
}

fn play(files: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let store = Arc::new(Store::default());
    let address = store.serve();
    store.put("config", "main", &configuration(1, &[]));
    let mut servers = Vec::new();
    for service in SERVICES {
        for _ in 0..SERVERS_PER_SERVICE {
            servers.push(Upstream::start(servers.len(), service, &store, record));
        }
    }
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|index| Host::new(index, files, address))
        .collect();
    for host in &hosts {
        host.start();
    }
    let started = Instant::now();
    for host in &hosts {
        while call(host.callers, &first_request("start"), DEADLINE, record) != 200 {
            if started.elapsed() > START_TIME {
                record.note("no request is served");
                end_all(&hosts, record);
                return Verdict::CouldNotRun;
            }
            sleep(Duration::from_millis(100));
        }
    }
    store.put("config", "main", &configuration(2, &SERVICES[..2]));
    record.note("version 2 adds a route with two services");
    sleep(SETTLE_TIME);
    let ended = Arc::new(AtomicBool::new(false));
    let outcomes: Vec<Outcomes> = hosts.iter().map(|_| Outcomes::default()).collect();
    let mut callers = Vec::new();
    for (host, outcomes) in hosts.iter().zip(&outcomes) {
        let context = CallerContext {
            address: host.callers,
            host: host.index,
            record: record.clone(),
            outcomes: outcomes.clone(),
            ended: ended.clone(),
        };
        callers.push(thread::spawn({
            let context = context.clone();
            move || context.call_first()
        }));
        for number in 0..UPLOADERS {
            let context = context.clone();
            callers.push(thread::spawn(move || context.upload(number)));
        }
    }
    sleep(SETTLE_TIME);
    if trouble {
        store.put("config", "main", &configuration(3, &SERVICES));
        record.note("version 3 gives the route a third service");
    }
    sleep(APPLY_TIME);
    let measured_from = Instant::now();
    sleep(MEASURED_TIME);
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    end_all(&hosts, record);
    judge(&outcomes, measured_from, record)
}

fn first_request(id: &str) -> Message {
    Message {
        first: "GET /first/a HTTP/1.1".into(),
        headers: vec![
            ("Host".into(), "rafts.example".into()),
            ("X-Request-Id".into(), id.into()),
            ("X-Deadline-Ms".into(), DEADLINE.as_millis().to_string()),
        ],
        body: Vec::new(),
    }
}

#[derive(Clone)]
struct CallerContext {
    address: SocketAddr,
    host: usize,
    record: Arc<Record>,
    outcomes: Outcomes,
    ended: Arc<AtomicBool>,
}

impl CallerContext {
    fn call_first(&self) {
        let mut count = 0;
        while !self.ended.load(Ordering::Relaxed) {
            count += 1;
            let request = first_request(&format!("first-{}-{count}", self.host));
            let sent_at = Instant::now();
            let status = call(self.address, &request, DEADLINE, &self.record);
            self.outcomes.lock().unwrap().push(Outcome {
                later: false,
                status,
                sent_at,
            });
            sleep(CALL_INTERVAL);
        }
    }

    fn upload(&self, number: usize) {
        let mut count = 0;
        while !self.ended.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("later-{}-{number}-{count}", self.host);
            let mut request = first_request(&id);
            request.first = "POST /later/a HTTP/1.1".into();
            request.body = vec![b'x'; BODY_BYTES];
            let sent_at = Instant::now();
            let pace = (BODY_PARTS, PART_PAUSE);
            let status = send_slowly(self.address, &request, pace, DEADLINE, &self.record);
            self.outcomes.lock().unwrap().push(Outcome {
                later: true,
                status,
                sent_at,
            });
            sleep(PART_PAUSE);
        }
    }
}

/// Compares how often requests on the route that was added later are served with those on the first.
fn judge(outcomes: &[Outcomes], from: Instant, record: &Record) -> Verdict {
    let (mut served, mut sent) = ([0, 0], [0, 0]);
    for (host, outcomes) in outcomes.iter().enumerate() {
        let outcomes = outcomes.lock().unwrap();
        for later in [false, true] {
            let measured = outcomes
                .iter()
                .filter(|outcome| outcome.later == later && outcome.sent_at >= from);
            let statuses: Vec<u16> = measured.map(|outcome| outcome.status).collect();
            let count = |status: u16| statuses.iter().filter(|known| **known == status).count();
            record.note(&format!(
                "host {host}, route {}: {} requests, {} served, {} connections ended without an answer",
                if later { "later" } else { "first" },
                statuses.len(),
                count(200),
                count(0)
            ));
            served[usize::from(later)] += count(200);
            sent[usize::from(later)] += statuses.len();
        }
    }
    let share = |at: usize| served[at] as f64 / f64::from(sent[at].max(1) as u32);
    let (first, later) = (share(0), share(1));
    record.note(&format!(
        "served: {first:.3} on the first route, {later:.3} on the later one"
    ));
    match sent[1] >= MIN_REQUESTS && later < first * 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
