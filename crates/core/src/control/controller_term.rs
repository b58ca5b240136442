//! State of a term, from the acknowledged takeover write until the machine steps down.

use {
    super::{
        authority_table::AuthorityTable, forwarder_table::ForwarderTable,
        map_publisher::MapPublisher, tracked_server::TrackedServer,
    },
    crate::{
        ids::{Epoch, ServerId},
        placement::LoadTable,
        scope::ScopeState,
        time::{BootTime, GRANT_GRACE, ORDER_WINDOW, OUTAGE_LIMIT, PROMISE_TTL, with_drift},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// What the scope object said about the previous term's controller at the takeover.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Predecessor {
    /// The previous term, if its controller resigned in the scope object.
    pub(super) resigned: Option<Epoch>,
    /// The controller that resigned had authority, so no controller has authority now.
    pub(super) promises_ended: bool,
    /// Grants may be live that no promise covers.
    pub(super) uncovered_grants: bool,
}

/// State of a term that this process holds.
#[derive(Clone, Debug)]
pub(super) struct ControllerTerm {
    pub(super) epoch: Epoch,
    /// When the takeover write was known to have taken effect.
    pub(super) acknowledged_at: BootTime,
    pub(super) predecessor: Predecessor,
    pub(super) authority: AuthorityTable,
    /// When a majority of electors promised for the first time.
    pub(super) authority_gained_at: Option<BootTime>,
    /// Whether there was authority at the last step, to notice changes.
    pub(super) had_authority: bool,
    /// When an operator confirmed that the old electors, and older controllers, are gone.
    pub(super) loss_confirmed_at: Option<BootTime>,
    /// All grants and maps of earlier controllers have expired after this time.
    pub(super) inherited_expiry: BootTime,
    /// Grants of servers that check tokens are renewed without a majority of electors.
    pub(super) adopting: bool,
    pub(super) servers: BTreeMap<ServerId, TrackedServer>,
    pub(super) forwarders: ForwarderTable,
    pub(super) maps: MapPublisher,
    pub(super) load: LoadTable,
    /// Servers that hold fewer shards than their quota and are being filled.
    pub(super) joining: BTreeSet<ServerId>,
    pub(super) next_check: BootTime,
    pub(super) next_plan: BootTime,
    /// The last plan waits for servers, releases or maps, so planning runs again at the next check.
    pub(super) plan_pending: bool,
    pub(super) next_balance: BootTime,
    pub(super) next_forwarders: BootTime,
    pub(super) electors_changed_at: BootTime,
}

impl ControllerTerm {
    pub(super) fn new(
        state: &ScopeState,
        predecessor: Predecessor,
        forwarders: ForwarderTable,
        now: BootTime,
    ) -> Self {
        Self {
            epoch: state.epoch,
            acknowledged_at: now,
            predecessor,
            authority: AuthorityTable::new(&state.electors),
            authority_gained_at: None,
            had_authority: false,
            loss_confirmed_at: None,
            inherited_expiry: BootTime(u64::MAX),
            adopting: false,
            servers: BTreeMap::new(),
            forwarders,
            maps: MapPublisher::new(state.shards.len(), BootTime(u64::MAX)),
            load: LoadTable::new(state.shards.len()),
            joining: BTreeSet::new(),
            next_check: BootTime(0),
            next_plan: BootTime(0),
            plan_pending: true,
            next_balance: BootTime(0),
            next_forwarders: BootTime(0),
            electors_changed_at: BootTime(0),
        }
    }

    /// Records that a majority of electors promised for the first time.
    pub(super) fn authority_gained(&mut self, now: BootTime) {
        self.authority_gained_at = Some(now);
        self.inherited_expiry = self.compute_inherited_expiry(now);
        self.maps.set_inherited_expiry(self.inherited_expiry);
        self.forwarders.authority_gained(now, self.inherited_expiry);
        for tracked in self.servers.values_mut() {
            tracked.set_inherited_expiry(self.inherited_expiry);
        }
    }

    /// When all grants and maps of earlier controllers have expired.
    ///
    /// Normally a majority of promises shows that the predecessor's promises have
    /// expired. That does not hold if the predecessor resigned, because electors
    /// then promise before their old promise expires, nor after an adoption, which
    /// needs no promises. In both cases the period of a promise is added, counted
    /// from the takeover that superseded the predecessor.
    fn compute_inherited_expiry(&self, now: BootTime) -> BootTime {
        let mut expiry = now + with_drift(GRANT_GRACE);
        if let Some(loss_confirmed_at) = self.loss_confirmed_at {
            // The old controller may have issued grants until the confirmation.
            expiry = expiry.max(loss_confirmed_at + with_drift(PROMISE_TTL + GRANT_GRACE));
        }
        if self.predecessor.resigned.is_none() && !self.predecessor.uncovered_grants {
            return expiry;
        }
        expiry.max(self.acknowledged_at + with_drift(PROMISE_TTL + GRANT_GRACE))
    }

    /// When servers no longer accept any order of a predecessor that resigned.
    ///
    /// The authority of any other predecessor ended before this term gained its
    /// own, and its orders were valid no longer than that.
    pub(super) fn inherited_orders_expiry(&self) -> BootTime {
        if self.predecessor.resigned.is_none() {
            return BootTime(0);
        }
        self.acknowledged_at + with_drift(ORDER_WINDOW)
    }

    /// When a predecessor without platform contact must have given up its authority.
    pub(super) fn outage_limit_end(&self) -> BootTime {
        self.acknowledged_at + with_drift(OUTAGE_LIMIT)
    }
}
