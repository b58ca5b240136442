//! The next content of the scope object: finished, new and urgent changes of owners.

use {
    super::{
        plan_view::PlanView,
        scope_machine::ScopeMachine,
        server_track::ServerContact,
        shard_change::{ShardChange, audit_lines},
    },
    crate::{
        audit::AuditAction,
        conf::PlacementGoal,
        ids::{FencingToken, ServerId},
        placement::{PlacementInput, ShardPlacement, assign_unowned, plan_moves, underfilled},
        scope::{MoveReason, ScopeState, ShardState},
        time::BootTime,
    },
    std::time::Duration,
};

/// Time that a new controller waits for all servers before it assigns shards.
const FIRST_CONTACT_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause between plans while nothing is under way.
const IDLE_PLAN_PAUSE: Duration = Duration::from_millis(1_000);

/// Pause before each round of rebalancing by load, by goal.
const AVAILABILITY_PAUSE: Duration = Duration::from_secs(10);
const CHURN_PAUSE: Duration = Duration::from_secs(60);

impl ScopeMachine {
    /// Next content with changes of owners, or `None` if nothing should change.
    pub(super) fn plan_ownership(
        &mut self,
        state: &ScopeState,
        now: BootTime,
    ) -> Option<ScopeState> {
        if !self.dirty && !self.is_plan_due(now) {
            return None;
        }
        let term = self.term.as_ref()?;
        if term.gained_at.is_none() || !self.has_authority(now) || !self.may_assign(now) {
            return None;
        }
        let view = self.plan_view(state, now);
        self.note_waiting(&view);
        let mut next = state.clone();
        next.sequence += 1;
        next.config = self.spec.as_ref()?.version;
        let mut changes = self.finish_moves(&view, &mut next);
        changes.extend(self.assign(&view, &mut next));
        let started = self.start_moves(&view, &mut next, now);
        if changes.is_empty() && started == 0 {
            return None;
        }
        self.record_changes(&mut next, &changes, now);
        Some(next)
    }

    /// Planning also depends on time: maps lapse and rebalancing has a pause.
    fn is_plan_due(&mut self, now: BootTime) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        if !term.plan_waits && now < term.next_plan {
            return false;
        }
        term.next_plan = now + IDLE_PLAN_PAUSE;
        true
    }

    fn note_waiting(&mut self, view: &PlanView) {
        let Some(term) = &mut self.term else {
            return;
        };
        let all_up = term
            .servers
            .values()
            .all(|track| track.contact == ServerContact::Up);
        term.plan_waits = view.in_flight > 0 || !all_up;
    }

    /// A new controller first hears from its servers, so that none is left out.
    fn may_assign(&self, now: BootTime) -> bool {
        let Some(term) = &self.term else {
            return false;
        };
        let unknown = term
            .servers
            .values()
            .any(|track| track.contact == ServerContact::Unknown);
        let waited = term
            .gained_at
            .is_some_and(|at| now > at + FIRST_CONTACT_LIMIT);
        !unknown || waited
    }

    fn finish_moves(&self, view: &PlanView, next: &mut ScopeState) -> Vec<ShardChange> {
        let token = new_token(next);
        let mut changes = Vec::new();
        for &index in &view.finished {
            let ShardPlacement::Fixed(target) = view.places[index] else {
                continue;
            };
            let ShardState::Releasing { from, reason, .. } = next.shards[index].clone() else {
                continue;
            };
            changes.push(ShardChange {
                shard: index,
                from: Some(from),
                to: view.names[target].clone(),
                token,
                reason,
            });
        }
        own(next, &changes);
        changes
    }

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
                to: view.names[target].clone(),
                token,
                reason,
            });
        }
        own(next, &changes);
        changes
    }

    fn start_moves(&mut self, view: &PlanView, next: &mut ScopeState, now: BootTime) -> usize {
        if next.is_full_of_records() {
            return 0;
        }
        let goal = self.goal();
        let max_moves = self.spec.as_ref().map_or(0, |spec| spec.service.max_moves);
        let limit = (max_moves as usize).saturating_sub(view.in_flight);
        let Some(term) = &mut self.term else {
            return 0;
        };
        let input = view.input(&term.load, goal);
        let joining = join_set(&mut term.joining, view, &input);
        let pause = match goal {
            PlacementGoal::Availability => AVAILABILITY_PAUSE,
            PlacementGoal::Churn => CHURN_PAUSE,
        };
        // The first measurements of a term lack the hosts that have not reported yet.
        let measured = term.gained_at.is_some_and(|at| now >= at + pause);
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
                to: view.names[planned.to].clone(),
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

    fn record_changes(&self, next: &mut ScopeState, changes: &[ShardChange], now: BootTime) {
        if changes.is_empty() {
            return;
        }
        let moves = audit_lines(changes);
        let wall = self.wall_millis(now);
        next.append_record(wall, AuditAction::Ownership { moves }, "placement");
    }

    /// Counts the shards whose owner a committed write changed.
    pub(super) fn note_moves(&mut self, state: &ScopeState) {
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

/// Servers that are being filled; a server leaves the set once it holds its quota.
fn join_set(
    joining: &mut std::collections::BTreeSet<ServerId>,
    view: &PlanView,
    input: &PlacementInput<'_>,
) -> Vec<usize> {
    let full = crate::placement::filled(input);
    for (index, name) in view.names.iter().enumerate() {
        if full.contains(&index) || !view.servers[index].eligible {
            joining.remove(name);
        }
    }
    for index in underfilled(input) {
        joining.insert(view.names[index].clone());
    }
    (0..view.names.len())
        .filter(|&index| joining.contains(&view.names[index]))
        .collect()
}

fn new_token(next: &ScopeState) -> FencingToken {
    FencingToken {
        epoch: next.epoch,
        sequence: next.sequence,
    }
}

fn own(next: &mut ScopeState, changes: &[ShardChange]) {
    for change in changes {
        next.shards[change.shard] = ShardState::Owned {
            server: change.to.clone(),
            token: change.token,
        };
    }
}
