//! Read access to the state of a scope's machine.

use {
    super::{ScopeCounters, ScopeRole, scope_machine::ScopeMachine},
    crate::{
        ids::{Epoch, HostId, ServerId, ShardId},
        map::ServerPhase,
        scope::{ScopeState, ShardState},
        time::{BootTime, OUTAGE_LIMIT, PROMISE_TTL},
    },
};

impl ScopeMachine {
    /// Wall-clock time for audit records; 0 before the first `WallClock` event.
    pub(super) fn wall_millis(&self, now: BootTime) -> u64 {
        self.wall_clock.map_or(0, |(millis, at)| {
            millis + u64::try_from(now.since(at).as_millis()).unwrap_or(0)
        })
    }

    /// Role of this host in the scope.
    pub fn role(&self) -> ScopeRole {
        self.role
    }

    /// Newest term of the scope that this machine knows.
    pub fn epoch(&self) -> Epoch {
        let term = self.term.as_ref().map(|term| term.epoch);
        let object = self.object.as_ref().map(|object| object.state.epoch);
        term.or(object)
            .unwrap_or_default()
            .max(self.candidacy_timer.seen_epoch())
    }

    /// Controller named by the scope object or the last map, whichever has the newer term.
    pub fn controller(&self) -> Option<&HostId> {
        let object = self.object.as_ref().map(|object| &object.state);
        let map = self.last_map.as_ref();
        match (object, map) {
            (Some(state), Some(map)) if map.version.epoch > state.epoch => Some(&map.controller),
            (Some(state), _) => Some(&state.controller),
            (None, map) => map.map(|map| &map.controller),
        }
    }

    /// Time until which this host may issue grants and maps; in the past if it may not.
    pub fn authority_end(&self) -> BootTime {
        let Some(term) = &self.term else {
            return BootTime(0);
        };
        if self
            .writer
            .pending_state()
            .is_some_and(|state| state.resigned)
        {
            return BootTime(0);
        }
        if term.authority_gained_at.is_some() {
            return term
                .authority
                .end()
                .min(self.platform_contact_at + OUTAGE_LIMIT);
        }
        if self.is_adopting() {
            return self.platform_contact_at + PROMISE_TTL;
        }
        BootTime(0)
    }

    pub(super) fn has_authority(&self, now: BootTime) -> bool {
        now < self.authority_end()
    }

    /// Whether grants of servers that check tokens are renewed without a majority of electors.
    pub(super) fn is_adopting(&self) -> bool {
        self.term.as_ref().is_some_and(|term| term.adopting)
    }

    /// Content of the scope object as last read or written.
    pub fn state(&self) -> Option<&ScopeState> {
        self.object.as_ref().map(|object| &object.state)
    }

    /// Number of shards that move and whose old owner has not been replaced yet.
    pub fn moves_in_flight(&self) -> usize {
        let shards = self.state().map(|state| state.shards.as_slice());
        shards
            .unwrap_or_default()
            .iter()
            .filter(|shard| matches!(shard, ShardState::Releasing { .. }))
            .count()
    }

    /// Phase of each server; empty if this host does not hold the term.
    pub fn server_phases(&self) -> Vec<(ServerId, ServerPhase)> {
        let Some(term) = &self.term else {
            return Vec::new();
        };
        term.servers
            .keys()
            .map(|id| (id.clone(), self.phase(id)))
            .collect()
    }

    /// Number of shards without an owner or whose owner is lost.
    pub fn unowned_shards(&self) -> usize {
        let shards = self.state().map(|state| state.shards.as_slice());
        shards
            .unwrap_or_default()
            .iter()
            .filter(|shard| match shard {
                ShardState::Unowned => true,
                ShardState::Owned { server, .. } => self.phase(server) == ServerPhase::Lost,
                ShardState::Releasing { .. } => false,
            })
            .count()
    }

    /// Shards that an operator pinned to a server.
    pub(super) fn pins(&self) -> Vec<(ShardId, ServerId)> {
        self.spec
            .as_ref()
            .map(|spec| spec.pins.clone())
            .unwrap_or_default()
    }

    /// Counters of this machine since the process started.
    pub fn counters(&self) -> &ScopeCounters {
        &self.counters
    }
}
