//! A leader of the model: the planner, the watch of its predecessors, and the reports that it gets.

use {
    camphorcove_core::{
        ids::HostId,
        ownership::{
            FRESH_REPORT_LIMIT, LeaseBounds, OwnerState, OwnershipPlanner, PlanInput,
            PredecessorWatch,
        },
        time::BootTime,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time without a report after which a leader forgets a host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age of a term from which the leader may change the electors.
const HOST_COUNT_DELAY: Duration = Duration::from_millis(2_000);

/// A write of the assignment that is not known to have ended.
pub struct PendingWrite {
    pub state: OwnerState,
    pub revision: u64,
    pub due_at: BootTime,
    pub sent_at: BootTime,
}

pub struct ModelLeader {
    pub planner: OwnershipPlanner,
    pub watch: PredecessorWatch,
    pub bounds: LeaseBounds,
    pub revision: u64,
    pub started_at: BootTime,
    pub confirmed_at: BootTime,
    pub reported_at: BTreeMap<HostId, BootTime>,
    pub write: Option<PendingWrite>,
}

impl ModelLeader {
    pub fn take_report(&mut self, host: HostId, address: SocketAddr, now: BootTime) {
        if let Some(end) = self.watch.record_report(&host, address, now) {
            self.end_predecessors(end, now);
        }
        self.reported_at.insert(host, now);
    }

    pub fn check_reports(&mut self, interval: Duration, now: BootTime) {
        self.reported_at
            .retain(|_, at| now.since(*at) < REPORT_TIMEOUT);
        let limit = FRESH_REPORT_LIMIT.min(interval * 2);
        let fresh = self
            .reported_at
            .iter()
            .filter(|(_, at)| now.since(**at) < limit);
        let reporting = fresh.map(|(host, _)| host.clone()).collect();
        if let Some(end) = self.watch.check(&reporting, false, now) {
            self.end_predecessors(end, now);
        }
        self.planner
            .handle_input(PlanInput::Reports(reporting), now);
    }

    fn end_predecessors(&mut self, end: BootTime, now: BootTime) {
        self.bounds.limit_predecessor(end);
        self.planner
            .handle_input(PlanInput::PredecessorEnds(end), now);
    }

    pub fn confirm(&mut self, now: BootTime) {
        self.planner.handle_input(PlanInput::Confirmed(now), now);
        if self.watch.has_ended() && now.since(self.started_at) >= HOST_COUNT_DELAY {
            let electors = self.reported_at.keys().cloned().collect();
            self.planner
                .handle_input(PlanInput::Electors(electors), now);
        }
    }
}
