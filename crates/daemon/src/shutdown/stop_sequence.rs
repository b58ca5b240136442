//! Sequence of a planned stop.

use {
    super::StopSignal,
    crate::{context::RequestCounters, control::ScopeRegistry, maps::MapContext},
    camphorcove_core::time::{MAP_TTL, POLL_MAX_WAIT, with_drift},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Time limit for other hosts to take over this host's roles.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the state of the handover is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without forwarded requests after which every host is assumed to have the new map and to
/// forward nothing to this one.
const HOP_QUIET_PERIOD: Duration = POLL_MAX_WAIT.saturating_mul(2);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request in flight was answered.
    Complete,
    /// The stop was cut short, and requests in flight were aborted.
    Cut {
        /// Callers' requests of this host that were still in flight.
        requests: u64,
    },
}

/// Tasks and handles that the planned stop acts on.
#[derive(Debug)]
pub struct StopSequence {
    /// Routing maps and the state of this host.
    pub context: Arc<MapContext>,
    /// Scopes that this host may control.
    pub scopes: ScopeRegistry,
    /// Counts requests in flight.
    pub counters: Arc<RequestCounters>,
    /// Stops the caller listener.
    pub stop_callers: watch::Sender<bool>,
    /// Stops the peer and operator listeners.
    pub stop_peers: watch::Sender<bool>,
    /// Task of the caller listener, which ends once all callers' requests are answered.
    pub callers: JoinHandle<()>,
    /// Tasks of the listeners for peers and operators.
    pub listeners: Vec<JoinHandle<()>>,
    /// Time limit of the whole stop.
    pub limit: Duration,
}

impl StopSequence {
    /// Runs the stop. A second signal or the time limit cuts it short.
    pub async fn run(self, signal: &mut StopSignal) -> StopOutcome {
        let counters = self.counters.clone();
        let limit = self.limit;
        let reason = tokio::select! {
            () = self.steps() => return StopOutcome::Complete,
            () = signal.next() => "second signal",
            () = sleep(limit) => "shutdown limit",
        };
        let requests = counters.in_flight.load(Ordering::Relaxed);
        log::warn!(requests = requests; "stop cut short by the {reason}");
        StopOutcome::Cut { requests }
    }

    /// Stops accepting callers, hands all roles over, and closes the listeners for peers and
    /// operators last, because other hosts need them until then.
    async fn steps(mut self) {
        self.stop_callers.send_replace(true);
        self.context.announce_leaving();
        self.scopes.hand_over_roles().await;
        let handed_over = tokio::time::timeout(HANDOVER_TIMEOUT, self.handed_over()).await;
        if handed_over.is_err() {
            log::warn!("roles not taken over by other hosts in time");
        }
        let _ = (&mut self.callers).await;
        self.hops_ended().await;
        self.stop_peers.send_replace(true);
        for listener in self.listeners {
            let _ = listener.await;
        }
    }

    /// Waits until this host controls no scope and no valid map names it as a forwarder.
    async fn handed_over(&self) {
        while self.scopes.controls_any() || self.is_forwarder() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until other hosts no longer forward requests to this one.
    ///
    /// A host that has not received the new map yet still does. The wait ends at the latest when
    /// the validity of every map that names this host has ended.
    async fn hops_ended(&self) {
        let end = Instant::now() + with_drift(MAP_TTL);
        loop {
            let received = self.counters.forwarded_in.load(Ordering::Relaxed);
            sleep(HOP_QUIET_PERIOD).await;
            let quiet = self.counters.forwarded_in.load(Ordering::Relaxed) == received;
            if quiet || Instant::now() >= end {
                return;
            }
        }
    }

    /// Whether a valid map names this host as the forwarder of a server.
    fn is_forwarder(&self) -> bool {
        let now = self.context.now();
        let this_host = &self.context.host.id;
        let maps = self.context.maps.all();
        let mut valid = maps
            .values()
            .filter(|timed_map| now < timed_map.valid_until);
        valid.any(|timed_map| {
            let mut servers = timed_map.map.servers.iter();
            servers.any(|server| server.forwarder.as_ref() == Some(this_host))
        })
    }
}
