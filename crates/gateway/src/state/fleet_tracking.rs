//! What this host knows of servers, and how far it has followed the store.

use {
    super::{
        FleetUpdate, HostState, RevisionSpan, SeenRevisions, StoreKind, host_state::StateInner,
    },
    camphorcove_core::{
        dispatch::ServerGauge,
        fleet::{FleetChange, FleetView, RemovalRule, ServerEntry, ServerPhase},
        ids::ServerId,
        time::BootTime,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Longest time by which a change is dated back to the last digest before it: together
/// with the time for which a leaving server is still used, it stays below 2 s.
const BLIND_LIMIT: Duration = Duration::from_millis(700);

impl HostState {
    /// Takes changes of servers that this host's own watch shows, up to revision `to`.
    pub fn change_fleet(&self, put: Vec<ServerEntry>, removed: Vec<ServerId>, to: u64) {
        let from = self.lock().fleet_from;
        self.update_fleet(FleetUpdate {
            from,
            to,
            put,
            removed,
        });
    }

    /// Takes changes of servers; logs what changed.
    ///
    /// A change that does not continue what this host knows is left out.
    pub fn update_fleet(&self, update: FleetUpdate) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let through = inner.seen_through.get(StoreKind::Fleet);
        if through < update.from || through >= update.to {
            return false;
        }
        let rule = inner.removal_rule(update.removed.len(), now);
        let known_at = inner.known_at(now);
        let fleet = Arc::make_mut(&mut inner.fleet);
        let mut changes = Vec::new();
        for entry in &update.put {
            changes.extend(fleet.put(entry.clone(), known_at));
        }
        for id in &update.removed {
            changes.extend(fleet.remove(id, rule, known_at));
        }
        inner.apply_changes(&changes, now);
        inner.seen_through.advance(StoreKind::Fleet, update.to);
        inner.own_revisions.advance(StoreKind::Fleet, update.to);
        inner.fleet_from = update.to;
        inner.fleet_log.push(update);
        true
    }

    /// Replaces all entries of servers by a list of the store.
    pub fn replace_fleet(&self, entries: Vec<ServerEntry>, span: RevisionSpan) {
        let now = self.now();
        let mut inner = self.lock();
        let removed = inner.fleet.unlisted(&entries);
        let rule = inner.removal_rule(removed.len(), now);
        let known = inner.fleet.clone();
        let differs = |entry: &&ServerEntry| known.get(&entry.id) != Some(*entry);
        let put: Vec<ServerEntry> = entries.iter().filter(differs).cloned().collect();
        let changes = Arc::make_mut(&mut inner.fleet).replace(entries, rule, now);
        inner.fleet_listed = true;
        inner.apply_changes(&changes, now);
        // Only a removal that no watch showed is newer than all objects of the list.
        let to = match removed.is_empty() {
            true => span.newest,
            false => span.through,
        };
        inner.seen_through.advance(StoreKind::Fleet, span.through);
        inner.own_revisions.advance(StoreKind::Fleet, to);
        let from = inner.fleet_from;
        if from == 0 {
            // The first list does not tell what was removed before it.
            inner.fleet_from = span.through;
        } else if to > from {
            inner.fleet_from = to;
            inner.fleet_log.push(FleetUpdate {
                from,
                to,
                put,
                removed,
            });
        }
    }

    /// Changes of servers that lead on from `revision`, as far as they are known.
    pub fn fleet_updates(&self, revision: u64) -> Vec<Arc<FleetUpdate>> {
        self.lock().fleet_log.since(revision)
    }

    /// Revision through which this host has followed a kind.
    pub fn seen_through(&self, kind: StoreKind) -> u64 {
        self.lock().seen_through.get(kind)
    }

    /// Notes a digest of the leader, which says whether this host is to watch the store.
    pub fn note_digest(&self, direct: bool) {
        let now = self.now();
        let mut inner = self.lock();
        inner.feed.note_digest(direct, now);
        if inner.seen_through.get(StoreKind::Fleet) >= inner.peer_revisions.get(StoreKind::Fleet) {
            inner.current_at = now;
        }
        drop(inner);
        if direct {
            self.revisions_changed.notify_waiters();
        }
    }

    /// Sets whether this host is the leader; a leader watches the store.
    pub fn set_is_leader(&self, is_leader: bool) {
        self.is_leader.store(is_leader, Ordering::Relaxed);
        if is_leader {
            self.lock().feed.start_store_watch();
            self.revisions_changed.notify_waiters();
        }
    }

    /// Whether this host is the leader.
    pub fn is_leader(&self) -> bool {
        self.is_leader.load(Ordering::Relaxed)
    }

    /// Whether this host watches the store although digests arrive.
    pub fn watches_store(&self) -> bool {
        self.lock().feed.watches_store()
    }

    /// Time for which the leader's digests suffice; zero if this host must watch the store.
    pub fn feed_time_left(&self) -> Duration {
        let now = self.now();
        self.lock().feed.time_left(now)
    }

    /// Notes that the store answers again after an outage.
    pub fn note_store_returned(&self) {
        let now = self.now();
        self.lock().outage_guard.store_returned(now);
    }

    /// Drops servers whose removal has been confirmed by time.
    pub fn expire_fleet(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let changes = Arc::make_mut(&mut inner.fleet).expire(now);
        inner.apply_changes(&changes, now);
    }

    /// Servers as known now.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.lock().fleet.clone()
    }

    /// Notes how far a kind was followed.
    pub fn note_seen(&self, kind: StoreKind, span: RevisionSpan) {
        let mut inner = self.lock();
        inner.seen_through.advance(kind, span.through);
        inner.own_revisions.advance(kind, span.newest);
    }

    /// Notes that an object was seen as of `revision`.
    pub fn note_revision(&self, kind: StoreKind, revision: u64) {
        let span = RevisionSpan {
            from: revision,
            through: revision,
            newest: revision,
        };
        self.note_seen(kind, span);
    }

    /// Revision of the newest change of each kind that this host has seen.
    pub fn revisions(&self) -> SeenRevisions {
        self.lock().own_revisions
    }

    /// Revision of each kind through which this host has followed the store.
    pub fn followed_revisions(&self) -> SeenRevisions {
        self.lock().seen_through
    }

    /// Revision of the newest change of a kind that other hosts have seen.
    pub fn peer_revision(&self, kind: StoreKind) -> u64 {
        self.lock().peer_revisions.get(kind)
    }

    /// Merges the newest revisions that other hosts have seen.
    pub fn set_peer_revisions(&self, revisions: &SeenRevisions) {
        let mut inner = self.lock();
        let before = inner.peer_revisions;
        inner.peer_revisions.merge(revisions);
        let changed = inner.peer_revisions != before;
        drop(inner);
        if changed {
            self.revisions_changed.notify_waiters();
        }
    }

    /// Whether other hosts have seen a change of the kind that this one has not.
    pub fn is_behind(&self, kind: StoreKind) -> bool {
        let inner = self.lock();
        inner.seen_through.get(kind) < inner.peer_revisions.get(kind)
    }
}

impl StateInner {
    /// When a change that is learned now may have happened, at the earliest.
    fn known_at(&self, now: BootTime) -> BootTime {
        match self.feed.watches_store() {
            true => now,
            false => now.minus(BLIND_LIMIT.min(now.since(self.current_at))),
        }
    }

    fn removal_rule(&self, removed: usize, now: BootTime) -> RemovalRule {
        let entries = self.fleet.entries();
        let ready = entries.filter(|entry| entry.phase == ServerPhase::Ready);
        self.outage_guard.rule(removed, ready.count(), now)
    }

    fn apply_changes(&mut self, changes: &[FleetChange], now: BootTime) {
        for change in changes {
            match change {
                FleetChange::Joined(entry) => {
                    let gauge = ServerGauge::new(entry.slots, entry.warmup, now);
                    self.gauges.insert(entry.id.clone(), gauge);
                    log::info!(
                        server = entry.id.as_str(),
                        service = entry.service.as_str(),
                        incarnation = entry.incarnation,
                        address:% = entry.address;
                        "server joined"
                    );
                }
                FleetChange::Draining(id) => {
                    log::info!(server = id.as_str(); "server drains");
                }
                FleetChange::Removed(id) => {
                    log::info!(server = id.as_str(); "server entry removed, no new requests");
                }
                FleetChange::Missing(id, until) => {
                    let held_ms = until.since(now).as_millis();
                    log::info!(
                        server = id.as_str(),
                        held_ms:% = held_ms;
                        "server entry missing after an outage, held for a moment"
                    );
                }
                FleetChange::Left(id) => {
                    self.gauges.remove(id);
                    log::info!(server = id.as_str(); "server left");
                }
            }
        }
    }
}
