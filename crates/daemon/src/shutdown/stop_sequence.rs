//! Steps of the planned stop.

use {
    super::StopSignal,
    crate::{context::RequestCounters, control::ScopeRegistry, maps::MapContext},
    camphorcove_core::time::POLL_HOLD,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

/// Longest wait for other hosts to take this host's roles over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(8);

/// Interval at which the state of the handover is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which other hosts receive the map that no longer names this host.
const MAP_SPREAD: Duration = POLL_HOLD.saturating_mul(2);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request in flight was finished.
    Complete,
    /// Requests were cut.
    Cut {
        /// Callers' requests and forwarded requests that were still in flight.
        requests: u64,
    },
}

/// What the planned stop acts on.
#[derive(Debug)]
pub struct StopSequence {
    /// Maps and hosts.
    pub context: Arc<MapContext>,
    /// Scopes.
    pub scopes: ScopeRegistry,
    /// Counts requests in flight.
    pub counters: Arc<RequestCounters>,
    /// Stops the caller listener.
    pub stop_callers: watch::Sender<bool>,
    /// Stops the peer and operator listeners.
    pub stop_peers: watch::Sender<bool>,
    /// Ends once all callers' requests are answered.
    pub callers: JoinHandle<()>,
    /// Listeners for peers and operators.
    pub listeners: Vec<JoinHandle<()>>,
    /// Longest duration of the whole stop.
    pub limit: Duration,
}

impl StopSequence {
    /// Runs the stop; a second signal or the limit cuts it short.
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

    async fn steps(mut self) {
        self.stop_callers.send_replace(true);
        self.context.set_leaving();
        self.scopes.resign().await;
        let handed_over = tokio::time::timeout(HANDOVER_LIMIT, self.handed_over()).await;
        if handed_over.is_err() {
            log::warn!("roles not taken over by other hosts in time");
        }
        let _ = (&mut self.callers).await;
        sleep(MAP_SPREAD).await;
        self.stop_peers.send_replace(true);
        for listener in self.listeners {
            let _ = listener.await;
        }
    }

    /// Waits until no scope is controlled here and no map names this host as forwarder.
    async fn handed_over(&self) {
        while self.scopes.has_roles() || self.forwards() {
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn forwards(&self) -> bool {
        let now = self.context.now();
        let me = &self.context.host.id;
        let maps = self.context.maps.all();
        let mut valid = maps.values().filter(|held| now < held.valid_until);
        valid.any(|held| {
            let mut servers = held.map.servers.iter();
            servers.any(|server| server.forwarder.as_ref() == Some(me))
        })
    }
}
