//! Plans changes of owners: finishes moves, assigns unowned shards and starts new moves.

use {
    super::{
        plan_view::PlanView,
        scope_machine::ScopeMachine,
        shard_change::{ShardChange, audit_lines},
        tracked_server::Reachability,
    },
    crate::{
        audit::AuditAction,
        conf::PlacementGoal,
        ids::{FencingToken, ServerId},
        placement::{
            PlacementInput, ShardPlacement, assign_unowned, plan_moves, servers_below_quota,
        },
        scope::{MoveReason, ScopeState, ShardState},
        time::BootTime,
    },
    std::time::Duration,
};

/// A new controller waits up to this long for the first answers of all servers before it
/// assigns shards.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval of plans while no move is in progress and nothing changes.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest interval of rebalancing by load, if the placement goal is availability.
const AVAILABILITY_REBALANCE_INTERVAL: Duration = Duration::from_secs(10);

/// The same if the goal is few moves.
const CHURN_REBALANCE_INTERVAL: Duration = Duration::from_secs(60);

impl ScopeMachine {
    /// Returns the next content of the scope object, or `None` if no owner should change.
    pub(super) fn plan_ownership(
        &mut self,
        state: &ScopeState,
        now: BootTime,
    ) -> Option<ScopeState> {
        if !self.dirty && !self.is_plan_due(now) {
            return None;
        }
        let term = self.term.as_ref()?;
        if term.authority_gained_at.is_none() || !self.has_authority(now) || !self.may_assign(now) {
            return None;
        }
        let view = self.plan_view(state, now);
        self.update_plan_pending(&view);
        let mut next = state.clone();
        next.sequence += 1;
        next.config = self.spec.as_ref()?.version;
        let mut changes = self.finish_moves(&view, &mut next);
        changes.extend(self.assign(&view, &mut next));
        let started = self.start_moves(&view, &mut next, now);
        if changes.is_empty() && started == 0 {
            return None;
        }
        self.append_audit_record(&mut next, &changes, now);
        Some(next)
    }

    /// Planning also depends on time, because maps expire and rebalancing has an interval.
    fn is_plan_due(&mut self, now: BootTime) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        if !term.plan_pending && now < term.next_plan {
            return false;
        }
        term.next_plan = now + IDLE_PLAN_INTERVAL;
        true
    }

    fn update_plan_pending(&mut self, view: &PlanView) {
        let Some(term) = &mut self.term else {
            return;
        };
        let all_up = term
            .servers
            .values()
            .all(|tracked| tracked.reachability == Reachability::Up);
        term.plan_pending = view.in_flight > 0 || !all_up;
    }

    /// Whether all servers have answered or had time to, so that none is left out of the plan.
    fn may_assign(&self, now: BootTime) -> bool {
        let Some(term) = &self.term else {
            return false;
        };
        let unknown = term
            .servers
            .values()
            .any(|tracked| tracked.reachability == Reachability::Unknown);
        let waited = term
            .authority_gained_at
            .is_some_and(|at| now > at + FIRST_ANSWER_TIMEOUT);
        !unknown || waited
    }

    /// Makes the target the owner of each shard whose move can be finished.
    fn finish_moves(&self, view: &PlanView, next: &mut ScopeState) -> Vec<ShardChange> {
        let token = new_token(next);
        let mut changes = Vec::new();
        for &index in &view.finished {
            let ShardPlacement::Fixed(target) = view.placements[index] else {
                continue;
            };
            let ShardState::Releasing { from, reason, .. } = next.shards[index].clone() else {
                continue;
            };
            changes.push(ShardChange {
                shard: index,
                from: Some(from),
                to: view.ids[target].clone(),
                token,
                reason,
            });
        }
        apply_changes(next, &changes);
        changes
    }

    /// Assigns an owner to each shard without one.
    fn assign(&self, view: &PlanView, next: &mut ScopeState) -> Vec<ShardChange> {
        let Some(term) = &self.term else {
            return Vec::new();
        };
        let token = new_token(next);
        let mut changes = Vec::new();
        for (shard, target) in assign_unowned(&view.input(&term.load, self.goal())) {
            let index = shard.0 as usize;
            let (from, reason) = match next.shards[index].clone() {
                ShardState::Unowned => (None, MoveReason::Initial),
                ShardState::Owned { server, .. } => (Some(server), MoveReason::Lost),
                ShardState::Releasing { from, reason, .. } => (Some(from), reason),
            };
            changes.push(ShardChange {
                shard: index,
                from,
                to: view.ids[target].clone(),
                token,
                reason,
            });
        }
        apply_changes(next, &changes);
        changes
    }

    /// Starts planned moves, up to the limit of moves in progress; returns how many.
    fn start_moves(&mut self, view: &PlanView, next: &mut ScopeState, now: BootTime) -> usize {
        if next.is_record_limit_reached() {
            return 0;
        }
        let goal = self.goal();
        let max_moves = self.spec.as_ref().map_or(0, |spec| spec.service.max_moves);
        let limit = (max_moves as usize).saturating_sub(view.in_flight);
        let Some(term) = &mut self.term else {
            return 0;
        };
        let input = view.input(&term.load, goal);
        let joining = update_joining(&mut term.joining, view, &input);
        let pause = match goal {
            PlacementGoal::Availability => AVAILABILITY_REBALANCE_INTERVAL,
            PlacementGoal::Churn => CHURN_REBALANCE_INTERVAL,
        };
        // The first load measurements of a term lack hosts that have not reported yet.
        let measured = term.authority_gained_at.is_some_and(|at| now >= at + pause);
        let balance = view.in_flight == 0 && measured && now >= term.next_balance;
        let planned = plan_moves(&input, &joining, balance, limit);
        if planned
            .iter()
            .any(|planned| planned.reason == MoveReason::Balance)
        {
            term.next_balance = now + pause;
        }
        for planned in &planned {
            let slot = &mut next.shards[planned.shard.0 as usize];
            let ShardState::Owned { server, token } = slot.clone() else {
                continue;
            };
            *slot = ShardState::Releasing {
                from: server,
                token,
                to: view.ids[planned.to].clone(),
                reason: planned.reason,
            };
        }
        planned.len()
    }

    fn goal(&self) -> PlacementGoal {
        self.spec
            .as_ref()
            .map_or(PlacementGoal::Availability, |spec| spec.service.placement)
    }

    fn append_audit_record(&self, next: &mut ScopeState, changes: &[ShardChange], now: BootTime) {
        if changes.is_empty() {
            return;
        }
        let moves = audit_lines(changes);
        let now_millis = self.wall_millis(now);
        next.append_record(now_millis, AuditAction::Ownership { moves }, "placement");
    }

    /// Counts the shards whose owner changes from the current object to the written `state`.
    pub(super) fn count_moves(&mut self, state: &ScopeState) {
        let Some(object) = &self.object else {
            return;
        };
        for (old, new) in object.state.shards.iter().zip(&state.shards) {
            let ShardState::Owned { server: to, .. } = new else {
                continue;
            };
            let reason = match old {
                ShardState::Unowned => MoveReason::Initial,
                ShardState::Owned { server, .. } if server == to => continue,
                ShardState::Owned { .. } => MoveReason::Lost,
                ShardState::Releasing { from, .. } if from == to => continue,
                ShardState::Releasing { reason, .. } => *reason,
            };
            *self.counters.moves.entry(reason).or_default() += 1;
        }
    }
}

/// Updates and returns the servers that are being filled with shards.
///
/// A server leaves the set once it holds its quota.
fn update_joining(
    joining: &mut std::collections::BTreeSet<ServerId>,
    view: &PlanView,
    input: &PlacementInput<'_>,
) -> Vec<usize> {
    let full = crate::placement::servers_at_quota(input);
    for (index, server_id) in view.ids.iter().enumerate() {
        if full.contains(&index) || !view.servers[index].eligible {
            joining.remove(server_id);
        }
    }
    for index in servers_below_quota(input) {
        joining.insert(view.ids[index].clone());
    }
    (0..view.ids.len())
        .filter(|&index| joining.contains(&view.ids[index]))
        .collect()
}

fn new_token(next: &ScopeState) -> FencingToken {
    FencingToken {
        epoch: next.epoch,
        sequence: next.sequence,
    }
}

fn apply_changes(next: &mut ScopeState, changes: &[ShardChange]) {
    for change in changes {
        next.shards[change.shard] = ShardState::Owned {
            server: change.to.clone(),
            token: change.token,
        };
    }
}
