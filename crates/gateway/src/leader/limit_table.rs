//! What the leader learns from reports about servers that limit the rate of requests.

use {
    crate::state::{LimitReport, ServerHash, SharedLimit},
    camphorcove_core::{
        dispatch::{AdmittedShare, LimitControl, NamedLimit, RequestRate},
        time::BootTime,
    },
    std::collections::BTreeMap,
};

/// Limits of all servers, and the shares that hosts are to use.
#[derive(Debug, Default)]
pub struct LimitTable {
    controls: BTreeMap<ServerHash, LimitControl>,
}

impl LimitTable {
    /// Creates the table of a new leader from the limits that its host knows.
    pub fn new(known: Vec<SharedLimit>, now: BootTime) -> Self {
        let control = |known: SharedLimit| {
            let control = LimitControl::new(known.limit, known.share, now);
            (known.server, control)
        };
        Self {
            controls: known.into_iter().map(control).collect(),
        }
    }

    /// Records what one host reports about a server.
    pub fn record_report(&mut self, report: &LimitReport, now: BootTime) {
        match report.named {
            NamedLimit::Lifted => {
                self.controls.remove(&report.server);
                return;
            }
            NamedLimit::Named(limit) => {
                let control = self
                    .controls
                    .entry(report.server)
                    .or_insert_with(|| LimitControl::new(limit, AdmittedShare::ALL, now));
                control.set_limit(limit);
            }
            NamedLimit::Held(limit) => {
                self.controls
                    .entry(report.server)
                    .or_insert_with(|| LimitControl::new(limit, AdmittedShare::ALL, now));
            }
            NamedLimit::Unknown => {}
        }
        if let Some(control) = self.controls.get_mut(&report.server) {
            control.record_requests(report.requests);
        }
    }

    /// Computes the shares from the reports since the last call.
    pub fn update(&mut self, now: BootTime) -> Vec<SharedLimit> {
        let mut limits = Vec::with_capacity(self.controls.len());
        for (server, control) in &mut self.controls {
            control.update(now);
            limits.push(SharedLimit {
                server: *server,
                limit: control.limit(),
                share: control.share(),
            });
        }
        limits
    }

    /// Limit of a server, if it has one.
    pub fn limit(&self, server: ServerHash) -> Option<RequestRate> {
        self.controls.get(&server).map(LimitControl::limit)
    }
}
