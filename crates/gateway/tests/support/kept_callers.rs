//! Callers that keep an open connection to a host until its process is gone.

use {
    super::{
        soak_callers::{CALLER_TIMEOUT, CallerLedger, next_request},
        soak_host::SoakHost,
    },
    camphorcove_platform_standin::{
        caller::{CallerResponse, read_response},
        owning_server::OwnershipLedger,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Pause between the requests on a connection, and before connecting again.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

/// Time for which a host had a request when its connection closed, from which the request counts as
/// cut. A request that is sent while the host closes an idle connection, or on a connection whose
/// process has just ended, crosses the close.
const CROSSING_TIME: Duration = Duration::from_millis(50);

/// A request on a connection that closed without a complete response to it.
struct CutRequest {
    id: String,
    host: usize,
    /// When the connection was last known to be open before: at the response before, or when the caller
    /// began to open it. A process may accept it and end before the caller's task runs again.
    open_at: Instant,
    sent_at: Instant,
    closed_at: Instant,
}

/// One caller for each host.
pub struct KeptCallers {
    tasks: Vec<JoinHandle<Vec<CutRequest>>>,
}

impl KeptCallers {
    /// Starts callers that send requests until `stop` is set.
    pub fn start(
        hosts: &[Arc<SoakHost>],
        caller_ledger: &Arc<Mutex<CallerLedger>>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        let tasks = (0..hosts.len()).map(|number| {
            let caller = KeptCaller {
                name: format!("k{number}"),
                hosts: hosts.to_vec(),
                at: number,
                sent: 0,
                caller_ledger: caller_ledger.clone(),
            };
            tokio::spawn(caller.run(stop.clone()))
        });
        Self {
            tasks: tasks.collect(),
        }
    }

    /// Waits until the callers have stopped; returns the requests in flight that were cut by hosts
    /// which were neither killed nor frozen.
    pub async fn finish(
        self,
        hosts: &[Arc<SoakHost>],
        ownership_ledger: &OwnershipLedger,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        for task in self.tasks {
            for cut in task.await.expect("the caller ends") {
                let host = &hosts[cut.host];
                let (sent_at, closed_at) = (cut.sent_at, cut.closed_at);
                if host.was_broken(sent_at, closed_at) {
                    continue;
                }
                let runs = ownership_ledger.runs(&cut.id);
                let waited = closed_at - sent_at;
                let has_ended = host.was_stopped(cut.open_at, closed_at)
                    || host.was_broken(cut.open_at, closed_at);
                if has_ended && runs == 0 && waited < CROSSING_TIME {
                    println!(
                        "request {} to host {} crossed the close after {waited:?}",
                        cut.id, cut.host
                    );
                    continue;
                }
                violations.push(format!(
                    "request {} was cut by host {} after {waited:?}, {runs} runs",
                    cut.id, cut.host
                ));
            }
        }
        violations
    }
}

struct KeptCaller {
    name: String,
    hosts: Vec<Arc<SoakHost>>,
    /// Host to which the caller sends.
    at: usize,
    sent: u64,
    caller_ledger: Arc<Mutex<CallerLedger>>,
}

impl KeptCaller {
    async fn run(mut self, stop: Arc<AtomicBool>) -> Vec<CutRequest> {
        let mut cut_requests = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let host = self.at % self.hosts.len();
            let opened_at = Instant::now();
            match TcpStream::connect(self.hosts[host].callers).await {
                Ok(stream) => {
                    cut_requests.extend(self.use_connection(stream, host, opened_at, &stop).await)
                }
                // The process is gone.
                Err(_) => self.at += 1,
            }
            sleep(REQUEST_PAUSE).await;
        }
        cut_requests
    }

    /// Sends requests until the host closes the connection or says that it will.
    async fn use_connection(
        &mut self,
        mut stream: TcpStream,
        host: usize,
        opened_at: Instant,
        stop: &AtomicBool,
    ) -> Option<CutRequest> {
        let mut received = Vec::new();
        let mut open_at = opened_at;
        while !stop.load(Ordering::Relaxed) {
            self.sent += 1;
            let (id, text) = next_request(&self.name, self.sent, &self.caller_ledger);
            let sent_at = Instant::now();
            stream.write_all(text.as_bytes()).await.ok()?;
            let reading = read_response(&mut stream, &mut received);
            // The host is frozen, or the request waits for a lost answer.
            let response = timeout(CALLER_TIMEOUT, reading).await.ok()?;
            let closed_at = Instant::now();
            let is_cut = response.status == 0 || !response.complete;
            let is_last = announces_close(&response);
            self.caller_ledger
                .lock()
                .expect("not poisoned")
                .record(&id, Some(response));
            if is_cut {
                return Some(CutRequest {
                    id,
                    host,
                    open_at,
                    sent_at,
                    closed_at,
                });
            }
            if is_last {
                return None;
            }
            open_at = closed_at;
            sleep(REQUEST_PAUSE).await;
        }
        None
    }
}

fn announces_close(response: &CallerResponse) -> bool {
    response.head.contains("\r\nconnection: close")
}
