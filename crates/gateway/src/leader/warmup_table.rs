//! What the leader learns from reports about requests for cold servers.

use {
    crate::state::{ServerHash, SharedLimit, WarmupReport},
    camphorcove_core::{dispatch::LimitControl, time::BootTime},
    std::collections::{BTreeMap, HashMap},
};

/// Cold servers, and the shares that hosts are to use.
#[derive(Debug, Default)]
pub struct WarmupTable {
    controls: BTreeMap<ServerHash, LimitControl>,
}

impl WarmupTable {
    /// Creates the table of a new leader from the cold servers and shares that its host knows.
    pub fn new(known: Vec<SharedLimit>, now: BootTime) -> Self {
        let mut table = Self::default();
        for cold in known {
            let control = LimitControl::new(cold.limit, cold.share, now);
            table.controls.insert(cold.server, control);
        }
        table
    }

    /// Records the requests of one host. Servers that the leader does not know as cold are ignored.
    pub fn record_report(&mut self, report: &WarmupReport) {
        if let Some(control) = self.controls.get_mut(&report.server) {
            control.record_requests(report.requests);
        }
    }

    /// Computes the shares of the servers that are cold now, from the reports since the last call.
    pub fn update(&mut self, cold: Vec<SharedLimit>, now: BootTime) -> Vec<SharedLimit> {
        let cold: HashMap<ServerHash, SharedLimit> = cold
            .into_iter()
            .map(|known| (known.server, known))
            .collect();
        self.controls.retain(|server, _| cold.contains_key(server));
        let mut shares = Vec::with_capacity(cold.len());
        for (server, known) in cold {
            let control = self
                .controls
                .entry(server)
                .or_insert_with(|| LimitControl::new(known.limit, known.share, now));
            control.set_limit(known.limit);
            control.update(now);
            shares.push(SharedLimit {
                server,
                limit: known.limit,
                share: control.share(),
            });
        }
        shares
    }
}
