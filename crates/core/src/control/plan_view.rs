//! Snapshot of the servers and shards as input for planning.

use {
    super::{scope_machine::ScopeMachine, server_view::shard_id, tracked_server::Reachability},
    crate::{
        conf::PlacementGoal,
        ids::{FencingToken, ServerId, ShardId},
        placement::{LoadTable, PlacementInput, PlacementServer, ShardPlacement},
        scope::{ScopeState, ShardState},
        time::BootTime,
    },
    std::collections::BTreeMap,
};

/// Snapshot of the servers and shards; servers are referred to by their index.
pub(super) struct PlanView {
    pub(super) ids: Vec<ServerId>,
    /// In the order of `ids`.
    pub(super) servers: Vec<PlacementServer>,
    /// Indexed by shard.
    pub(super) placements: Vec<ShardPlacement>,
    pub(super) pins: BTreeMap<ShardId, usize>,
    /// Shards that their old owner can no longer act on, so that the move can be finished.
    pub(super) finished: Vec<usize>,
    /// Number of other shards that are being released.
    pub(super) in_flight: usize,
}

impl ScopeMachine {
    pub(super) fn plan_view(&self, state: &ScopeState, now: BootTime) -> PlanView {
        let ids: Vec<ServerId> = self.server_ids().into_iter().collect();
        let indexes: BTreeMap<&ServerId, usize> = ids
            .iter()
            .enumerate()
            .map(|(index, server_id)| (server_id, index))
            .collect();
        let servers = ids
            .iter()
            .map(|server_id| self.plan_server(server_id))
            .collect();
        let mut placements = Vec::with_capacity(state.shards.len());
        let mut finished = Vec::new();
        let mut in_flight = 0;
        for (index, shard) in state.shards.iter().enumerate() {
            let shard_placement = match shard {
                ShardState::Unowned => ShardPlacement::Unowned,
                ShardState::Owned { server, .. } => {
                    self.owned_placement(index, server, &indexes, now)
                }
                ShardState::Releasing {
                    from, token, to, ..
                } => {
                    let target = indexes.get(to).copied();
                    if self.has_old_owner_stopped(index, from, *token, now) {
                        finished.push(index);
                        self.finished_placement(to, target)
                    } else {
                        in_flight += 1;
                        ShardPlacement::Fixed(target.unwrap_or(indexes[from]))
                    }
                }
            };
            placements.push(shard_placement);
        }
        let pins = self
            .pins()
            .into_iter()
            .filter_map(|(shard, server)| Some((shard, *indexes.get(&server)?)))
            .collect();
        PlanView {
            pins,
            servers,
            placements,
            finished,
            in_flight,
            ids,
        }
    }

    fn plan_server(&self, id: &ServerId) -> PlacementServer {
        let configured = self.spec.as_ref().and_then(|spec| {
            let servers = &spec.service.servers;
            servers.iter().find(|server| server.id == *id)
        });
        let draining = self.is_draining(id);
        let up = self
            .tracked(id)
            .is_some_and(|tracked| tracked.reachability == Reachability::Up);
        PlacementServer {
            weight: configured.map_or(1, |server| server.weight),
            eligible: up && !draining,
            draining,
        }
    }

    fn owned_placement(
        &self,
        index: usize,
        server: &ServerId,
        indexes: &BTreeMap<&ServerId, usize>,
        now: BootTime,
    ) -> ShardPlacement {
        let position = indexes[server];
        let reachability = self.tracked(server).map(|tracked| tracked.reachability);
        match reachability {
            Some(Reachability::Up) => ShardPlacement::Owned(position),
            Some(Reachability::Lost) if self.old_requests_harmless(index, now) => {
                ShardPlacement::Unowned
            }
            _ => ShardPlacement::Fixed(position),
        }
    }

    /// A finished move goes to its target, or to any server if the target cannot take shards.
    fn finished_placement(&self, to: &ServerId, target: Option<usize>) -> ShardPlacement {
        match target {
            Some(index) if self.plan_server(to).eligible => ShardPlacement::Fixed(index),
            _ => ShardPlacement::Unowned,
        }
    }

    /// Whether the old owner can no longer act on a shard that it releases.
    fn has_old_owner_stopped(
        &self,
        index: usize,
        from: &ServerId,
        token: FencingToken,
        now: BootTime,
    ) -> bool {
        let Some(tracked) = self.tracked(from) else {
            return false;
        };
        let released = tracked.is_released(shard_id(index), token);
        let lost = tracked.reachability == Reachability::Lost;
        (released || lost) && self.old_requests_harmless(index, now)
    }

    /// Whether requests sent under old maps can do no harm at the old owner.
    ///
    /// A server that checks tokens rejects them; otherwise none may be left.
    fn old_requests_harmless(&self, index: usize, now: BootTime) -> bool {
        self.is_checked() || self.is_quiesced(shard_id(index), now)
    }
}

impl PlanView {
    pub(super) fn input<'a>(
        &'a self,
        load: &'a LoadTable,
        goal: PlacementGoal,
    ) -> PlacementInput<'a> {
        PlacementInput {
            servers: &self.servers,
            shards: &self.placements,
            pins: &self.pins,
            load,
            goal,
        }
    }
}
