//! Server entries that this host knows, and versions through which it has followed the store.

use {
    super::{FleetUpdate, HostState, SeenVersions, StoreKind, VersionSpan, host_state::StateInner},
    camphorcove_core::{
        dispatch::ServerGauge,
        fleet::{FleetChange, FleetView, RemovalRule, ServerEntry, ServerPhase},
        ids::{ServerId, StoreVersion},
        time::BootTime,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Longest time by which a change is backdated to the last digest before it. Together with
/// the time for which a leaving server is still used, it stays below 2 s.
const MAX_BACKDATE: Duration = Duration::from_millis(700);

/// Age that data of a stale read may have: several times the usual few seconds.
const STALE_READ_MAX_AGE: Duration = Duration::from_secs(20);

/// What a list of server entries says of servers that it does not name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// They have no entry.
    Complete,
    /// Nothing, except that these have none that names a server.
    Partial {
        /// Ids of entries that cannot be used, whether or not a server is known by them.
        removed: Vec<ServerId>,
    },
}

impl HostState {
    /// Applies changes of server entries from this host's own watch, up to version `to`.
    pub fn apply_watched_changes(
        &self,
        put: Vec<ServerEntry>,
        removed: Vec<ServerId>,
        to: StoreVersion,
    ) {
        let from = self.lock().fleet_log_end;
        self.update_fleet(FleetUpdate {
            from,
            to,
            put,
            removed,
        });
    }

    /// Applies an update of server entries and logs what changed.
    ///
    /// Ignores an update that is old or leaves a gap after the known version, and returns
    /// `false` for it.
    pub fn update_fleet(&self, update: FleetUpdate) -> bool {
        let now = self.now();
        self.record_store_epoch(update.to);
        let mut inner = self.lock();
        let through = inner.seen_through.get(StoreKind::Fleet);
        if through < update.from || through >= update.to {
            return false;
        }
        let rule = inner.removal_rule(update.removed.len(), now);
        let earliest_change_at = inner.earliest_change_at(now);
        let is_from_backup = update.from.epoch < update.to.epoch;
        let fleet = Arc::make_mut(&mut inner.fleet);
        let mut changes = Vec::new();
        for entry in &update.put {
            let entry = match is_from_backup {
                true => fleet.entry_from_backup(entry.clone()),
                false => Some(entry.clone()),
            };
            let Some(entry) = entry else {
                continue;
            };
            changes.extend(fleet.upsert(entry, earliest_change_at));
        }
        for id in &update.removed {
            changes.extend(fleet.remove(id, rule, earliest_change_at));
        }
        inner.apply_changes(&changes, now);
        inner.receive_warmups(&update.put, now);
        inner.seen_through.advance(StoreKind::Fleet, update.to);
        inner.own_versions.advance(StoreKind::Fleet, update.to);
        inner.fleet_log_end = update.to;
        inner.fleet_log.push(update);
        true
    }

    /// Replaces all server entries by a complete list from the store.
    pub fn replace_fleet(&self, entries: Vec<ServerEntry>, span: VersionSpan) {
        self.apply_fleet_list(entries, ListScope::Complete, span);
    }

    /// Applies a list of server entries from the store.
    pub fn apply_fleet_list(&self, entries: Vec<ServerEntry>, scope: ListScope, span: VersionSpan) {
        let now = self.now();
        let mut inner = self.lock();
        let mut entries = entries;
        if inner.fleet_listed && span.from.epoch < span.through.epoch {
            let known = inner.fleet.clone();
            entries = entries
                .into_iter()
                .filter_map(|entry| known.entry_from_backup(entry))
                .collect();
        }
        let removed = match scope {
            ListScope::Complete => inner.fleet.unlisted(&entries),
            ListScope::Partial { mut removed } => {
                removed.retain(|id| inner.fleet.get(id).is_some());
                removed
            }
        };
        let rule = inner.removal_rule(removed.len(), now);
        let known = inner.fleet.clone();
        let differs = |entry: &&ServerEntry| !known.is_stored(entry);
        let put: Vec<ServerEntry> = entries.iter().filter(differs).cloned().collect();
        let fleet = Arc::make_mut(&mut inner.fleet);
        let changes = fleet.apply_list(entries, &removed, rule, now);
        inner.fleet_listed = true;
        inner.apply_changes(&changes, now);
        inner.receive_warmups(&put, now);
        // A removal that no watch showed may be newer than every listed object.
        let to = match removed.is_empty() {
            true => span.newest,
            false => span.through,
        };
        inner.seen_through.advance(StoreKind::Fleet, span.through);
        inner.own_versions.advance(StoreKind::Fleet, to);
        let from = inner.fleet_log_end;
        if from == StoreVersion::default() {
            // The first list does not show earlier removals, so no update leads to it.
            inner.fleet_log_end = span.through;
        } else if to > from {
            inner.fleet_log_end = to;
            inner.fleet_log.push(FleetUpdate {
                from,
                to,
                put,
                removed,
            });
        }
    }

    /// Updates after `version`, or none if the log does not reach back that far.
    pub fn fleet_updates(&self, version: StoreVersion) -> Vec<Arc<FleetUpdate>> {
        self.lock().fleet_log.since(version)
    }

    /// Version through which this host knows all changes of a kind.
    pub fn seen_through(&self, kind: StoreKind) -> StoreVersion {
        self.lock().seen_through.get(kind)
    }

    /// Records a digest of the leader; `must_watch` says that it tells this host to watch the
    /// store.
    pub fn record_digest(&self, must_watch: bool) {
        let now = self.now();
        let mut inner = self.lock();
        inner.feed.record_digest(must_watch, now);
        if inner.seen_through.get(StoreKind::Fleet) >= inner.peer_versions.get(StoreKind::Fleet) {
            inner.last_in_sync_at = now;
        }
        drop(inner);
        if must_watch {
            self.versions_changed.notify_waiters();
        }
    }

    /// Sets whether this host is the leader; a leader watches the store.
    pub fn set_is_leader(&self, is_leader: bool) {
        self.is_leader.store(is_leader, Ordering::Relaxed);
        if is_leader {
            let now = self.now();
            self.lock().feed.start_store_watch(now);
            self.versions_changed.notify_waiters();
        }
    }

    /// Whether this host is the leader.
    pub fn is_leader(&self) -> bool {
        self.is_leader.load(Ordering::Relaxed)
    }

    /// Whether this host has to watch the store although digests arrive.
    pub fn watches_store(&self) -> bool {
        self.lock().feed.watching_since().is_some()
    }

    /// Time for which this host may rely on the leader's digests for changes of a kind; zero if it has
    /// to watch the store.
    pub fn feed_time_left(&self, kind: StoreKind) -> Duration {
        let now = self.now();
        let inner = self.lock();
        match kind {
            StoreKind::Evacuations if !inner.evacuations.in_digests() => Duration::ZERO,
            _ => inner.feed.time_left(now),
        }
    }

    /// Records that the store has answered a call of this host.
    pub fn record_store_success(&self) {
        let now = self.now();
        self.lock().store_contact.record_success(now);
    }

    /// Records that a call of this host to the store has failed.
    pub fn record_store_failure(&self) {
        let now = self.now();
        self.lock().store_contact.record_failure(now);
    }

    /// Whether the store is out of this host's reach, as far as its last calls tell.
    pub fn lacks_store(&self) -> bool {
        let now = self.now();
        let inner = self.lock();
        inner
            .store_contact
            .is_lost(inner.feed.watching_since(), now)
    }

    /// Records a version of the store; a later epoch than before means that it has lost writes, which
    /// servers and operators write again.
    pub fn record_store_epoch(&self, version: StoreVersion) {
        let now = self.now();
        let mut inner = self.lock();
        let known = inner.store_epoch.replace(version.epoch);
        if known.is_none_or(|known| known >= version.epoch) {
            inner.store_epoch = known.max(Some(version.epoch));
            return;
        }
        inner.lost_writes_at = Some(now);
        inner.outage_guard.record_store_recovery(now);
        let versions = inner.own_versions;
        log::warn!(epoch:? = known, now_at:% = version, seen:? = versions; "store has lost writes");
    }

    /// Epoch of the store, as far as this host knows.
    pub fn store_epoch(&self) -> u64 {
        self.lock().store_epoch.unwrap_or_default()
    }

    /// Whether a stale read of the store may return changes that the store has lost.
    pub fn has_lost_writes_recently(&self) -> bool {
        let now = self.now();
        let lost_at = self.lock().lost_writes_at;
        lost_at.is_some_and(|lost_at| now.since(lost_at) < STALE_READ_MAX_AGE)
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&self) {
        let now = self.now();
        self.lock().outage_guard.record_store_recovery(now);
    }

    /// Drops servers whose entries were removed and whose grace period is over.
    pub fn expire_fleet(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let changes = Arc::make_mut(&mut inner.fleet).expire(now);
        inner.apply_changes(&changes, now);
    }

    /// Snapshot of the known servers.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.lock().fleet.clone()
    }

    /// Records that all changes of a kind within the span have been seen.
    pub fn record_seen(&self, kind: StoreKind, span: VersionSpan) {
        let now = self.now();
        let mut inner = self.lock();
        if kind == StoreKind::Evacuations {
            inner.evacuations.confirm(span, now);
        }
        inner.seen_through.advance(kind, span.through);
        inner.own_versions.advance(kind, span.newest);
    }

    /// Records that an object was seen at `version`, for a kind that has only one object.
    pub fn record_version(&self, kind: StoreKind, version: StoreVersion) {
        let span = VersionSpan {
            from: version,
            through: version,
            newest: version,
        };
        self.record_seen(kind, span);
    }

    /// Version of the newest change of each kind that this host has seen.
    pub fn versions(&self) -> SeenVersions {
        self.lock().own_versions
    }

    /// Version of each kind through which this host knows all changes.
    pub fn followed_versions(&self) -> SeenVersions {
        self.lock().seen_through
    }

    /// Version of the newest change of a kind that other hosts have seen.
    pub fn peer_version(&self, kind: StoreKind) -> StoreVersion {
        self.lock().peer_versions.get(kind)
    }

    /// Merges the newest versions that other hosts have seen.
    pub fn set_peer_versions(&self, versions: &SeenVersions) {
        let mut inner = self.lock();
        let before = inner.peer_versions;
        inner.peer_versions.merge(versions);
        let changed = inner.peer_versions != before;
        let heard = before.get(StoreKind::Owners);
        if heard.epoch < inner.peer_versions.get(StoreKind::Owners).epoch {
            inner.remember_owners(heard);
        }
        drop(inner);
        if changed {
            self.versions_changed.notify_waiters();
        }
    }

    /// Version of the newest change of a kind that other hosts have seen and this one has not.
    pub fn missing_version(&self, kind: StoreKind) -> Option<StoreVersion> {
        let inner = self.lock();
        let newest = inner.peer_versions.get(kind);
        (inner.seen_through.get(kind) < newest).then_some(newest)
    }

    /// Whether other hosts have seen a change of the kind that this one has not.
    pub fn is_behind(&self, kind: StoreKind) -> bool {
        self.missing_version(kind).is_some()
    }
}

impl StateInner {
    /// Earliest time at which a change that arrives now may have happened.
    fn earliest_change_at(&self, now: BootTime) -> BootTime {
        match self.feed.watching_since() {
            Some(_) => now,
            None => now.minus(MAX_BACKDATE.min(now.since(self.last_in_sync_at))),
        }
    }

    /// Whether the configuration, if one is known, has the service of the entry. Another program may write
    /// entries of other services; they name no server to use.
    pub(super) fn is_configured(&self, entry: &ServerEntry) -> bool {
        let table = self.table.as_ref();
        table.is_none_or(|table| table.services.contains_key(&entry.service))
    }

    /// What the removal of `removed` entries means: an outage of the store removes many at once.
    fn removal_rule(&self, removed: usize, now: BootTime) -> RemovalRule {
        let entries = self.fleet.entries();
        let ready =
            entries.filter(|entry| entry.phase == ServerPhase::Ready && self.is_configured(entry));
        self.outage_guard.rule(removed, ready.count(), now)
    }

    /// Creates and removes load gauges to match the changes, and logs the changes.
    pub(super) fn apply_changes(&mut self, changes: &[FleetChange], now: BootTime) {
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
                    log::info!(server = id.as_str(); "server is draining");
                }
                FleetChange::Announced(id) => {
                    log::info!(server = id.as_str(); "server announces that it leaves, sending no new requests");
                }
                FleetChange::Removed(id) => {
                    log::info!(server = id.as_str(); "server entry removed, sending no new requests");
                }
                FleetChange::Missing(id, until) => {
                    let held_ms = until.since(now).as_millis();
                    log::info!(
                        server = id.as_str(),
                        held_ms:% = held_ms;
                        "server entry missing, possibly after a store outage; keeping the server for held_ms"
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
