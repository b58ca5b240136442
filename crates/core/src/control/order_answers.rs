//! Handles the servers' answers to grants, renewals, probes and releases.

use {
    super::{
        OrderId, ServerFailure, ServerReply, ServerResult, ShardGrant,
        scope_machine::ScopeMachine,
        tracked_server::{OrderKind, Reachability, ReleaseStage, SentOrder, TrackedServer},
    },
    crate::{ids::ServerId, time::BootTime},
    std::time::Duration,
};

/// Delay before the next order after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An order without an answer within this time counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a release, which the server answers only after its running requests.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);

impl ScopeMachine {
    pub(super) fn handle_order_answer(
        &mut self,
        server: &ServerId,
        order: OrderId,
        result: Result<ServerReply, ServerFailure>,
        now: BootTime,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        let epoch = term.epoch;
        let Some(tracked) = term.servers.get_mut(server) else {
            return;
        };
        let Some(sent) = tracked.orders.remove(&order) else {
            return;
        };
        match result {
            Ok(reply) => {
                if reply.result == ServerResult::Fenced || reply.epoch > epoch {
                    self.may_be_superseded = true;
                }
                if tracked.apply_reply(order, &sent, &reply) {
                    self.dirty = true;
                }
            }
            Err(failure) => {
                tracked.apply_failure(&sent, failure, now);
                self.dirty = true;
            }
        }
    }
}

impl TrackedServer {
    /// Treats orders that timed out as failed; returns whether there were any.
    pub(super) fn expire_orders(&mut self, now: BootTime) -> bool {
        let mut expired = Vec::new();
        for (id, order) in &self.orders {
            let limit = match order.kind {
                OrderKind::Release(_) => RELEASE_TIMEOUT,
                _ => ANSWER_TIMEOUT,
            };
            if now > order.sent_at + limit {
                expired.push(*id);
            }
        }
        for id in &expired {
            if let Some(sent) = self.orders.remove(id) {
                self.apply_failure(&sent, ServerFailure::NoReply, now);
            }
        }
        !expired.is_empty()
    }

    /// Applies a reply; returns whether the plan, the map or the orders may have to change.
    fn apply_reply(&mut self, order: OrderId, sent: &SentOrder, reply: &ServerReply) -> bool {
        let before = (self.reachability, self.acknowledged, self.report.draining);
        self.update_process(order, reply.report.process);
        self.report = reply.report.clone();
        let accepted = matches!(reply.result, ServerResult::Done | ServerResult::UnknownSet);
        if accepted {
            self.reachability = Reachability::Up;
            self.expiry_cap = None;
        }
        match &sent.kind {
            OrderKind::Probe => {}
            OrderKind::Renew if reply.result == ServerResult::UnknownSet => self.clear_set(),
            OrderKind::Renew => {}
            OrderKind::Grant => {
                let newest = self.last_grant == order && self.set != 0;
                self.acknowledged = newest && reply.result == ServerResult::Done;
                if self.acknowledged {
                    let granted = self.granted.iter();
                    self.confirmed = granted.map(|grant| (grant.shard, grant.token)).collect();
                }
            }
            OrderKind::Release(shards) => {
                let done = reply.result == ServerResult::Done;
                self.finish_release(order, shards, done);
            }
        }
        let is_release = matches!(sent.kind, OrderKind::Release(_));
        is_release
            || !self.acknowledged
            || before != (self.reachability, self.acknowledged, self.report.draining)
    }

    /// Records the server's process; a new one holds no set. Replies to older orders are ignored.
    fn update_process(&mut self, order: OrderId, process: u64) {
        match self.process {
            Some((_, seen)) if order < seen => {}
            Some((known, _)) if known == process => self.process = Some((process, order)),
            _ => {
                self.process = Some((process, order));
                self.clear_set();
            }
        }
    }

    /// Records the outcome of a release.
    ///
    /// A confirmation counts only if no grant was sent after the release, because such a
    /// grant may name the shard again.
    fn finish_release(&mut self, order: OrderId, shards: &[ShardGrant], done: bool) {
        let confirmed = done && self.last_grant < order;
        for grant in shards {
            let key = (grant.shard, grant.token);
            if self.releases.get(&key) != Some(&ReleaseStage::Sent(order)) {
                continue;
            }
            if confirmed {
                self.releases.insert(key, ReleaseStage::Confirmed);
            } else {
                self.releases.remove(&key);
            }
        }
        let releases = &self.releases;
        self.granted.retain(|grant| {
            releases.get(&(grant.shard, grant.token)) != Some(&ReleaseStage::Confirmed)
        });
    }

    /// Applies a failed order: a release is sent again, other orders make the server suspect.
    fn apply_failure(&mut self, sent: &SentOrder, failure: ServerFailure, now: BootTime) {
        if let OrderKind::Release(shards) = &sent.kind {
            for grant in shards {
                self.releases.remove(&(grant.shard, grant.token));
            }
            return;
        }
        if matches!(sent.kind, OrderKind::Grant) && failure == ServerFailure::NoReply {
            self.delayed_grants_until = self.delayed_grants_until.max(sent.valid_until);
        }
        if self.reachability == Reachability::Up {
            self.reachability = Reachability::Suspect;
        }
        self.next_order_at = now + RETRY_DELAY;
    }
}
