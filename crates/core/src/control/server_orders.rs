//! Sending grants, renewals, probes and releases.

use {
    super::{
        OrderId, ScopeAction, ServerOrder, ShardGrant,
        scope_machine::ScopeMachine,
        server_track::{GrantTerms, OrderKind, ReleaseStage, SentOrder, ServerContact},
        server_view::shard_id,
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
            .filter(|(_, track)| sets.is_some() || now >= track.next_at)
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
        let Some(track) = self.track(id) else {
            return;
        };
        if track.is_waiting() {
            return;
        }
        let changed = track.granted != needed || !track.acknowledged;
        let due = now >= track.next_at;
        let at_once = changed && track.contact == ServerContact::Up;
        let terms = match track.is_reached() && authority_end > now {
            true => track.terms(authority_end, now),
            false => None,
        };
        match terms {
            Some(terms) if changed && (due || at_once) => self.send_grant(id, needed, terms, now),
            Some(terms) if due => self.send_renewal(id, terms, now),
            None if due => self.send_probe(id, now),
            _ => {}
        }
    }

    fn send_grant(
        &mut self,
        id: &ServerId,
        shards: Vec<ShardGrant>,
        terms: GrantTerms,
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
            ttl: terms.ttl,
        };
        let order = self.push_order(id, OrderKind::Grant, body, terms.valid_until, now);
        if let Some(track) = self.track_mut(id) {
            track.set = set;
            track.granted = shards;
            track.acknowledged = false;
            track.last_grant = order;
            track.extend(terms);
        }
        self.mark_used();
    }

    fn send_renewal(&mut self, id: &ServerId, terms: GrantTerms, now: BootTime) {
        let Some(epoch) = self.term.as_ref().map(|term| term.epoch) else {
            return;
        };
        let Some(set) = self.track(id).map(|track| track.set) else {
            return;
        };
        let body = ServerOrder::Renew {
            service: self.service.clone(),
            epoch,
            set,
            ttl: terms.ttl,
        };
        self.push_order(id, OrderKind::Renew, body, terms.valid_until, now);
        if let Some(track) = self.track_mut(id) {
            track.extend(terms);
        }
        self.mark_used();
    }

    /// Asks a server for its clock and process without granting anything.
    ///
    /// Set 0 is never granted, so the server answers that it does not hold it.
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
        let Some(track) = self.track(id) else {
            return;
        };
        if !track.is_reached() || track.has_unsettled_grant(now) || authority_end <= now {
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
        if let Some(track) = self.track_mut(id) {
            for grant in shards {
                let key = (grant.shard, grant.token);
                track.releases.insert(key, ReleaseStage::Sent(order));
            }
        }
    }

    fn releases_due(&self, id: &ServerId, now: BootTime) -> Vec<ShardGrant> {
        let (Some(object), Some(track)) = (self.held(), self.track(id)) else {
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
            let known = track.releases.contains_key(&(grant.shard, grant.token));
            if from == id && !known && self.may_start_release(grant.shard, now) {
                due.push(grant);
            }
        }
        due
    }

    /// A shard is released only once its old owner gets no more requests for it.
    ///
    /// A server that checks tokens would refuse requests that should wait, so no
    /// host may hold a map that names it. A server that checks none would run
    /// them, so no such request may be under way either.
    fn may_start_release(&self, shard: ShardId, now: BootTime) -> bool {
        if self.is_checked() {
            self.is_unheld(shard, now)
        } else {
            self.is_unnamed(shard, now)
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
        if let Some(track) = self.track_mut(id) {
            let sent = SentOrder {
                kind,
                sent_at: now,
                valid_until,
            };
            track.orders.insert(order, sent);
            if !is_release {
                track.next_at = now + RENEW_INTERVAL;
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

    fn mark_used(&mut self) {
        let end = self.authority_end();
        if let Some(term) = &mut self.term {
            term.authority.mark_used(end);
        }
    }
}
