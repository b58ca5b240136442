//! Which availability zones are evacuated, and since when.
//!
//! Hosts learn complete lists of the evacuated zones from the store and from each other; the one with the
//! newest version is in effect. A store that has lost writes may lack a zone although its
//! evacuation goes on, so such a zone stays evacuated until the object can have been written again.

use {
    super::EvacuationList,
    crate::{ids::ZoneName, time::BootTime},
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a zone stays evacuated that a list of a later store epoch lacks: operators and
/// tools write lost objects again within about 2 s, as servers do their entries.
pub const LOST_WRITE_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Longest time by which the start of an evacuation is usually backdated to the last moment at which
/// the known list was current. It is the same as for changes of server entries: a host that has
/// no digests for longer watches the store itself.
const MAX_BACKDATE: Duration = Duration::from_millis(700);

/// Part of the age of the known list that is not backdated. A host that was out of contact for longer
/// than this and `MAX_BACKDATE` may learn of an evacuation that began long ago.
const MAX_UNDATED_AGE: Duration = Duration::from_millis(1_500);

/// Part of the time allowed for an evacuation that is reserved for the way of the change to a
/// host: a watch that goes silent, the next list, and a digest.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(2_500);

/// How a host learned of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationSource {
    /// A watch of the store showed the change when it happened.
    Watch,
    /// A list of the store, a digest or a report; the change may have happened at any time since the
    /// known list was last current.
    Snapshot,
}

/// A change of the evacuated zones, on which the host acts and which it logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of a zone began, at this time at the earliest.
    Began(ZoneName, BootTime),
    /// A zone is missing after the store has lost writes; it stays evacuated until this time.
    Held(ZoneName, BootTime),
    /// The evacuation of a zone has ended.
    Ended(ZoneName),
}

#[derive(Clone, Copy, Debug)]
struct ZoneEvacuation {
    since: BootTime,
    /// Set if the newest list lacks the zone: time at which the evacuation ends.
    ends_at: Option<BootTime>,
}

/// Evacuated zones as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    /// Newest known list.
    list: Option<EvacuationList>,
    zones: BTreeMap<ZoneName, ZoneEvacuation>,
    /// When the known list was last known to be current.
    current_at: BootTime,
}

impl EvacuationTable {
    /// Applies a list if it is newer than the known one.
    pub fn apply(
        &mut self,
        list: EvacuationList,
        source: EvacuationSource,
        now: BootTime,
    ) -> Vec<EvacuationChange> {
        let known = self.list.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= list.version) {
            return Vec::new();
        }
        let has_lost_writes = known.is_some_and(|known| known.epoch < list.version.epoch);
        let since = self.earliest_change_at(source, now);
        let mut changes = Vec::new();
        for zone in &list.zones {
            if let Some(evacuation) = self.zones.get_mut(zone) {
                evacuation.ends_at = None;
                continue;
            }
            let evacuation = ZoneEvacuation {
                since,
                ends_at: None,
            };
            self.zones.insert(zone.clone(), evacuation);
            changes.push(EvacuationChange::Began(zone.clone(), since));
        }
        self.zones.retain(|zone, evacuation| {
            if list.zones.contains(zone) || evacuation.ends_at.is_some() {
                return true;
            }
            if !has_lost_writes {
                changes.push(EvacuationChange::Ended(zone.clone()));
                return false;
            }
            let ends_at = now + LOST_WRITE_GRACE_PERIOD;
            evacuation.ends_at = Some(ends_at);
            changes.push(EvacuationChange::Held(zone.clone(), ends_at));
            true
        });
        self.list = Some(list);
        self.current_at = now;
        changes
    }

    /// Records that the known list is the current one.
    pub fn confirm(&mut self, now: BootTime) {
        if self.list.is_some() {
            self.current_at = now;
        }
    }

    /// Ends evacuations whose time after a loss of writes is over.
    pub fn expire(&mut self, now: BootTime) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        self.zones.retain(|zone, evacuation| {
            let has_ended = evacuation.ends_at.is_some_and(|end| now >= end);
            if has_ended {
                changes.push(EvacuationChange::Ended(zone.clone()));
            }
            !has_ended
        });
        changes
    }

    /// Newest known list, as other hosts are to learn it; `None` before the first one.
    pub fn list(&self) -> Option<&EvacuationList> {
        self.list.as_ref()
    }

    /// Whether servers of the zone get no new keys and no requests without a key.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Whether requests with a key may still go to their owner in this zone, which serves until its
    /// keys have moved. `limit` is the time allowed for the whole evacuation.
    pub fn may_use_owner(&self, zone: &ZoneName, limit: Duration, now: BootTime) -> bool {
        let Some(evacuation) = self.zones.get(zone) else {
            return true;
        };
        now < evacuation.since + limit.saturating_sub(PROPAGATION_MARGIN)
    }

    /// Evacuated zones, in order, and since when each is evacuated.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, BootTime)> {
        let zones = self.zones.iter();
        zones.map(|(zone, evacuation)| (zone, evacuation.since))
    }

    /// Earliest time at which a change that this host learns of now may have happened.
    fn earliest_change_at(&self, source: EvacuationSource, now: BootTime) -> BootTime {
        match source {
            EvacuationSource::Watch => now,
            EvacuationSource::Snapshot => {
                let age = now.since(self.current_at);
                let backdate = age.min(MAX_BACKDATE);
                now.minus(backdate.max(age.saturating_sub(MAX_UNDATED_AGE)))
            }
        }
    }
}
