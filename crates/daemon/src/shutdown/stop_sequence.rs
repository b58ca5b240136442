//! Steps of the planned stop.

use {
    super::StopSignal,
    crate::{context::RequestCounters, control::ScopeRegistry, maps::MapContext},
    camphorcove_core::time::{MAP_TTL, POLL_HOLD, with_drift},
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

/// Longest wait for other hosts to take this host's roles over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(8);

/// Interval at which the state of the handover is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without forwarded requests after which no host forwards to this one any more.
const HOP_SILENCE: Duration = POLL_HOLD.saturating_mul(2);

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
        self.hops_ended().await;
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

    /// Waits until other hosts forward nothing to this one.
    ///
    /// A host that has not received the new map yet still forwards here. No map
    /// that names this host outlives the map validity.
    async fn hops_ended(&self) {
        let end = Instant::now() + with_drift(MAP_TTL);
        loop {
            let received = self.counters.hops_in.load(Ordering::Relaxed);
            sleep(HOP_SILENCE).await;
            let silent = self.counters.hops_in.load(Ordering::Relaxed) == received;
            if silent || Instant::now() >= end {
                return;
            }
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
