//! Entries of servers, and what the removal of an entry means.
//!
//! A server that leaves may only remove its entry: it gets no new work then, but goes on
//! serving the keys that it owns until they have moved. An entry also disappears when
//! the store could not take its heartbeats; such a server counts as before until
//! it has had time to come back.

use {
    super::{RemovalRule, ServerEntry, ServerPhase},
    crate::{ids::ServerId, time::BootTime},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which a server that removed its entry may still serve its keys: servers do
/// so for about 2 s, and no request may reach them later.
pub const REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(1_000);

/// A change that a host acts on and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// A server is new, or the id has a new incarnation.
    Joined(ServerEntry),
    /// A server takes no new work any more.
    Draining(ServerId),
    /// A server removed its entry without a drain; it takes no new work any more.
    Removed(ServerId),
    /// An entry vanished around an outage of the store; the server counts until then.
    Missing(ServerId, BootTime),
    /// A server is gone.
    Left(ServerId),
}

#[derive(Clone, Debug)]
struct FleetSlot {
    entry: ServerEntry,
    draining_since: Option<BootTime>,
    /// The entry is removed, and the server no longer counts from then on.
    gone_at: Option<BootTime>,
}

/// Servers by id.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    slots: BTreeMap<ServerId, FleetSlot>,
}

impl FleetView {
    /// Takes one entry.
    pub fn put(&mut self, entry: ServerEntry, now: BootTime) -> Option<FleetChange> {
        let id = entry.id.clone();
        let drains = entry.phase == ServerPhase::Draining;
        let since = self.slots.get(&id).and_then(|slot| slot.draining_since);
        let fresh = FleetSlot {
            entry: entry.clone(),
            gone_at: None,
            draining_since: drains.then(|| since.unwrap_or(now)),
        };
        let Some(old) = self.slots.insert(id.clone(), fresh) else {
            return Some(FleetChange::Joined(entry));
        };
        if old.entry.incarnation != entry.incarnation || old.entry.address != entry.address {
            return Some(FleetChange::Joined(entry));
        }
        let drains = old.entry.phase == ServerPhase::Ready && entry.phase == ServerPhase::Draining;
        drains.then_some(FleetChange::Draining(id))
    }

    /// Takes a removal.
    pub fn remove(
        &mut self,
        id: &ServerId,
        rule: RemovalRule,
        now: BootTime,
    ) -> Option<FleetChange> {
        let slot = self.slots.get_mut(id)?;
        if slot.gone_at.is_some() {
            return None;
        }
        if slot.entry.phase == ServerPhase::Draining {
            self.slots.remove(id);
            return Some(FleetChange::Left(id.clone()));
        }
        match rule {
            RemovalRule::Leaves => {
                slot.entry.phase = ServerPhase::Draining;
                slot.draining_since = Some(now);
                slot.gone_at = Some(now + REMOVAL_GRACE_PERIOD);
                Some(FleetChange::Removed(id.clone()))
            }
            RemovalRule::MayReturn { until } => {
                slot.gone_at = Some(until);
                Some(FleetChange::Missing(id.clone(), until))
            }
        }
    }

    /// Replaces all entries by a complete list.
    pub fn replace(
        &mut self,
        entries: Vec<ServerEntry>,
        rule: RemovalRule,
        now: BootTime,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let unlisted = self.unlisted(&entries);
        for entry in entries {
            changes.extend(self.put(entry, now));
        }
        for id in unlisted {
            changes.extend(self.remove(&id, rule, now));
        }
        changes
    }

    /// Servers that a complete list does not name.
    pub fn unlisted(&self, entries: &[ServerEntry]) -> Vec<ServerId> {
        let listed: BTreeSet<&ServerId> = entries.iter().map(|entry| &entry.id).collect();
        let known = self.slots.keys();
        known.filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Drops removed servers whose grace period is over.
    pub fn expire(&mut self, now: BootTime) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        self.slots.retain(|id, slot| {
            let over = slot.gone_at.is_some_and(|at| now >= at);
            if over {
                changes.push(FleetChange::Left(id.clone()));
            }
            !over
        });
        changes
    }

    /// A server that still counts.
    pub fn get(&self, id: &ServerId) -> Option<&ServerEntry> {
        self.slots.get(id).map(|slot| &slot.entry)
    }

    /// Since when the server is known to leave.
    pub fn leaving_since(&self, id: &ServerId) -> Option<BootTime> {
        self.slots.get(id)?.draining_since
    }

    /// All servers that still count.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.slots.values().map(|slot| &slot.entry)
    }
}
