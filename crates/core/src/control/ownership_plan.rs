//! The next content of the scope object: finished, new and urgent changes of owners.

use {
    super::{scope_machine::ScopeMachine, server_orders::shard_id, server_track::ServerContact},
    crate::{
        audit::AuditAction,
        conf::PlacementGoal,
        ids::{FencingToken, ServerId, ShardId},
        placement::{
            PlacementInput, PlacementServer, ShardPlace, assign_unowned, plan_moves, underfilled,
        },
        scope::{MoveReason, RECORD_LIMIT, ScopeState, ShardState},
        time::{BootTime, RENEW_INTERVAL},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time that a new controller waits for all servers before it assigns shards.
const FIRST_CONTACT_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause between rounds of rebalancing by load, by goal.
const AVAILABILITY_PAUSE: Duration = Duration::from_secs(10);
const CHURN_PAUSE: Duration = Duration::from_secs(60);

/// Servers and places of shards at one moment.
struct PlanView {
    names: Vec<ServerId>,
    servers: Vec<PlacementServer>,
    places: Vec<ShardPlace>,
    pins: BTreeMap<ShardId, usize>,
    /// Shards whose move can be finished now.
    finished: Vec<usize>,
    in_flight: usize,
}

/// One change of a shard, for the audit record.
struct ShardChange {
    shard: usize,
    from: Option<ServerId>,
    to: ServerId,
    token: FencingToken,
    reason: MoveReason,
}

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
        if now < term.next_plan {
            return false;
        }
        term.next_plan = now + RENEW_INTERVAL / 6;
        true
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

    fn plan_view(&self, state: &ScopeState, now: BootTime) -> PlanView {
        let names: Vec<ServerId> = self.server_ids().into_iter().collect();
        let indexes: BTreeMap<&ServerId, usize> = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name, index))
            .collect();
        let servers = names.iter().map(|name| self.plan_server(name)).collect();
        let mut places = Vec::with_capacity(state.shards.len());
        let mut finished = Vec::new();
        let mut in_flight = 0;
        for (index, shard) in state.shards.iter().enumerate() {
            let place = match shard {
                ShardState::Unowned => ShardPlace::Unowned,
                ShardState::Owned { server, .. } => self.owned_place(index, server, &indexes, now),
                ShardState::Releasing {
                    from, token, to, ..
                } => {
                    let target = indexes.get(to).copied();
                    if self.is_given_up(index, from, *token, now) {
                        finished.push(index);
                        self.finished_place(to, target)
                    } else {
                        in_flight += 1;
                        ShardPlace::Fixed(target.unwrap_or(indexes[from]))
                    }
                }
            };
            places.push(place);
        }
        let pins = self
            .pins()
            .into_iter()
            .filter_map(|(shard, server)| Some((shard, *indexes.get(&server)?)))
            .collect();
        PlanView {
            pins,
            servers,
            places,
            finished,
            in_flight,
            names,
        }
    }

    fn plan_server(&self, id: &ServerId) -> PlacementServer {
        let configured = self.spec.as_ref().and_then(|spec| {
            let servers = &spec.service.servers;
            servers.iter().find(|server| server.id == *id)
        });
        let draining = self.is_draining(id);
        let up = self
            .track(id)
            .is_some_and(|track| track.contact == ServerContact::Up);
        PlacementServer {
            weight: configured.map_or(1, |server| server.weight),
            eligible: up && !draining,
            draining,
        }
    }

    fn owned_place(
        &self,
        index: usize,
        server: &ServerId,
        indexes: &BTreeMap<&ServerId, usize>,
        now: BootTime,
    ) -> ShardPlace {
        let position = indexes[server];
        let contact = self.track(server).map(|track| track.contact);
        match contact {
            Some(ServerContact::Up) => ShardPlace::Owned(position),
            Some(ServerContact::Lost) if self.is_clear(index, now) => ShardPlace::Unowned,
            _ => ShardPlace::Fixed(position),
        }
    }

    /// A finished move goes to its target, or to any server if the target has gone.
    fn finished_place(&self, to: &ServerId, target: Option<usize>) -> ShardPlace {
        match target {
            Some(index) if self.plan_server(to).eligible => ShardPlace::Fixed(index),
            _ => ShardPlace::Unowned,
        }
    }

    /// Whether the old owner can no longer act on a shard that it releases.
    fn is_given_up(
        &self,
        index: usize,
        from: &ServerId,
        token: FencingToken,
        now: BootTime,
    ) -> bool {
        let Some(track) = self.track(from) else {
            return false;
        };
        let released = track.is_released(shard_id(index), token);
        let lost = track.contact == ServerContact::Lost;
        (released || lost) && self.is_clear(index, now)
    }

    /// Servers that check no tokens also need every live map to have dropped the old owner.
    fn is_clear(&self, index: usize, now: BootTime) -> bool {
        self.is_checked() || self.is_unnamed(shard_id(index), now)
    }

    fn finish_moves(&self, view: &PlanView, next: &mut ScopeState) -> Vec<ShardChange> {
        let token = new_token(next);
        let mut changes = Vec::new();
        for &index in &view.finished {
            let ShardPlace::Fixed(target) = view.places[index] else {
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
        if next.records.len() >= RECORD_LIMIT {
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
        let balance = view.in_flight == 0 && now >= term.next_balance;
        let planned = plan_moves(&input, &joining, balance, limit);
        if planned
            .iter()
            .any(|planned| planned.reason == MoveReason::Balance)
        {
            let pause = match goal {
                PlacementGoal::Availability => AVAILABILITY_PAUSE,
                PlacementGoal::Churn => CHURN_PAUSE,
            };
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

impl PlanView {
    fn input<'a>(
        &'a self,
        load: &'a crate::placement::LoadTable,
        goal: PlacementGoal,
    ) -> PlacementInput<'a> {
        PlacementInput {
            servers: &self.servers,
            shards: &self.places,
            pins: &self.pins,
            load,
            goal,
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

/// One line for all shards that move between the same servers for the same reason.
fn audit_lines(changes: &[ShardChange]) -> Vec<String> {
    let mut groups: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for change in changes {
        let from = change.from.as_ref().map_or("-", ServerId::as_str);
        let reason = format!("{:?}", change.reason).to_lowercase();
        let rest = format!("{from} {} {} {reason}", change.to, change.token);
        groups.entry(rest).or_default().push(change.shard);
    }
    groups
        .into_iter()
        .map(|(rest, shards)| format!("{} {rest}", shard_ranges(&shards)))
        .collect()
}

/// Sorted shard numbers as ranges, such as `0-3,7`.
fn shard_ranges(shards: &[usize]) -> String {
    let mut sorted = shards.to_vec();
    sorted.sort_unstable();
    let mut ranges: Vec<(usize, usize)> = Vec::new();
    for shard in sorted {
        match ranges.last_mut() {
            Some((_, end)) if *end + 1 == shard => *end = shard,
            _ => ranges.push((shard, shard)),
        }
    }
    let texts: Vec<String> = ranges
        .into_iter()
        .map(|(start, end)| match start == end {
            true => start.to_string(),
            false => format!("{start}-{end}"),
        })
        .collect();
    texts.join(",")
}
