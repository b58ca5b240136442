//! Keys that their owners have refused.

use {
    super::{HostState, host_state::StateInner},
    camphorcove_core::{
        fleet::ServerEntry,
        ids::{ServerId, ServiceName},
        ownership::{OwnerLookup, RefusalScope},
        time::BootTime,
    },
};

impl StateInner {
    /// Whether `owner` has just refused a key of the range of `key`, or its address has another server.
    pub(super) fn has_refused(
        &self,
        service: &ServiceName,
        key: u16,
        owner: &ServerId,
        now: BootTime,
    ) -> bool {
        let token = self.owners.token(service, key);
        token.is_some_and(|token| self.owner_refusals.stops(owner, token, now))
    }
}

impl HostState {
    /// Records that a server refused a key that it owns by this host's copy of the assignment.
    pub fn record_not_owner(&self, service: &ServiceName, key: u16, server: &ServerEntry) {
        let now = self.now();
        let mut inner = self.lock();
        let OwnerLookup::Owner(owner) = inner.owners.lookup(service, key) else {
            return;
        };
        let Some(token) = inner.owners.token(service, key) else {
            return;
        };
        // The refusal says nothing about an owner that the assignment names meanwhile.
        if owner.id != server.id || owner.incarnation != server.incarnation {
            return;
        }
        let is_address_reused = inner
            .fleet
            .entries()
            .any(|entry| entry.address == owner.address && entry.id != owner.id);
        let scope = match is_address_reused {
            true => RefusalScope::Address,
            false => RefusalScope::Range,
        };
        inner.owner_refusals.record(&owner.id, token, scope, now);
    }
}
