//! State of one term, from the acknowledged takeover until the machine steps down.

use {
    super::{
        authority_table::AuthorityTable, forwarder_table::ForwarderTable,
        map_publisher::MapPublisher, server_track::ServerTrack,
    },
    crate::{
        ids::{Epoch, ServerId},
        placement::LoadTable,
        scope::ScopeState,
        time::{BootTime, GRANT_GRACE, ORDER_WINDOW, OUTAGE_LIMIT, PROMISE_TTL, with_drift},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// What the scope object said of the controller of the term before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Predecessor {
    /// Term that its controller gave up in the scope object.
    pub(super) resigned: Option<Epoch>,
    /// Its controller gave up an authority that it had, so nobody holds one now.
    pub(super) promises_ended: bool,
    /// Grants may live that no promise covers.
    pub(super) uncovered_grants: bool,
}

/// State of one term.
#[derive(Clone, Debug)]
pub(super) struct ControllerTerm {
    pub(super) epoch: Epoch,
    pub(super) acknowledged_at: BootTime,
    pub(super) predecessor: Predecessor,
    pub(super) authority: AuthorityTable,
    pub(super) gained_at: Option<BootTime>,
    pub(super) had_authority: bool,
    /// When an operator confirmed that older controllers have stopped.
    pub(super) confirmed_at: Option<BootTime>,
    /// Grants and maps of earlier controllers have lapsed after this time.
    pub(super) old_end: BootTime,
    /// Grants are renewed by fence, without a majority of electors.
    pub(super) adopting: bool,
    pub(super) servers: BTreeMap<ServerId, ServerTrack>,
    pub(super) forwarders: ForwarderTable,
    pub(super) maps: MapPublisher,
    pub(super) load: LoadTable,
    pub(super) joining: BTreeSet<ServerId>,
    pub(super) next_check: BootTime,
    pub(super) next_plan: BootTime,
    /// The last plan waits for servers, releases or maps, so it is made again soon.
    pub(super) plan_waits: bool,
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
            gained_at: None,
            had_authority: false,
            confirmed_at: None,
            old_end: BootTime(u64::MAX),
            adopting: false,
            servers: BTreeMap::new(),
            forwarders,
            maps: MapPublisher::new(state.shards.len(), BootTime(u64::MAX)),
            load: LoadTable::new(state.shards.len()),
            joining: BTreeSet::new(),
            next_check: BootTime(0),
            next_plan: BootTime(0),
            plan_waits: true,
            next_balance: BootTime(0),
            next_forwarders: BootTime(0),
            electors_changed_at: BootTime(0),
        }
    }

    /// Notes that a majority of electors promised for the first time.
    pub(super) fn gain(&mut self, now: BootTime) {
        self.gained_at = Some(now);
        self.old_end = self.waited_out_at(now);
        self.maps.inherit(self.old_end);
        self.forwarders.gain(now, self.old_end);
        for track in self.servers.values_mut() {
            track.inherit(self.old_end);
        }
    }

    /// When all grants and maps of earlier controllers have lapsed.
    ///
    /// Electors that know of a resignation do not wait out their promise, and
    /// an adopting controller needs no promises. In both cases the period of a
    /// promise is waited out here, from the write that superseded the predecessor.
    fn waited_out_at(&self, now: BootTime) -> BootTime {
        let mut lapsed = now + with_drift(GRANT_GRACE);
        if let Some(confirmed_at) = self.confirmed_at {
            // The old controller may have been granting until the confirmation.
            lapsed = lapsed.max(confirmed_at + with_drift(PROMISE_TTL + GRANT_GRACE));
        }
        if self.predecessor.resigned.is_none() && !self.predecessor.uncovered_grants {
            return lapsed;
        }
        lapsed.max(self.acknowledged_at + with_drift(PROMISE_TTL + GRANT_GRACE))
    }

    /// When the servers drop every order of a predecessor that resigned.
    ///
    /// The authority of any other predecessor, and with it its orders, ended
    /// before this term gained its own.
    pub(super) fn last_old_order(&self) -> BootTime {
        if self.predecessor.resigned.is_none() {
            return BootTime(0);
        }
        self.acknowledged_at + with_drift(ORDER_WINDOW)
    }

    /// When a predecessor without platform contact has stopped for certain.
    pub(super) fn outage_limit_end(&self) -> BootTime {
        self.acknowledged_at + with_drift(OUTAGE_LIMIT)
    }
}
