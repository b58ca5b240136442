//! Finds hosts that poll this one but cannot be reached.
//!
//! In a one-way partition a host still polls while nobody reaches its peer
//! port. As a forwarder it would take its servers' keys out of service, so it
//! does not count as live.

use {
    super::MapContext,
    camphorcove_net::peer::{PeerAddress, PeerKind},
    std::{sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval of the probes; each takes about 250 bytes both ways together.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Hosts probed at once; with more pollers each is probed less often.
const PROBES_MAX: usize = 8;

/// Longest wait for an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Probes in a row that must fail; a single one may fail by a lost packet.
pub const FAILED_PROBES: u32 = 2;

/// Probes the hosts that poll this one, until the process ends.
pub async fn probe_pollers(context: Arc<MapContext>) {
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut turn = 0;
    loop {
        ticks.tick().await;
        let mut pollers = context.hosts.pollers(context.now());
        if pollers.is_empty() {
            continue;
        }
        turn %= pollers.len();
        pollers.rotate_left(turn);
        pollers.truncate(PROBES_MAX);
        turn += pollers.len();
        let probes = pollers.into_iter().map(|poller| probe(&context, poller));
        futures_util::future::join_all(probes).await;
    }
}

async fn probe(context: &MapContext, poller: PeerAddress) {
    let host = &poller.host.id;
    let answer: Result<(), _> = context
        .client
        .call(host, poller.peer, PeerKind::Probe, &(), PROBE_TIMEOUT)
        .await;
    if let Err(error) = &answer {
        log::debug!("host {host} polls but does not answer: {error}");
    }
    context.hosts.note_probe(host, answer.is_ok());
}
