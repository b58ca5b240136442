//! Entries of servers with the delay before a removal counts.
//!
//! An entry also disappears when the store could not take its heartbeats for a
//! while. Such an entry comes back soon after the store does, so a removal without
//! a drain before it is held back for [`REMOVAL_HOLD`].

use {
    super::{ServerEntry, ServerPhase},
    crate::{ids::ServerId, time::BootTime},
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a removed entry still names a server: below the 2 s after which
/// no request may reach a server that left.
pub const REMOVAL_HOLD: Duration = Duration::from_millis(1_000);

/// A change that a host acts on and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// A server is new, or the id has a new incarnation.
    Joined(ServerEntry),
    /// A server takes no new work any more.
    Draining(ServerId),
    /// A server's entry has vanished; it is used until the hold ends.
    Missing(ServerId),
    /// A server is gone.
    Left(ServerId),
}

#[derive(Clone, Debug)]
struct FleetSlot {
    entry: ServerEntry,
    missing_since: Option<BootTime>,
    draining_since: Option<BootTime>,
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
            missing_since: None,
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
    pub fn remove(&mut self, id: &ServerId, now: BootTime) -> Option<FleetChange> {
        let slot = self.slots.get_mut(id)?;
        if slot.entry.phase == ServerPhase::Draining {
            self.slots.remove(id);
            return Some(FleetChange::Left(id.clone()));
        }
        if slot.missing_since.is_some() {
            return None;
        }
        slot.missing_since = Some(now);
        Some(FleetChange::Missing(id.clone()))
    }

    /// Replaces all entries by a complete list.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now: BootTime) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let listed: Vec<ServerId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            changes.extend(self.put(entry, now));
        }
        let known: Vec<ServerId> = self.slots.keys().cloned().collect();
        for id in known {
            if listed.contains(&id) {
                continue;
            }
            changes.extend(self.remove(&id, now));
        }
        changes
    }

    /// Drops servers whose hold is over.
    pub fn expire(&mut self, now: BootTime) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        self.slots.retain(|id, slot| {
            let over = slot
                .missing_since
                .is_some_and(|since| now.since(since) >= REMOVAL_HOLD);
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
        let slot = self.slots.get(id)?;
        slot.draining_since.or(slot.missing_since)
    }

    /// All servers that still count.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.slots.values().map(|slot| &slot.entry)
    }
}
