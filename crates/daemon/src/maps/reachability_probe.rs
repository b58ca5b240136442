//! Detects hosts that poll this one but cannot be reached.
//!
//! In a one-way partition a host can still send polls while its peer port is unreachable.
//! If it remained a forwarder, the keys of its servers would be out of service, so such a
//! host does not count as live.

use {
    super::MapContext,
    camphorcove_net::peer::{PeerAddress, PeerKind},
    std::{sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval between rounds of probes; a probe and its answer take about 250 bytes together.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of hosts probed in one round; if there are more, rounds take turns.
const PROBES_PER_ROUND: usize = 8;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of consecutive failed probes after which a host counts as unreachable; a single
/// failure may be due to a lost packet.
pub const FAILED_PROBES_LIMIT: u32 = 2;

/// Probes the hosts that poll this one, until the process ends.
pub async fn probe_pollers(context: Arc<MapContext>) {
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut offset = 0;
    loop {
        ticks.tick().await;
        let mut pollers = context.hosts.pollers(context.now());
        if pollers.is_empty() {
            continue;
        }
        offset %= pollers.len();
        pollers.rotate_left(offset);
        pollers.truncate(PROBES_PER_ROUND);
        offset += pollers.len();
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
        log::debug!("host {host} polls this host but did not answer a probe: {error}");
    }
    context.hosts.record_probe(host, answer.is_ok());
}
