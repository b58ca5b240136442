//! Registered backend servers, and the handling of removed entries.
//!
//! A server may leave without a drain by just removing its entry. It then gets no new
//! work, but keeps serving the keys that it owns until they have moved. An entry also
//! disappears when the store could not accept the server's heartbeats; such a server
//! stays in use until it has had time to register again.
//!
//! A store that has lost writes returns entries that were outdated before. What a server is
//! known to have done since is therefore kept: by an entry from a backup, it does not become ready
//! again after it began to drain, an earlier start does not take the place of a later one, and
//! a server that left is not used again.
//!
//! A server announces in its answers that it is about to leave. It counts as draining from then on,
//! whatever its entry says: the store may be out of reach, or return an older entry.

use {
    super::{RemovalRule, ServerEntry, ServerPhase},
    crate::{ids::ServerId, time::BootTime},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which a server that removed its entry stays in the fleet to serve its keys.
/// Servers keep serving for about 2 s after the removal; no request may reach them later.
pub const REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time for which servers that left are remembered: longer than a backup is old.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(120);

/// Time for which announcements of servers are remembered that are no longer in the fleet: a copy of
/// the store may be hours old. An announcement takes about 100 bytes.
const ANNOUNCEMENT_MEMORY: Duration = Duration::from_secs(24 * 3600);

/// A change of the fleet, on which the host acts and which it logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// A server registered, started again under its id or changed its address.
    Joined(ServerEntry),
    /// A server began to drain and takes no new work.
    Draining(ServerId),
    /// A server whose entry is ready announces that it is about to leave.
    Announced(ServerId),
    /// A server removed its entry without a drain; it gets no new work.
    Removed(ServerId),
    /// An entry vanished around a store outage; the server stays in the fleet until this time.
    Missing(ServerId, BootTime),
    /// A server left the fleet.
    Left(ServerId),
}

#[derive(Clone, Debug)]
struct TrackedServer {
    entry: ServerEntry,
    /// When the server began to drain, announced to leave or removed its entry.
    leaving_since: Option<BootTime>,
    /// Set when the entry was removed: time at which the server leaves the fleet.
    leaves_at: Option<BootTime>,
    /// The server drains because it has announced to leave; its entry in the store is ready.
    only_announced: bool,
}

/// Word of a server that it is about to leave.
#[derive(Clone, Copy, Debug)]
struct LeavingAnnouncement {
    incarnation: u64,
    /// When this host learned of it.
    since: BootTime,
}

/// All servers known to this host, including those whose removed entry has not expired.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    servers: BTreeMap<ServerId, TrackedServer>,
    /// Start of each server that left, and when it left.
    departures: BTreeMap<ServerId, (u64, BootTime)>,
    /// Latest announcement of each server; it holds for this start of the server and earlier ones.
    announcements: BTreeMap<ServerId, LeavingAnnouncement>,
}

impl FleetView {
    /// Adds or updates the entry of a server.
    pub fn upsert(&mut self, entry: ServerEntry, now: BootTime) -> Option<FleetChange> {
        let id = entry.id.clone();
        let announced_at = self.announced_at(&id, entry.incarnation);
        let only_announced = announced_at.is_some() && entry.phase == ServerPhase::Ready;
        let entry = self.with_announcement(entry);
        let drains = entry.phase == ServerPhase::Draining;
        let since = self
            .servers
            .get(&id)
            .and_then(|server| server.leaving_since);
        let since = since.unwrap_or(now);
        let tracked = TrackedServer {
            entry: entry.clone(),
            leaves_at: None,
            leaving_since: drains.then(|| announced_at.map_or(since, |at| at.min(since))),
            only_announced,
        };
        let Some(old) = self.servers.insert(id.clone(), tracked) else {
            return Some(FleetChange::Joined(entry));
        };
        if old.entry.incarnation != entry.incarnation || old.entry.address != entry.address {
            return Some(FleetChange::Joined(entry));
        }
        let drains = old.entry.phase == ServerPhase::Ready && entry.phase == ServerPhase::Draining;
        drains.then_some(FleetChange::Draining(id))
    }

    /// Handles the removal of an entry.
    ///
    /// A server whose entry says that it drains leaves at once; for others, `rule` tells how long
    /// they stay.
    pub fn remove(
        &mut self,
        id: &ServerId,
        rule: RemovalRule,
        now: BootTime,
    ) -> Option<FleetChange> {
        let server = self.servers.get_mut(id)?;
        if server.leaves_at.is_some() {
            return None;
        }
        if server.entry.phase == ServerPhase::Draining && !server.only_announced {
            let left = (server.entry.incarnation, now);
            self.servers.remove(id);
            self.departures.insert(id.clone(), left);
            return Some(FleetChange::Left(id.clone()));
        }
        match rule {
            RemovalRule::Leaves => {
                server.entry.phase = ServerPhase::Draining;
                server.leaving_since.get_or_insert(now);
                server.leaves_at = Some(now + REMOVAL_GRACE_PERIOD);
                Some(FleetChange::Removed(id.clone()))
            }
            RemovalRule::MayReturn { until } => {
                server.leaves_at = Some(until);
                Some(FleetChange::Missing(id.clone(), until))
            }
        }
    }

    /// Replaces all entries by a complete list; `rule` applies to servers that it does not name.
    pub fn replace(
        &mut self,
        entries: Vec<ServerEntry>,
        rule: RemovalRule,
        now: BootTime,
    ) -> Vec<FleetChange> {
        let unlisted = self.unlisted(&entries);
        self.apply_list(entries, &unlisted, rule, now)
    }

    /// Applies a list of entries, which may be incomplete; `rule` applies to the servers in `removed`.
    pub fn apply_list(
        &mut self,
        entries: Vec<ServerEntry>,
        removed: &[ServerId],
        rule: RemovalRule,
        now: BootTime,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for entry in entries {
            changes.extend(self.upsert(entry, now));
        }
        for id in removed {
            changes.extend(self.remove(id, rule, now));
        }
        changes
    }

    /// What an entry from a backup of the store tells of the present: the known entry where that is
    /// later, and nothing of a server that has left.
    pub fn entry_from_backup(&self, entry: ServerEntry) -> Option<ServerEntry> {
        let left = self.departures.get(&entry.id);
        if left.is_some_and(|(incarnation, _)| entry.incarnation <= *incarnation) {
            return None;
        }
        let Some(known) = self.servers.get(&entry.id) else {
            return Some(entry);
        };
        // A server whose entry was removed, in contrast, may have registered again.
        let drains = known.entry.phase == ServerPhase::Draining && known.leaves_at.is_none();
        let is_same = known.entry.incarnation == entry.incarnation;
        let is_outdated = known.entry.incarnation > entry.incarnation || (is_same && drains);
        Some(match is_outdated {
            true => known.entry.clone(),
            false => entry,
        })
    }

    /// Records that this start of a server is about to leave.
    pub fn announce_leaving(
        &mut self,
        id: &ServerId,
        incarnation: u64,
        now: BootTime,
    ) -> Option<FleetChange> {
        let known = self.servers.get(id).map(|server| server.entry.incarnation);
        let is_outdated = known.is_some_and(|known| known > incarnation);
        if is_outdated || self.announced_at(id, incarnation).is_some() {
            return None;
        }
        let announcement = LeavingAnnouncement {
            incarnation,
            since: now,
        };
        self.announcements.insert(id.clone(), announcement);
        let server = self.servers.get_mut(id)?;
        server.leaving_since.get_or_insert(now);
        if server.entry.phase == ServerPhase::Draining {
            return None;
        }
        server.entry.phase = ServerPhase::Draining;
        server.only_announced = true;
        Some(FleetChange::Announced(id.clone()))
    }

    /// When this start of a server, or a later one, announced to leave.
    pub fn announced_at(&self, id: &ServerId, incarnation: u64) -> Option<BootTime> {
        let announcement = self.announcements.get(id)?;
        (incarnation <= announcement.incarnation).then_some(announcement.since)
    }

    /// Whether this is the last known entry of the server in the store.
    pub fn is_stored(&self, entry: &ServerEntry) -> bool {
        let Some(server) = self.servers.get(&entry.id) else {
            return false;
        };
        let mut stored = server.entry.clone();
        if server.only_announced && server.leaves_at.is_none() {
            stored.phase = ServerPhase::Ready;
        }
        stored == *entry
    }

    /// The entry as the fleet has it: a server that has announced to leave drains.
    fn with_announcement(&self, mut entry: ServerEntry) -> ServerEntry {
        if self.announced_at(&entry.id, entry.incarnation).is_some() {
            entry.phase = ServerPhase::Draining;
        }
        entry
    }

    /// Servers of the fleet that have announced to leave.
    pub fn announced(&self) -> impl Iterator<Item = &ServerEntry> {
        let announced =
            |entry: &&ServerEntry| self.announced_at(&entry.id, entry.incarnation).is_some();
        self.entries().filter(announced)
    }

    /// Whether the server drains because it has announced to leave, while its entry is ready.
    pub fn is_only_announced(&self, id: &ServerId) -> bool {
        self.servers
            .get(id)
            .is_some_and(|server| server.only_announced)
    }

    /// Known servers that `entries` does not name.
    pub fn unlisted(&self, entries: &[ServerEntry]) -> Vec<ServerId> {
        let listed: BTreeSet<&ServerId> = entries.iter().map(|entry| &entry.id).collect();
        let known = self.servers.keys();
        known.filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Removes servers whose time after the removal of their entry is over.
    pub fn expire(&mut self, now: BootTime) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let servers = &self.servers;
        self.announcements.retain(|id, announcement| {
            servers.contains_key(id) || now.since(announcement.since) < ANNOUNCEMENT_MEMORY
        });
        self.departures
            .retain(|_, (_, left_at)| now.since(*left_at) < DEPARTURE_MEMORY);
        let departures = &mut self.departures;
        self.servers.retain(|id, server| {
            let is_expired = server.leaves_at.is_some_and(|at| now >= at);
            if is_expired {
                changes.push(FleetChange::Left(id.clone()));
                departures.insert(id.clone(), (server.entry.incarnation, now));
            }
            !is_expired
        });
        changes
    }

    /// Entry of a server of the fleet.
    pub fn get(&self, id: &ServerId) -> Option<&ServerEntry> {
        self.servers.get(id).map(|server| &server.entry)
    }

    /// Whether this start of the server, or a later one, is in the fleet or has left it.
    pub fn has_known(&self, id: &ServerId, incarnation: u64) -> bool {
        let listed = self.get(id).map(|entry| entry.incarnation);
        let left = self.departures.get(id).map(|(incarnation, _)| *incarnation);
        listed.max(left).is_some_and(|known| known >= incarnation)
    }

    /// Time at which the server began to drain, announced to leave or removed its entry; `None` if
    /// it did none of these.
    pub fn leaving_since(&self, id: &ServerId) -> Option<BootTime> {
        self.servers.get(id)?.leaving_since
    }

    /// Entries of all servers of the fleet, in order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|server| &server.entry)
    }
}
