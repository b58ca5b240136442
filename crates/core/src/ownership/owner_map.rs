//! Lookup of the server that owns a key, for routing requests.

use {
    super::{OwnerState, RangePhase, ServerInstance},
    crate::{ids::ServiceName, time::BootTime},
    std::{collections::HashMap, sync::Arc},
};

/// Result of looking up the owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerLookup {
    /// The server instance that owns the key.
    Owner(ServerInstance),
    /// The key is changing owner; holds the time at which this host first saw the move.
    Moving(BootTime),
    /// The key has no owner.
    Unassigned,
}

/// This host's read-only copy of the key assignment in the store.
#[derive(Clone, Debug, Default)]
pub struct OwnerMap {
    state: Option<Arc<OwnerState>>,
    /// Time at which each move in progress was first seen, by service and token.
    moves: HashMap<(ServiceName, u64), BootTime>,
}

impl OwnerMap {
    /// Replaces the assignment by `state`, received at `now`.
    ///
    /// A move that was already in progress keeps the time at which it was first seen.
    pub fn update(&mut self, state: Arc<OwnerState>, now: BootTime) {
        let mut moves = HashMap::new();
        for (service, owners) in &state.services {
            for record in &owners.ranges {
                if let RangePhase::Moving { token, .. } = &record.phase {
                    let key = (service.clone(), *token);
                    let since = self.moves.get(&key).copied().unwrap_or(now);
                    moves.insert(key, since);
                }
            }
        }
        self.moves = moves;
        self.state = Some(state);
    }

    /// Looks up the owner of `key` of `service`.
    pub fn lookup(&self, service: &ServiceName, key: u16) -> OwnerLookup {
        match self.phase(service, key) {
            Some(RangePhase::Owned { owner, .. }) => OwnerLookup::Owner(owner.clone()),
            Some(RangePhase::Moving { token, .. }) => {
                let since = self.moves.get(&(service.clone(), *token));
                OwnerLookup::Moving(since.copied().unwrap_or_default())
            }
            Some(RangePhase::Free) | None => OwnerLookup::Unassigned,
        }
    }
    /// Fencing token under which `key` of `service` is owned.
    pub fn token(&self, service: &ServiceName, key: u16) -> Option<u64> {
        match self.phase(service, key)? {
            RangePhase::Owned { token, .. } => Some(*token),
            RangePhase::Moving { .. } | RangePhase::Free => None,
        }
    }

    fn phase(&self, service: &ServiceName, key: u16) -> Option<&RangePhase> {
        let owners = self.state.as_ref()?.services.get(service)?;
        let index = owners
            .ranges
            .partition_point(|record| record.range.last < key);
        owners.ranges.get(index).map(|record| &record.phase)
    }
}
