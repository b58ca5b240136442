//! Follows the evacuated zones in the store.

use {
    super::{CatchUp, KindChange, KindFollower, OddEntries},
    crate::state::{HostState, StoreKind, VersionSpan},
    camphorcove_core::{
        fleet::{EvacuationList, EvacuationSource},
        ids::ZoneName,
    },
    camphorcove_platform::{EVACUATION_KIND, ObjectListing, StoredObject},
    std::{collections::BTreeSet, sync::Arc},
};

/// Applies changes of the evacuated zones. Only the names of the objects matter, so one whose content
/// cannot be read counts like any other.
pub struct EvacuationFollower {
    state: Arc<HostState>,
    odd_entries: OddEntries,
}

impl EvacuationFollower {
    /// Creates a follower that updates `state`.
    pub fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            odd_entries: OddEntries::default(),
        }
    }

    fn zone_of(&mut self, object: &StoredObject) -> Option<ZoneName> {
        match object.name.parse() {
            Ok(zone) => Some(zone),
            Err(fault) => {
                if self.odd_entries.is_news(&object.name) {
                    log::warn!(revision:% = object.version, reason:% = fault; "ignoring evacuation of an invalid zone name");
                }
                None
            }
        }
    }

    fn apply(&self, zones: BTreeSet<ZoneName>, source: EvacuationSource, span: VersionSpan) {
        let list = EvacuationList {
            version: span.through,
            zones,
        };
        self.state.apply_evacuations(list, source);
        self.state.record_seen(Self::STORE_KIND, span);
    }
}

impl KindFollower for EvacuationFollower {
    const STORE_KIND: StoreKind = StoreKind::Evacuations;
    const KIND_NAME: &'static str = EVACUATION_KIND;
    const CATCH_UP: CatchUp = CatchUp::Watch;

    fn apply_list(&mut self, listing: ObjectListing, span: VersionSpan) {
        let zones = listing.objects.iter();
        let mut zones: BTreeSet<ZoneName> =
            zones.filter_map(|object| self.zone_of(object)).collect();
        // A zone that an incomplete listing does not name may still be evacuated.
        if listing.gap.is_some() {
            zones.extend(self.state.evacuation_list().unwrap_or_default().zones);
        }
        self.apply(zones, EvacuationSource::Snapshot, span);
    }

    fn apply_changes(&mut self, changes: Vec<KindChange>, span: VersionSpan) {
        let known = self.state.evacuation_list().unwrap_or_default();
        let mut zones = known.zones;
        for change in changes {
            match change {
                KindChange::Changed(object) => zones.extend(self.zone_of(&object)),
                KindChange::Removed(object) => {
                    self.odd_entries.forget(&object.name);
                    if let Ok(zone) = object.name.parse::<ZoneName>() {
                        zones.remove(&zone);
                    }
                }
            }
        }
        self.apply(zones, EvacuationSource::Watch, span);
    }
}
