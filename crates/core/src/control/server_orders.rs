//! Grants, renewals and releases, and what their answers say about servers.

use {
    super::{
        OrderId, ScopeAction, ServerFailure, ServerOrder, ServerReply, ServerResult, ShardGrant,
        controller_term::ControllerTerm,
        scope_machine::ScopeMachine,
        server_track::{
            GrantTerms, OrderKind, ReleaseStage, SentOrder, ServerContact, ServerTrack,
        },
    },
    crate::{
        conf::FencingMode,
        ids::{FencingToken, ServerId, ShardId},
        map::ServerPhase,
        scope::{ScopeState, ShardState},
        time::{BootTime, ORDER_WINDOW, RENEW_INTERVAL},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Interval of orders to a server that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an order without an answer counts as failed.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The same for a release, whose answer waits for the server's running work.
const RELEASE_LIMIT: Duration = Duration::from_secs(30);

impl ScopeMachine {
    /// Servers of the configuration and servers that still own shards.
    pub(super) fn server_ids(&self) -> BTreeSet<ServerId> {
        let mut ids: BTreeSet<ServerId> = BTreeSet::new();
        for server in self.spec.iter().flat_map(|spec| &spec.service.servers) {
            ids.insert(server.id.clone());
        }
        let shards = self.state().map(|state| state.shards.as_slice());
        for shard in shards.unwrap_or_default() {
            match shard {
                ShardState::Unowned => {}
                ShardState::Owned { server, .. } => {
                    ids.insert(server.clone());
                }
                ShardState::Releasing { from, .. } => {
                    ids.insert(from.clone());
                }
            }
        }
        ids
    }

    /// Keeps a track for each server and notices servers that are lost.
    pub(super) fn drive_servers(&mut self, now: BootTime) {
        if self.dirty {
            let ids = self.server_ids();
            let Some(term) = &mut self.term else {
                return;
            };
            term.keep_tracks(&ids);
        }
        let Some(term) = &mut self.term else {
            return;
        };
        let gained = term.gained_at.is_some();
        for track in term.servers.values_mut() {
            if track.expire_orders(now) {
                self.dirty = true;
            }
            let lapsed = gained && now > track.expiry;
            if lapsed
                && matches!(
                    track.contact,
                    ServerContact::Unknown | ServerContact::Suspect
                )
            {
                track.contact = ServerContact::Lost;
                track.forget_set();
                self.dirty = true;
            }
        }
    }

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
        let retry = track.contact != ServerContact::Up;
        if now < track.next_at && (!changed || retry) {
            return;
        }
        let may_grant = track.is_reached() && authority_end > now;
        let terms = track.terms(authority_end, now);
        match terms {
            Some(terms) if may_grant && changed => self.send_grant(id, needed, terms, now),
            Some(terms) if may_grant => self.send_renewal(id, terms, now),
            _ => self.send_probe(id, now),
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

    /// A server that checks no tokens still runs requests sent under old maps.
    ///
    /// So its shard is released only once no live map names it.
    fn may_start_release(&self, shard: ShardId, now: BootTime) -> bool {
        self.is_checked() || self.is_unnamed(shard, now)
    }

    pub(super) fn is_checked(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| spec.service.fencing == FencingMode::Checked)
    }

    pub(super) fn is_unnamed(&self, shard: ShardId, now: BootTime) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.maps.is_unnamed(shard, now))
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
                if track.take_reply(order, &sent, &reply, now) {
                    self.dirty = true;
                }
            }
            Err(failure) => {
                track.take_failure(&sent, failure, now);
                self.dirty = true;
            }
        }
    }

    /// Set of shards that each server should hold a grant for.
    ///
    /// While a write is pending, a shard counts only if its owner keeps it in
    /// both the old and the new content.
    fn needed_sets(&self) -> BTreeMap<ServerId, Vec<ShardGrant>> {
        let mut sets: BTreeMap<ServerId, Vec<ShardGrant>> = BTreeMap::new();
        let Some(object) = self.held() else {
            return sets;
        };
        let pending = self.writer.pending_state();
        for (index, shard) in object.state.shards.iter().enumerate() {
            let Some((server, token)) = holder(shard) else {
                continue;
            };
            let kept = pending.is_none_or(|state| keeps(state, index, server, token));
            let id = shard_id(index);
            let released = self
                .track(server)
                .is_some_and(|track| track.is_released(id, token));
            if kept && !released {
                let grant = ShardGrant { shard: id, token };
                sets.entry(server.clone()).or_default().push(grant);
            }
        }
        sets
    }

    pub(super) fn track(&self, id: &ServerId) -> Option<&ServerTrack> {
        self.term.as_ref()?.servers.get(id)
    }

    fn track_mut(&mut self, id: &ServerId) -> Option<&mut ServerTrack> {
        self.term.as_mut()?.servers.get_mut(id)
    }

    /// Phase of a server, as routing sees it.
    pub(super) fn phase(&self, id: &ServerId) -> ServerPhase {
        let Some(track) = self.track(id) else {
            return ServerPhase::Lost;
        };
        match track.contact {
            ServerContact::Lost => ServerPhase::Lost,
            ServerContact::Unknown | ServerContact::Suspect => ServerPhase::Suspect,
            ServerContact::Up if self.is_draining(id) => ServerPhase::Draining,
            ServerContact::Up => ServerPhase::Ready,
        }
    }

    /// Whether a server's shards should move away although it answers.
    pub(super) fn is_draining(&self, id: &ServerId) -> bool {
        let configured = self.spec.as_ref().is_some_and(|spec| {
            let listed = spec.service.servers.iter().any(|server| server.id == *id);
            listed && !spec.drained.contains(id)
        });
        let reported = self.track(id).is_some_and(|track| track.report.draining);
        !configured || reported || self.leaving_servers.contains(id)
    }
}

impl ControllerTerm {
    fn keep_tracks(&mut self, ids: &BTreeSet<ServerId>) {
        self.servers.retain(|id, _| ids.contains(id));
        for id in ids {
            if !self.servers.contains_key(id) {
                let track = ServerTrack::new(self.old_end);
                self.servers.insert(id.clone(), track);
            }
        }
    }
}

impl ServerTrack {
    /// Treats orders without an answer as failed; returns whether there was one.
    fn expire_orders(&mut self, now: BootTime) -> bool {
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
    fn take_reply(
        &mut self,
        order: OrderId,
        sent: &SentOrder,
        reply: &ServerReply,
        now: BootTime,
    ) -> bool {
        let before = (self.contact, self.acknowledged, self.report.draining);
        self.note_process(order, reply.report.process);
        self.report = reply.report.clone();
        let held = matches!(reply.result, ServerResult::Done | ServerResult::UnknownSet);
        if held {
            self.contact = ServerContact::Up;
            self.cap = None;
        }
        match &sent.kind {
            OrderKind::Probe => self.next_at = if held { now } else { now + RETRY_INTERVAL },
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

/// Server that may hold a grant for a shard.
fn holder(shard: &ShardState) -> Option<(&ServerId, FencingToken)> {
    match shard {
        ShardState::Unowned => None,
        ShardState::Owned { server, token } => Some((server, *token)),
        ShardState::Releasing { from, token, .. } => Some((from, *token)),
    }
}

fn keeps(state: &ScopeState, index: usize, server: &ServerId, token: FencingToken) -> bool {
    state
        .shards
        .get(index)
        .and_then(holder)
        .is_some_and(|kept| kept == (server, token))
}

pub(super) fn shard_id(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}
