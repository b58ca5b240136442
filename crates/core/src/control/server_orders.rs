//! Sends grants, renewals, probes and releases to the servers.

use {
    super::{
        OrderId, ScopeAction, ServerOrder, ShardGrant,
        scope_machine::ScopeMachine,
        server_view::shard_id,
        tracked_server::{GrantPeriod, OrderKind, Reachability, ReleaseStage, SentOrder},
    },
    crate::{
        ids::{ServerId, ShardId},
        scope::ShardState,
        time::{BootTime, ORDER_WINDOW, RENEW_INTERVAL},
    },
    std::time::Duration,
};

impl ScopeMachine {
    /// Sends each server the order it needs next.
    pub(super) fn send_orders(&mut self, now: BootTime) {
        if self.term.is_none() || self.writer.pending_state().is_some_and(|s| s.resigned) {
            return;
        }
        let mut sets = self.dirty.then(|| self.needed_sets());
        let due: Vec<ServerId> = self
            .term
            .iter()
            .flat_map(|term| &term.servers)
            .filter(|(_, tracked)| sets.is_some() || now >= tracked.next_order_at)
            .map(|(id, _)| id.clone())
            .collect();
        if due.is_empty() {
            return;
        }
        let authority_end = self.authority_end();
        let mut sets = sets.take().unwrap_or_else(|| self.needed_sets());
        for id in due {
            let needed = sets.remove(&id).unwrap_or_default();
            self.send_order(&id, needed, authority_end, now);
        }
    }

    fn send_order(
        &mut self,
        id: &ServerId,
        needed: Vec<ShardGrant>,
        authority_end: BootTime,
        now: BootTime,
    ) {
        self.send_release(id, authority_end, now);
        let Some(tracked) = self.tracked(id) else {
            return;
        };
        if tracked.is_waiting() {
            return;
        }
        let changed = tracked.granted != needed || !tracked.acknowledged;
        let due = now >= tracked.next_order_at;
        let at_once = changed && tracked.reachability == Reachability::Up;
        let grant_period = match tracked.is_reachable() && authority_end > now {
            true => tracked.grant_period(authority_end, now),
            false => None,
        };
        match grant_period {
            Some(grant_period) if changed && (due || at_once) => {
                self.send_grant(id, needed, grant_period, now)
            }
            Some(grant_period) if due => self.send_renewal(id, grant_period, now),
            None if due => self.send_probe(id, now),
            _ => {}
        }
    }

    fn send_grant(
        &mut self,
        id: &ServerId,
        shards: Vec<ShardGrant>,
        grant_period: GrantPeriod,
        now: BootTime,
    ) {
        self.last_set += 1;
        let set = self.last_set;
        let Some(epoch) = self.term.as_ref().map(|term| term.epoch) else {
            return;
        };
        let body = ServerOrder::Grant {
            service: self.service.clone(),
            epoch,
            set,
            shards: shards.clone(),
            ttl: grant_period.ttl,
        };
        let order = self.push_order(id, OrderKind::Grant, body, grant_period.valid_until, now);
        if let Some(tracked) = self.tracked_mut(id) {
            tracked.set = set;
            tracked.granted = shards;
            tracked.acknowledged = false;
            tracked.last_grant = order;
            tracked.extend_expiry(grant_period);
        }
        self.mark_authority_used();
    }

    fn send_renewal(&mut self, id: &ServerId, grant_period: GrantPeriod, now: BootTime) {
        let Some(epoch) = self.term.as_ref().map(|term| term.epoch) else {
            return;
        };
        let Some(set) = self.tracked(id).map(|tracked| tracked.set) else {
            return;
        };
        let body = ServerOrder::Renew {
            service: self.service.clone(),
            epoch,
            set,
            ttl: grant_period.ttl,
        };
        self.push_order(id, OrderKind::Renew, body, grant_period.valid_until, now);
        if let Some(tracked) = self.tracked_mut(id) {
            tracked.extend_expiry(grant_period);
        }
        self.mark_authority_used();
    }

    /// Asks a server for its clock and process without granting anything.
    ///
    /// The probe is a renewal of set 0, which is never granted, so the server
    /// answers that it does not hold the set.
    fn send_probe(&mut self, id: &ServerId, now: BootTime) {
        let Some(epoch) = self.term.as_ref().map(|term| term.epoch) else {
            return;
        };
        let body = ServerOrder::Renew {
            service: self.service.clone(),
            epoch,
            set: 0,
            ttl: Duration::ZERO,
        };
        self.push_order(id, OrderKind::Probe, body, now + ORDER_WINDOW, now);
    }

    fn send_release(&mut self, id: &ServerId, authority_end: BootTime, now: BootTime) {
        let Some(tracked) = self.tracked(id) else {
            return;
        };
        if !tracked.is_reachable() || tracked.has_grant_in_flight(now) || authority_end <= now {
            return;
        }
        let shards = self.releases_due(id, now);
        if shards.is_empty() {
            return;
        }
        let Some(epoch) = self.term.as_ref().map(|term| term.epoch) else {
            return;
        };
        let body = ServerOrder::Release {
            service: self.service.clone(),
            epoch,
            shards: shards.clone(),
        };
        let kind = OrderKind::Release(shards.clone());
        let valid_until = (now + ORDER_WINDOW).min(authority_end);
        let order = self.push_order(id, kind, body, valid_until, now);
        if let Some(tracked) = self.tracked_mut(id) {
            for grant in shards {
                let key = (grant.shard, grant.token);
                tracked.releases.insert(key, ReleaseStage::Sent(order));
            }
        }
    }

    fn releases_due(&self, id: &ServerId, now: BootTime) -> Vec<ShardGrant> {
        let (Some(object), Some(tracked)) = (self.own_term_object(), self.tracked(id)) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for (index, shard) in object.state.shards.iter().enumerate() {
            let ShardState::Releasing { from, token, .. } = shard else {
                continue;
            };
            let grant = ShardGrant {
                shard: shard_id(index),
                token: *token,
            };
            let known = tracked.releases.contains_key(&(grant.shard, grant.token));
            if from == id && !known && self.may_start_release(grant.shard, now) {
                due.push(grant);
            }
        }
        due
    }

    /// Whether the old owner of a shard gets no more requests for it, so that it can release it.
    ///
    /// A server that checks tokens would reject requests that should wait for the
    /// new owner, so no host may hold a map that routes to the old one. A server
    /// that does not check tokens would process them, so no such request may be in
    /// flight either.
    fn may_start_release(&self, shard: ShardId, now: BootTime) -> bool {
        if self.is_checked() {
            self.is_unrouted(shard, now)
        } else {
            self.is_quiesced(shard, now)
        }
    }

    fn push_order(
        &mut self,
        id: &ServerId,
        kind: OrderKind,
        body: ServerOrder,
        valid_until: BootTime,
        now: BootTime,
    ) -> OrderId {
        self.last_order += 1;
        let order = OrderId(self.last_order);
        let is_release = matches!(kind, OrderKind::Release(_));
        if let Some(tracked) = self.tracked_mut(id) {
            let sent = SentOrder {
                kind,
                sent_at: now,
                valid_until,
            };
            tracked.orders.insert(order, sent);
            if !is_release {
                tracked.next_order_at = now + RENEW_INTERVAL;
            }
        }
        self.actions.push(ScopeAction::SendOrder {
            server: id.clone(),
            order,
            body,
            valid_until,
        });
        order
    }

    fn mark_authority_used(&mut self) {
        let end = self.authority_end();
        if let Some(term) = &mut self.term {
            term.authority.mark_authority_used(end);
        }
    }
}
