//! The assignment as a request needs it.

use {
    super::{OwnerState, RangePhase, ServerInstance},
    crate::{ids::ServiceName, time::BootTime},
    std::{collections::HashMap, sync::Arc},
};

/// Who serves a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerLookup {
    /// This server.
    Owner(ServerInstance),
    /// The key changes owner, as this host knows since then.
    Moving(BootTime),
    /// The key has no owner.
    Unassigned,
}

/// Read-only view of the stored assignment.
#[derive(Clone, Debug, Default)]
pub struct OwnerMap {
    state: Option<Arc<OwnerState>>,
    /// Moves in progress by service and token, with the time they were first seen.
    moves: HashMap<(ServiceName, u64), BootTime>,
}

impl OwnerMap {
    /// Replaces the view, as learned at `now`.
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

    /// Who serves `key` of `service`.
    pub fn find(&self, service: &ServiceName, key: u16) -> OwnerLookup {
        let owners = self
            .state
            .as_ref()
            .and_then(|state| state.services.get(service));
        let Some(owners) = owners else {
            return OwnerLookup::Unassigned;
        };
        let at = owners
            .ranges
            .partition_point(|record| record.range.last < key);
        match owners.ranges.get(at).map(|record| &record.phase) {
            Some(RangePhase::Owned { owner, .. }) => OwnerLookup::Owner(owner.clone()),
            Some(RangePhase::Moving { token, .. }) => {
                let since = self.moves.get(&(service.clone(), *token));
                OwnerLookup::Moving(since.copied().unwrap_or_default())
            }
            Some(RangePhase::Free) | None => OwnerLookup::Unassigned,
        }
    }
}
