//! The assignment as a request needs it.

use {
    super::{OwnerState, RangePhase, ServerLife},
    crate::ids::ServiceName,
    std::sync::Arc,
};

/// Who serves a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerLookup {
    /// This server.
    Owner(ServerLife),
    /// The key changes owner.
    Moving,
    /// The key has no owner.
    Unassigned,
}

/// Read-only view of the stored assignment.
#[derive(Clone, Debug, Default)]
pub struct OwnerMap {
    state: Option<Arc<OwnerState>>,
}

impl OwnerMap {
    /// View of `state`.
    pub fn new(state: Arc<OwnerState>) -> Self {
        Self { state: Some(state) }
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
            Some(RangePhase::Moving { .. }) => OwnerLookup::Moving,
            Some(RangePhase::Free) | None => OwnerLookup::Unassigned,
        }
    }
}
