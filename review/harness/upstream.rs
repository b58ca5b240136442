//! Servers without keys, which record what they run.

use crate::{
    http::{Connection, Message, json_response},
    network::free_port,
    record::Record,
    store::Store,
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

const SLOTS: u32 = 3;

/// Requests that a server runs or queues before it refuses others.
const MAX_REQUESTS: u32 = SLOTS * 4;

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(20);

/// A server.
pub struct Upstream {
    id: String,
    service: &'static str,
    address: SocketAddr,
    count: AtomicU32,
    /// Ids of the requests that it has run.
    runs: Mutex<Vec<String>>,
}

impl Upstream {
    /// Starts a server and registers it in the store. Its entry never changes by more than its
    /// sequence, so it is written once.
    pub fn start(
        index: usize,
        service: &'static str,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let address = free_port();
        let listener = TcpListener::bind(address).expect("a free port");
        let upstream = Arc::new(Self {
            id: format!("i-{index:04}"),
            service,
            address,
            count: AtomicU32::new(0),
            runs: Mutex::default(),
        });
        upstream.register(store);
        let serving = (upstream.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (upstream, record) = serving.clone();
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else {
                        return;
                    };
                    while let Ok(Some(request)) = connection.read() {
                        if connection
                            .write(&upstream.respond(&request, &record))
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        upstream
    }

    fn register(&self, store: &Store) {
        let Self {
            service, address, ..
        } = self;
        let spec = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\
             \"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"WarmupLeftS\":0,\
             \"Sequence\":1,\"born\":1790000000000}}"
        );
        store.put("servers", &self.id, &spec);
    }

    fn respond(&self, request: &Message, record: &Record) -> Message {
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return refuse(421, request);
        }
        if request.target() == "/health" {
            let mut response = json_response(200, "null".into());
            response
                .headers
                .push(("X-Instance-Id".into(), self.id.clone()));
            return response;
        }
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            return refuse(400, request);
        };
        if self.count.load(Ordering::Relaxed) >= MAX_REQUESTS {
            return refuse(503, request);
        }
        self.runs.lock().unwrap().push(id.clone());
        record.line(&format!("{} runs {id}", self.id));
        self.count.fetch_add(1, Ordering::Relaxed);
        sleep(WORK_TIME);
        let running = self.count.fetch_sub(1, Ordering::Relaxed) - 1;
        let mut response = json_response(200, format!("\"{id} at {}\"", self.id));
        response.headers.push(("X-Request-Id".into(), id));
        response
            .headers
            .push(("X-Response-Signature".into(), "s".into()));
        let load = format!("{running},0,{SLOTS}");
        response.headers.push(("X-Upstream-Load".into(), load));
        response
    }

    /// Ids of the requests that the server has run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }
}

/// An answer to a request that the server does not run.
fn refuse(status: u16, request: &Message) -> Message {
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
