//! What this host has moved as the leader.

use {super::HostState, camphorcove_core::ownership::ChosenMoves, std::sync::atomic::Ordering};

impl HostState {
    /// Counts and logs the moves of one round.
    pub fn count_moves(&self, moves: &ChosenMoves) {
        let ranges = moves.ranges as u64;
        let counters = &self.counters;
        counters.moved_ranges.fetch_add(ranges, Ordering::Relaxed);
        counters
            .moved_keys
            .fetch_add(moves.keys.into(), Ordering::Relaxed);
        log::info!(
            service = moves.service.as_str(),
            ranges,
            keys = moves.keys;
            "moving ranges to other owners"
        );
    }
}
