//! Tracks one running request in the counters, the load history and the ledger.

use {
    super::{backend_state::BackendState, run_ledger::RequestRecord},
    camphorcove_net::clock::BootClock,
    std::sync::Arc,
};

/// Occupies a slot while a request runs. If it is dropped without
/// [`RunGuard::complete`], the request counts as cancelled.
#[derive(Debug)]
pub(super) struct RunGuard {
    state: Arc<BackendState>,
    /// Index in the ledger; `None` if no ledger is kept.
    index: Option<usize>,
    shard: Option<(String, u32)>,
    completed: bool,
}

impl RunGuard {
    /// Takes a slot and records the request; `None` if all slots are taken.
    pub fn begin(state: &Arc<BackendState>, entry: RequestRecord) -> Option<Self> {
        let settings = state.settings();
        let mut content = state.lock();
        if content.stats.in_flight >= settings.slots {
            return None;
        }
        content.stats.in_flight += 1;
        content.stats.peak_in_flight = content.stats.peak_in_flight.max(content.stats.in_flight);
        let in_flight = content.stats.in_flight;
        content.history.record(entry.started, in_flight);
        let shard = entry.service.clone().zip(entry.shard);
        if let Some(shard) = &shard {
            *content.running.entry(shard.clone()).or_default() += 1;
        }
        let index = (!settings.no_ledger).then(|| content.ledger.begin(entry));
        Some(Self {
            state: state.clone(),
            index,
            shard,
            completed: false,
        })
    }

    /// Ends the request as completed.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = BootClock.now();
        let mut content = self.state.lock();
        content.stats.in_flight -= 1;
        match self.completed {
            true => content.stats.completed += 1,
            false => content.stats.cancelled += 1,
        }
        let in_flight = content.stats.in_flight;
        content.history.record(now, in_flight);
        if let Some(index) = self.index {
            content.ledger.end(index, now, !self.completed);
        }
        if let Some(shard) = self.shard.take() {
            let left = content.running.get(&shard).copied().unwrap_or_default();
            match left {
                0 | 1 => content.running.remove(&shard),
                left => content.running.insert(shard, left - 1),
            };
        }
        drop(content);
        self.state.run_ended.send_replace(());
    }
}
