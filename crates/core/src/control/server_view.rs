//! The servers of a scope: which ones the controller tracks, their phases and their shards.

use {
    super::{
        ShardGrant,
        controller_term::ControllerTerm,
        scope_machine::ScopeMachine,
        tracked_server::{Reachability, TrackedServer},
    },
    crate::{
        conf::FencingMode,
        ids::{FencingToken, ServerId, ShardId},
        map::ServerPhase,
        scope::{ScopeState, ShardState},
        time::BootTime,
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl ScopeMachine {
    /// Servers of the configuration, and others that still own shards.
    pub(super) fn server_ids(&self) -> BTreeSet<ServerId> {
        let mut ids: BTreeSet<ServerId> = BTreeSet::new();
        for server in self.spec.iter().flat_map(|spec| &spec.service.servers) {
            ids.insert(server.id.clone());
        }
        let shards = self.state().map(|state| state.shards.as_slice());
        for shard in shards.unwrap_or_default() {
            match shard {
                ShardState::Unowned => {}
                ShardState::Owned { server, .. } => {
                    ids.insert(server.clone());
                }
                ShardState::Releasing { from, .. } => {
                    ids.insert(from.clone());
                }
            }
        }
        ids
    }

    /// Shards that are being released, with the token of the old owner.
    fn releasing(&self) -> BTreeSet<(ShardId, FencingToken)> {
        let shards = self.state().map(|state| state.shards.as_slice());
        let mut releasing = BTreeSet::new();
        for (index, shard) in shards.unwrap_or_default().iter().enumerate() {
            if let ShardState::Releasing { token, .. } = shard {
                releasing.insert((shard_id(index), *token));
            }
        }
        releasing
    }

    /// Updates the tracked servers, expires their orders and marks servers as lost.
    pub(super) fn update_servers(&mut self, now: BootTime) {
        if self.dirty {
            let ids = self.server_ids();
            let releasing = self.releasing();
            let Some(term) = &mut self.term else {
                return;
            };
            term.sync_tracked_servers(&ids);
            for tracked in term.servers.values_mut() {
                tracked.releases.retain(|key, _| releasing.contains(key));
            }
        }
        let Some(term) = &mut self.term else {
            return;
        };
        let gained = term.authority_gained_at.is_some();
        for tracked in term.servers.values_mut() {
            if tracked.expire_orders(now) {
                self.dirty = true;
            }
            let expired = gained && now > tracked.expiry;
            if expired
                && matches!(
                    tracked.reachability,
                    Reachability::Unknown | Reachability::Suspect
                )
            {
                tracked.reachability = Reachability::Lost;
                tracked.clear_set();
                self.dirty = true;
            }
        }
    }

    /// Whether the service's servers check fencing tokens.
    pub(super) fn is_checked(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| spec.service.fencing == FencingMode::Checked)
    }

    pub(super) fn is_unrouted(&self, shard: ShardId, now: BootTime) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.maps.is_unrouted(shard, now))
    }

    pub(super) fn is_quiesced(&self, shard: ShardId, now: BootTime) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.maps.is_quiesced(shard, now))
    }

    /// Shards that each server should hold a grant for.
    ///
    /// While a write is pending, a shard is granted only if its owner has it in
    /// both the old and the new content of the scope object.
    pub(super) fn needed_sets(&self) -> BTreeMap<ServerId, Vec<ShardGrant>> {
        let mut sets: BTreeMap<ServerId, Vec<ShardGrant>> = BTreeMap::new();
        let Some(object) = self.own_term_object() else {
            return sets;
        };
        let pending = self.writer.pending_state();
        for (index, shard) in object.state.shards.iter().enumerate() {
            let Some((server, token)) = holder(shard) else {
                continue;
            };
            let kept = pending.is_none_or(|state| keeps_shard(state, index, server, token));
            let id = shard_id(index);
            let released = self
                .tracked(server)
                .is_some_and(|tracked| tracked.is_released(id, token));
            if kept && !released {
                let grant = ShardGrant { shard: id, token };
                sets.entry(server.clone()).or_default().push(grant);
            }
        }
        sets
    }

    pub(super) fn tracked(&self, id: &ServerId) -> Option<&TrackedServer> {
        self.term.as_ref()?.servers.get(id)
    }

    pub(super) fn tracked_mut(&mut self, id: &ServerId) -> Option<&mut TrackedServer> {
        self.term.as_mut()?.servers.get_mut(id)
    }

    /// Phase of a server, as published in the map.
    pub(super) fn phase(&self, id: &ServerId) -> ServerPhase {
        let Some(tracked) = self.tracked(id) else {
            return ServerPhase::Lost;
        };
        match tracked.reachability {
            Reachability::Lost => ServerPhase::Lost,
            Reachability::Unknown | Reachability::Suspect => ServerPhase::Suspect,
            Reachability::Up if self.is_draining(id) => ServerPhase::Draining,
            Reachability::Up => ServerPhase::Ready,
        }
    }

    /// Whether a server's shards should move to others although it answers.
    pub(super) fn is_draining(&self, id: &ServerId) -> bool {
        let configured = self.spec.as_ref().is_some_and(|spec| {
            let listed = spec.service.servers.iter().any(|server| server.id == *id);
            listed && !spec.drained.contains(id)
        });
        let reported = self
            .tracked(id)
            .is_some_and(|tracked| tracked.report.draining);
        !configured || reported || self.leaving_servers.contains(id)
    }
}

impl ControllerTerm {
    fn sync_tracked_servers(&mut self, ids: &BTreeSet<ServerId>) {
        self.servers.retain(|id, _| ids.contains(id));
        for id in ids {
            if !self.servers.contains_key(id) {
                let mut tracked = TrackedServer::new(self.inherited_expiry);
                tracked.delayed_grants_until = self.inherited_orders_expiry();
                self.servers.insert(id.clone(), tracked);
            }
        }
    }
}

/// The server that may hold a grant for a shard, and the token of the grant.
fn holder(shard: &ShardState) -> Option<(&ServerId, FencingToken)> {
    match shard {
        ShardState::Unowned => None,
        ShardState::Owned { server, token } => Some((server, *token)),
        ShardState::Releasing { from, token, .. } => Some((from, *token)),
    }
}

/// Whether `state` leaves a shard with the same server under the same token.
pub(super) fn keeps_shard(
    state: &ScopeState,
    index: usize,
    server: &ServerId,
    token: FencingToken,
) -> bool {
    state
        .shards
        .get(index)
        .and_then(holder)
        .is_some_and(|kept| kept == (server, token))
}

pub(super) fn shard_id(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}
