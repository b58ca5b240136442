//! A controller's knowledge of one backend server: its orders, grants and releases.

use {
    super::{OrderId, ServerReport, ShardGrant},
    crate::{
        ids::{FencingToken, ShardId},
        time::{BootTime, GRANT_GRACE, ORDER_WINDOW, with_drift},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Whether a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reachability {
    /// It has not answered in this term.
    Unknown,
    /// It answered the last order.
    Up,
    /// It did not answer an order.
    Suspect,
    /// All its grants have expired without an answer.
    Lost,
}

/// Kind of an order that awaits its answer.
#[derive(Clone, Debug)]
pub(super) enum OrderKind {
    /// Grants nothing; asks for the server's clock and process.
    Probe,
    /// Extends the grant of the server's set.
    Renew,
    /// Replaces the server's set.
    Grant,
    /// Takes these shards away.
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
    /// This order was sent.
    Sent(OrderId),
    /// The server confirmed that it gave the shard up.
    Confirmed,
}

/// Duration of a grant and the time after which the server must reject the order.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantPeriod {
    pub(super) ttl: Duration,
    pub(super) valid_until: BootTime,
}

/// A controller's knowledge of one backend server.
#[derive(Clone, Debug)]
pub(super) struct TrackedServer {
    pub(super) reachability: Reachability,
    /// Process that answered, and the newest order that it answered.
    pub(super) process: Option<(u64, OrderId)>,
    pub(super) report: ServerReport,
    /// Number of the last set sent; 0 if the server must get a complete grant.
    pub(super) set: u64,
    /// Shards of the last set sent.
    pub(super) granted: Vec<ShardGrant>,
    /// The server confirmed the last set sent.
    pub(super) acknowledged: bool,
    /// Shards that this process of the server has confirmed to hold.
    pub(super) confirmed: BTreeSet<(ShardId, FencingToken)>,
    /// Latest time at which a grant of any controller can still be live.
    pub(super) expiry: BootTime,
    /// Latest time at which a grant of this term can still be live.
    pub(super) own_expiry: BootTime,
    /// Until an order is answered, orders must not extend the grant beyond this time.
    pub(super) expiry_cap: Option<BootTime>,
    pub(super) orders: BTreeMap<OrderId, SentOrder>,
    pub(super) releases: BTreeMap<(ShardId, FencingToken), ReleaseStage>,
    pub(super) last_grant: OrderId,
    pub(super) next_order_at: BootTime,
    /// Time until which the server may still accept a grant that was delayed on the network.
    pub(super) delayed_grants_until: BootTime,
}

impl TrackedServer {
    /// Creates the entry of a server that has not answered yet.
    ///
    /// A grant of an earlier controller may be live on it until `expiry`.
    pub(super) fn new(expiry: BootTime) -> Self {
        Self {
            reachability: Reachability::Unknown,
            process: None,
            report: ServerReport::default(),
            set: 0,
            granted: Vec::new(),
            acknowledged: false,
            confirmed: BTreeSet::new(),
            expiry,
            own_expiry: BootTime(0),
            expiry_cap: Some(expiry),
            orders: BTreeMap::new(),
            releases: BTreeMap::new(),
            last_grant: OrderId(0),
            next_order_at: BootTime(0),
            delayed_grants_until: BootTime(0),
        }
    }

    /// Sets the time until which grants of earlier controllers may be live.
    pub(super) fn set_inherited_expiry(&mut self, end: BootTime) {
        self.expiry = end.max(self.own_expiry);
        if self.reachability != Reachability::Up {
            self.expiry_cap = Some(self.expiry);
        }
    }

    /// Whether the server has answered and is not lost, so that it may be granted shards.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.reachability, Reachability::Up | Reachability::Suspect)
    }

    /// Period of a grant sent now under authority that ends at `authority_end`.
    ///
    /// The server counts the duration from receipt, which is no later than
    /// `valid_until`, so the grant ends within `GRANT_GRACE` after the authority.
    pub(super) fn grant_period(
        &self,
        authority_end: BootTime,
        now: BootTime,
    ) -> Option<GrantPeriod> {
        let valid_until = (now + ORDER_WINDOW).min(authority_end);
        if valid_until <= now {
            return None;
        }
        let mut ttl = (authority_end + GRANT_GRACE).since(valid_until);
        if let Some(expiry_cap) = self.expiry_cap {
            ttl = ttl.min(without_drift(expiry_cap.since(valid_until)));
        }
        (!ttl.is_zero()).then_some(GrantPeriod { ttl, valid_until })
    }

    /// Records that a grant or renewal with this period is being sent.
    pub(super) fn extend_expiry(&mut self, grant_period: GrantPeriod) {
        let expiry = grant_period.valid_until + with_drift(grant_period.ttl);
        self.own_expiry = self.own_expiry.max(expiry);
        self.expiry = self.expiry.max(expiry);
        if self.expiry_cap.is_none() {
            self.expiry_cap = Some(self.expiry);
        }
    }

    /// Whether an order other than a release awaits its answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.orders
            .values()
            .any(|order| !matches!(order.kind, OrderKind::Release(_)))
    }

    /// Whether a grant that was sent earlier may still take effect at the server.
    pub(super) fn has_grant_in_flight(&self, now: BootTime) -> bool {
        let waiting = self
            .orders
            .values()
            .any(|order| matches!(order.kind, OrderKind::Grant));
        waiting || now <= self.delayed_grants_until
    }

    /// Clears the set, so that the server gets a complete grant next.
    pub(super) fn clear_set(&mut self) {
        self.set = 0;
        self.granted.clear();
        self.acknowledged = false;
        self.confirmed.clear();
    }

    pub(super) fn is_released(&self, shard: ShardId, token: FencingToken) -> bool {
        self.releases.get(&(shard, token)) == Some(&ReleaseStage::Confirmed)
    }
}

/// Shortens a period so that, with clock drift added, it does not exceed the original.
fn without_drift(span: Duration) -> Duration {
    span.saturating_sub(with_drift(span).saturating_sub(span))
}
