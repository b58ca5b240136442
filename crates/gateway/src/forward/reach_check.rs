//! Checks whether this host reaches servers, when requests make that doubtful.

use {
    crate::{forward::ConnectionPool, state::HostState},
    camphorcove_core::dispatch::ReachCheck,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Servers to which a check connects at the same time. A partition of the host concerns all
/// of them, while the chance that all of them have failed is small.
const CHECKED_SERVERS: usize = 4;

/// Longest wait for a connection, as for those of requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause after which it is looked at again whether a check is due.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Checks again and again while there is doubt; never returns.
pub async fn check_reach(state: Arc<HostState>, pool: Arc<ConnectionPool>) {
    loop {
        let doubted = state.reach_doubted.notified();
        let servers = state.begin_reach_check(CHECKED_SERVERS);
        if servers.is_empty() {
            match state.lacks_servers() {
                true => sleep(CHECK_PAUSE).await,
                false => doubted.await,
            }
            continue;
        }
        let check = ReachCheck {
            tried: servers.len(),
            accepted: count_accepting(servers).await,
        };
        if state.record_reach_check(check) {
            pool.close_all_idle();
        }
    }
}

/// Number of addresses that accept a connection.
async fn count_accepting(addresses: Vec<SocketAddr>) -> usize {
    let results = start_connecting(addresses).join_all().await;
    results.into_iter().filter(|accepts| *accepts).count()
}

/// Whether one of the addresses accepts a connection; does not wait for the others then.
pub async fn any_accepts(addresses: Vec<SocketAddr>) -> bool {
    let mut attempts = start_connecting(addresses);
    while let Some(accepts) = attempts.join_next().await {
        if accepts.unwrap_or(false) {
            return true;
        }
    }
    false
}

fn start_connecting(addresses: Vec<SocketAddr>) -> JoinSet<bool> {
    let mut attempts = JoinSet::new();
    for address in addresses {
        attempts.spawn(async move {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            matches!(connected, Ok(Ok(_)))
        });
    }
    attempts
}
