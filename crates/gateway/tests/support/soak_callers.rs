//! Callers of the soak and what they record.

use {
    camphorcove_platform_standin::caller::{CallerResponse, call, key_header, request},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Number of callers that send requests continuously.
const CALLERS: usize = 4;

/// Longest time for which a caller waits for a response.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests and responses recorded by the callers.
#[derive(Debug, Default)]
pub struct CallerLedger {
    /// Ids of the at-most-once requests sent.
    pub at_most_once: HashSet<String>,
    /// Ids of the requests refused as not run, which must not have run.
    pub refused: HashSet<String>,
    /// Descriptions of successes with a wrong or truncated body.
    pub wrong: Vec<String>,
    pub served: u64,
    pub sent: u64,
}

impl CallerLedger {
    /// Records the response to a request; returns its status.
    pub fn record(&mut self, id: &str, response: Option<CallerResponse>) -> Option<u16> {
        self.sent += 1;
        let response = response?;
        match response.status {
            200 if response.complete && response.body == id => self.served += 1,
            200 => self.wrong.push(format!("request {id} got {response:?}")),
            // Statuses that mean "not run".
            408 | 421 | 429 | 503 => drop(self.refused.insert(id.to_owned())),
            _ => {}
        }
        Some(response.status)
    }
}

/// Starts callers that send requests until `stop` is set, each on a new connection.
pub fn start_callers(
    hosts: &[SocketAddr],
    caller_ledger: &Arc<Mutex<CallerLedger>>,
    stop: &Arc<AtomicBool>,
) {
    let next = Arc::new(AtomicU64::new(0));
    for _ in 0..CALLERS {
        let hosts = hosts.to_vec();
        let (next, caller_ledger, stop) = (next.clone(), caller_ledger.clone(), stop.clone());
        tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let to = hosts[usize::try_from(number / 4).unwrap_or(0) % hosts.len()];
                let (id, text) = next_request("c", number, &caller_ledger);
                let response = call_in_time(to, &text).await;
                caller_ledger
                    .lock()
                    .expect("not poisoned")
                    .record(&id, response);
                sleep(Duration::from_millis(5)).await;
            }
        });
    }
}

/// Id and text of request `number`. At-most-once requests are recorded before they are sent.
pub fn next_request(
    caller: &str,
    number: u64,
    caller_ledger: &Mutex<CallerLedger>,
) -> (String, String) {
    let id = format!("{caller}-{number}");
    let key = number.wrapping_mul(7_919) % 65_536;
    let key = key_header(key);
    // Only keyed services get keys; a server of another service would refuse the request.
    let (method, path, extra, at_most_once) = match number % 4 {
        0 => ("GET", "/read/a", "", false),
        1 => ("POST", "/write/a", "", true),
        2 => ("GET", "/key/a", key.as_str(), false),
        _ => ("POST", "/claim/a", key.as_str(), true),
    };
    if at_most_once {
        let mut caller_ledger = caller_ledger.lock().expect("not poisoned");
        caller_ledger.at_most_once.insert(id.clone());
    }
    let text = request(method, path, &id, extra, "");
    (id, text)
}

/// Status of the response, if one arrives in time.
pub async fn status_of(to: SocketAddr, text: &str) -> Option<u16> {
    let response = call_in_time(to, text).await?;
    Some(response.status)
}

/// Response on a new connection, if one arrives in time.
pub async fn call_in_time(to: SocketAddr, text: &str) -> Option<CallerResponse> {
    timeout(CALLER_TIMEOUT, call_if_up(to, text)).await.ok()?
}

async fn call_if_up(to: SocketAddr, text: &str) -> Option<CallerResponse> {
    // A host that is down refuses the connection, which would make `call` panic, and so does one that
    // goes down now; the task keeps that from ending the caller.
    drop(tokio::net::TcpStream::connect(to).await.ok()?);
    let text = text.to_owned();
    let calling = tokio::spawn(async move { call(to, &text).await });
    calling.await.ok()
}
