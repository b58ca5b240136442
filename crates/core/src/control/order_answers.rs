//! Answers of servers, and what they say about grants and releases.

use {
    super::{
        OrderId, ServerFailure, ServerReply, ServerResult, ShardGrant,
        scope_machine::ScopeMachine,
        server_track::{OrderKind, ReleaseStage, SentOrder, ServerContact, ServerTrack},
    },
    crate::{ids::ServerId, time::BootTime},
    std::time::Duration,
};

/// Interval of orders to a server that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an order without an answer counts as failed.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The same for a release, whose answer waits for the server's running work.
const RELEASE_LIMIT: Duration = Duration::from_secs(30);

impl ScopeMachine {
    pub(super) fn take_order_answer(
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
        let Some(track) = term.servers.get_mut(server) else {
            return;
        };
        let Some(sent) = track.orders.remove(&order) else {
            return;
        };
        match result {
            Ok(reply) => {
                if reply.result == ServerResult::Fenced || reply.epoch > epoch {
                    self.questioned = true;
                }
                if track.take_reply(order, &sent, &reply) {
                    self.dirty = true;
                }
            }
            Err(failure) => {
                track.take_failure(&sent, failure, now);
                self.dirty = true;
            }
        }
    }
}

impl ServerTrack {
    /// Treats orders without an answer as failed; returns whether there was one.
    pub(super) fn expire_orders(&mut self, now: BootTime) -> bool {
        let mut expired = Vec::new();
        for (id, order) in &self.orders {
            let limit = match order.kind {
                OrderKind::Release(_) => RELEASE_LIMIT,
                _ => ANSWER_LIMIT,
            };
            if now > order.sent_at + limit {
                expired.push(*id);
            }
        }
        for id in &expired {
            if let Some(sent) = self.orders.remove(id) {
                self.take_failure(&sent, ServerFailure::NoReply, now);
            }
        }
        !expired.is_empty()
    }

    /// Takes a reply in; returns whether something changed that planning depends on.
    fn take_reply(&mut self, order: OrderId, sent: &SentOrder, reply: &ServerReply) -> bool {
        let before = (self.contact, self.acknowledged, self.report.draining);
        self.note_process(order, reply.report.process);
        self.report = reply.report.clone();
        let held = matches!(reply.result, ServerResult::Done | ServerResult::UnknownSet);
        if held {
            self.contact = ServerContact::Up;
            self.cap = None;
        }
        match &sent.kind {
            OrderKind::Probe => {}
            OrderKind::Renew if reply.result == ServerResult::UnknownSet => self.forget_set(),
            OrderKind::Renew => {}
            OrderKind::Grant => {
                let newest = self.last_grant == order && self.set != 0;
                self.acknowledged = newest && reply.result == ServerResult::Done;
            }
            OrderKind::Release(shards) => {
                let done = reply.result == ServerResult::Done;
                self.finish_release(order, shards, done);
            }
        }
        let is_release = matches!(sent.kind, OrderKind::Release(_));
        is_release
            || !self.acknowledged
            || before != (self.contact, self.acknowledged, self.report.draining)
    }

    /// A new process holds no set.
    fn note_process(&mut self, order: OrderId, process: u64) {
        match self.process {
            Some((_, seen)) if order < seen => {}
            Some((known, _)) if known == process => self.process = Some((process, order)),
            _ => {
                self.process = Some((process, order));
                self.forget_set();
            }
        }
    }

    /// A confirmation counts only if no grant that names the shard was sent after the release.
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

    fn take_failure(&mut self, sent: &SentOrder, failure: ServerFailure, now: BootTime) {
        if let OrderKind::Release(shards) = &sent.kind {
            for grant in shards {
                self.releases.remove(&(grant.shard, grant.token));
            }
            return;
        }
        if matches!(sent.kind, OrderKind::Grant) && failure == ServerFailure::NoReply {
            self.grants_settle_at = self.grants_settle_at.max(sent.valid_until);
        }
        if self.contact == ServerContact::Up {
            self.contact = ServerContact::Suspect;
        }
        self.next_at = now + RETRY_INTERVAL;
    }
}
