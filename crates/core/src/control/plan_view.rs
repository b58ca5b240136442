//! What planning sees: servers and the places of shards at one moment.

use {
    super::{scope_machine::ScopeMachine, server_track::ServerContact, server_view::shard_id},
    crate::{
        conf::PlacementGoal,
        ids::{FencingToken, ServerId, ShardId},
        placement::{LoadTable, PlacementInput, PlacementServer, ShardPlacement},
        scope::{ScopeState, ShardState},
        time::BootTime,
    },
    std::collections::BTreeMap,
};

/// Servers and places of shards at one moment.
pub(super) struct PlanView {
    pub(super) names: Vec<ServerId>,
    pub(super) servers: Vec<PlacementServer>,
    pub(super) places: Vec<ShardPlacement>,
    pub(super) pins: BTreeMap<ShardId, usize>,
    /// Shards whose move can be finished now.
    pub(super) finished: Vec<usize>,
    pub(super) in_flight: usize,
}

impl ScopeMachine {
    pub(super) fn plan_view(&self, state: &ScopeState, now: BootTime) -> PlanView {
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
                ShardState::Unowned => ShardPlacement::Unowned,
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
                        ShardPlacement::Fixed(target.unwrap_or(indexes[from]))
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
    ) -> ShardPlacement {
        let position = indexes[server];
        let contact = self.track(server).map(|track| track.contact);
        match contact {
            Some(ServerContact::Up) => ShardPlacement::Owned(position),
            Some(ServerContact::Lost) if self.is_clear(index, now) => ShardPlacement::Unowned,
            _ => ShardPlacement::Fixed(position),
        }
    }

    /// A finished move goes to its target, or to any server if the target has gone.
    fn finished_place(&self, to: &ServerId, target: Option<usize>) -> ShardPlacement {
        match target {
            Some(index) if self.plan_server(to).eligible => ShardPlacement::Fixed(index),
            _ => ShardPlacement::Unowned,
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
}

impl PlanView {
    pub(super) fn input<'a>(
        &'a self,
        load: &'a LoadTable,
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
