//! The servers of a scope as its controller sees them.

use {
    super::{
        ShardGrant,
        controller_term::ControllerTerm,
        scope_machine::ScopeMachine,
        server_track::{ServerContact, ServerTrack},
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
    /// Servers of the configuration and servers that still own shards.
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

    /// Keeps a track for each server and notices servers that are lost.
    pub(super) fn drive_servers(&mut self, now: BootTime) {
        if self.dirty {
            let ids = self.server_ids();
            let releasing = self.releasing();
            let Some(term) = &mut self.term else {
                return;
            };
            term.keep_tracks(&ids);
            for track in term.servers.values_mut() {
                track.releases.retain(|key, _| releasing.contains(key));
            }
        }
        let Some(term) = &mut self.term else {
            return;
        };
        let gained = term.gained_at.is_some();
        for track in term.servers.values_mut() {
            if track.expire_orders(now) {
                self.dirty = true;
            }
            let lapsed = gained && now > track.expiry;
            if lapsed
                && matches!(
                    track.contact,
                    ServerContact::Unknown | ServerContact::Suspect
                )
            {
                track.contact = ServerContact::Lost;
                track.forget_set();
                self.dirty = true;
            }
        }
    }

    pub(super) fn is_checked(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| spec.service.fencing == FencingMode::Checked)
    }

    pub(super) fn is_unheld(&self, shard: ShardId, now: BootTime) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.maps.is_unheld(shard, now))
    }

    pub(super) fn is_unnamed(&self, shard: ShardId, now: BootTime) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.maps.is_unnamed(shard, now))
    }

    /// Set of shards that each server should hold a grant for.
    ///
    /// While a write is pending, a shard counts only if its owner keeps it in
    /// both the old and the new content.
    pub(super) fn needed_sets(&self) -> BTreeMap<ServerId, Vec<ShardGrant>> {
        let mut sets: BTreeMap<ServerId, Vec<ShardGrant>> = BTreeMap::new();
        let Some(object) = self.held() else {
            return sets;
        };
        let pending = self.writer.pending_state();
        for (index, shard) in object.state.shards.iter().enumerate() {
            let Some((server, token)) = holder(shard) else {
                continue;
            };
            let kept = pending.is_none_or(|state| keeps(state, index, server, token));
            let id = shard_id(index);
            let released = self
                .track(server)
                .is_some_and(|track| track.is_released(id, token));
            if kept && !released {
                let grant = ShardGrant { shard: id, token };
                sets.entry(server.clone()).or_default().push(grant);
            }
        }
        sets
    }

    pub(super) fn track(&self, id: &ServerId) -> Option<&ServerTrack> {
        self.term.as_ref()?.servers.get(id)
    }

    pub(super) fn track_mut(&mut self, id: &ServerId) -> Option<&mut ServerTrack> {
        self.term.as_mut()?.servers.get_mut(id)
    }

    /// Phase of a server, as routing sees it.
    pub(super) fn phase(&self, id: &ServerId) -> ServerPhase {
        let Some(track) = self.track(id) else {
            return ServerPhase::Lost;
        };
        match track.contact {
            ServerContact::Lost => ServerPhase::Lost,
            ServerContact::Unknown | ServerContact::Suspect => ServerPhase::Suspect,
            ServerContact::Up if self.is_draining(id) => ServerPhase::Draining,
            ServerContact::Up => ServerPhase::Ready,
        }
    }

    /// Whether a server's shards should move away although it answers.
    pub(super) fn is_draining(&self, id: &ServerId) -> bool {
        let configured = self.spec.as_ref().is_some_and(|spec| {
            let listed = spec.service.servers.iter().any(|server| server.id == *id);
            listed && !spec.drained.contains(id)
        });
        let reported = self.track(id).is_some_and(|track| track.report.draining);
        !configured || reported || self.leaving_servers.contains(id)
    }
}

impl ControllerTerm {
    fn keep_tracks(&mut self, ids: &BTreeSet<ServerId>) {
        self.servers.retain(|id, _| ids.contains(id));
        for id in ids {
            if !self.servers.contains_key(id) {
                let mut track = ServerTrack::new(self.old_end);
                track.grants_settle_at = self.last_old_order();
                self.servers.insert(id.clone(), track);
            }
        }
    }
}

/// Server that may hold a grant for a shard.
fn holder(shard: &ShardState) -> Option<(&ServerId, FencingToken)> {
    match shard {
        ShardState::Unowned => None,
        ShardState::Owned { server, token } => Some((server, *token)),
        ShardState::Releasing { from, token, .. } => Some((from, *token)),
    }
}

/// Whether a server stays the holder of a shard under the same token.
pub(super) fn keeps(
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
