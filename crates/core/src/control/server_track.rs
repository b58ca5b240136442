//! What a controller knows of one backend server.

use {
    super::{OrderId, ServerReport, ShardGrant},
    crate::{
        ids::{FencingToken, ShardId},
        time::{BootTime, GRANT_GRACE, ORDER_WINDOW, with_drift},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Whether a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerContact {
    /// Not reached in this term.
    Unknown,
    /// The last order was answered.
    Up,
    /// An order went unanswered.
    Suspect,
    /// Its grant has lapsed without an answer.
    Lost,
}

/// Kind of an order that awaits its answer.
#[derive(Clone, Debug)]
pub(super) enum OrderKind {
    /// Grants nothing; learns the server's clock and process.
    Probe,
    /// Prolongs the set.
    Renew,
    /// Replaces the set.
    Grant,
    /// Gives shards up.
    Release(Vec<ShardGrant>),
}

/// An order that awaits its answer.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) kind: OrderKind,
    pub(super) sent_at: BootTime,
    pub(super) valid_until: BootTime,
}

/// Progress of the release of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseStage {
    /// An order was sent.
    Sent(OrderId),
    /// The server confirmed that it gave the shard up.
    Confirmed,
}

/// Length of a grant and the time after which the server must drop the order.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantTerms {
    pub(super) ttl: Duration,
    pub(super) valid_until: BootTime,
}

/// What a controller knows of one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerTrack {
    pub(super) contact: ServerContact,
    pub(super) process: Option<(u64, OrderId)>,
    pub(super) report: ServerReport,
    /// Number of the set sent last; 0 if the server must get a whole grant.
    pub(super) set: u64,
    pub(super) granted: Vec<ShardGrant>,
    pub(super) acknowledged: bool,
    /// Latest time at which a grant of any controller can still be live.
    pub(super) expiry: BootTime,
    /// Latest time at which a grant of this term can still be live.
    pub(super) own_expiry: BootTime,
    /// Orders must not prolong the grant past this time, until one is answered.
    pub(super) cap: Option<BootTime>,
    pub(super) orders: BTreeMap<OrderId, SentOrder>,
    pub(super) releases: BTreeMap<(ShardId, FencingToken), ReleaseStage>,
    pub(super) last_grant: OrderId,
    pub(super) next_at: BootTime,
    /// Time until which a delayed grant may still be accepted by the server.
    pub(super) grants_settle_at: BootTime,
}

impl ServerTrack {
    /// A server not reached yet, on which an earlier controller's grant may live until `expiry`.
    pub(super) fn new(expiry: BootTime) -> Self {
        Self {
            contact: ServerContact::Unknown,
            process: None,
            report: ServerReport::default(),
            set: 0,
            granted: Vec::new(),
            acknowledged: false,
            expiry,
            own_expiry: BootTime(0),
            cap: Some(expiry),
            orders: BTreeMap::new(),
            releases: BTreeMap::new(),
            last_grant: OrderId(0),
            next_at: BootTime(0),
            grants_settle_at: BootTime(0),
        }
    }

    /// Sets the time until which grants of earlier controllers may live.
    pub(super) fn inherit(&mut self, end: BootTime) {
        self.expiry = end.max(self.own_expiry);
        if self.contact != ServerContact::Up {
            self.cap = Some(self.expiry);
        }
    }

    /// Whether the server answers, so that it may be granted shards.
    pub(super) fn is_reached(&self) -> bool {
        matches!(self.contact, ServerContact::Up | ServerContact::Suspect)
    }

    /// Terms of a grant sent now under authority that ends at `authority_end`.
    ///
    /// The server counts the length from receipt, at the latest from
    /// `valid_until`; so the grant ends within `GRANT_GRACE` after the authority.
    pub(super) fn terms(&self, authority_end: BootTime, now: BootTime) -> Option<GrantTerms> {
        let valid_until = (now + ORDER_WINDOW).min(authority_end);
        if valid_until <= now {
            return None;
        }
        let mut ttl = (authority_end + GRANT_GRACE).since(valid_until);
        if let Some(cap) = self.cap {
            ttl = ttl.min(without_drift(cap.since(valid_until)));
        }
        (!ttl.is_zero()).then_some(GrantTerms { ttl, valid_until })
    }

    /// Notes that a grant with these terms is being sent.
    pub(super) fn extend(&mut self, terms: GrantTerms) {
        let expiry = terms.valid_until + with_drift(terms.ttl);
        self.own_expiry = self.own_expiry.max(expiry);
        self.expiry = self.expiry.max(expiry);
        if self.cap.is_none() {
            self.cap = Some(self.expiry);
        }
    }

    /// Whether an order other than a release awaits its answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.orders
            .values()
            .any(|order| !matches!(order.kind, OrderKind::Release(_)))
    }

    /// Whether a grant that was sent earlier can still reach the server.
    pub(super) fn has_unsettled_grant(&self, now: BootTime) -> bool {
        let waiting = self
            .orders
            .values()
            .any(|order| matches!(order.kind, OrderKind::Grant));
        waiting || now <= self.grants_settle_at
    }

    /// Forgets the set, so that the server gets a whole grant next.
    pub(super) fn forget_set(&mut self) {
        self.set = 0;
        self.granted.clear();
        self.acknowledged = false;
    }

    pub(super) fn is_released(&self, shard: ShardId, token: FencingToken) -> bool {
        self.releases.get(&(shard, token)) == Some(&ReleaseStage::Confirmed)
    }
}

/// Shortens a period so that no clock within the drift bound measures more than it.
fn without_drift(span: Duration) -> Duration {
    span.saturating_sub(with_drift(span).saturating_sub(span))
}
