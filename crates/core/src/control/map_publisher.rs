//! Versions and validity of the maps that a controller publishes.

use {
    super::ScopeAction,
    crate::{
        ids::ShardId,
        map::{MapVersion, RoutingMap},
        time::{BootTime, GRANT_GRACE, MAP_TTL, with_drift},
    },
    std::{sync::Arc, time::Duration},
};

/// A map is published again once its validity can be prolonged by this much.
const PROLONG_STEP: Duration = Duration::from_millis(100);

/// How long replaced maps that name another owner of a shard still matter.
#[derive(Clone, Copy, Debug)]
struct MapExposure {
    /// A host may still hold such a map.
    held_until: BootTime,
    /// A request sent under such a map may still be under way.
    used_until: BootTime,
}

impl MapExposure {
    fn until(end: BootTime) -> Self {
        Self {
            held_until: end,
            used_until: end,
        }
    }
}

/// Maps that a controller has published in its term.
#[derive(Clone, Debug)]
pub(super) struct MapPublisher {
    revision: u64,
    current: Option<Arc<RoutingMap>>,
    valid_until: BootTime,
    /// By shard, for maps that name an owner which the current map does not.
    exposures: Vec<MapExposure>,
    /// When the maps of earlier controllers have lapsed.
    inherited_end: BootTime,
}

impl MapPublisher {
    /// Publisher of a new term; maps of the term before live until `inherited_end`.
    pub(super) fn new(shards: usize, inherited_end: BootTime) -> Self {
        Self {
            revision: 0,
            current: None,
            valid_until: BootTime(0),
            exposures: vec![MapExposure::until(inherited_end); shards],
            inherited_end,
        }
    }

    /// Sets the time until which maps of earlier controllers may live.
    pub(super) fn inherit(&mut self, end: BootTime) {
        self.exposures.fill(MapExposure::until(end));
        self.inherited_end = end;
    }

    pub(super) fn current(&self) -> Option<&Arc<RoutingMap>> {
        self.current.as_ref()
    }

    /// Publishes a map if its content is new, or prolongs the current version.
    pub(super) fn publish(
        &mut self,
        rebuilt: Option<RoutingMap>,
        authority_end: BootTime,
        now: BootTime,
    ) -> Option<ScopeAction> {
        let valid_until = (now + MAP_TTL).min(authority_end + GRANT_GRACE);
        let changed = rebuilt.is_some_and(|map| self.replace(map, now));
        let map = self.current.clone()?;
        let prolonged = valid_until >= self.valid_until + PROLONG_STEP;
        if !changed && !prolonged {
            return None;
        }
        self.valid_until = self.valid_until.max(valid_until);
        Some(ScopeAction::PublishMap { map, valid_until })
    }

    fn replace(&mut self, mut map: RoutingMap, now: BootTime) -> bool {
        map.version = MapVersion {
            epoch: map.version.epoch,
            revision: self.revision,
        };
        if self.current.as_deref() == Some(&map) {
            return false;
        }
        self.revision += 1;
        map.version.revision = self.revision;
        self.note_exposure(&map, now);
        self.current = Some(Arc::new(map));
        true
    }

    fn note_exposure(&mut self, next: &RoutingMap, now: BootTime) {
        let Some(old) = &self.current else {
            return;
        };
        let lapses_at = now + with_drift(self.valid_until.since(now));
        for (index, exposure) in self.exposures.iter_mut().enumerate() {
            let named = named_owner(old, index);
            if named.is_some() && named != named_owner(next, index) {
                exposure.held_until = exposure.held_until.max(lapses_at);
                exposure.used_until = exposure.used_until.max(lapses_at);
            }
        }
    }

    /// Whether no request can be under way that was sent to an owner of the shard.
    pub(super) fn is_unnamed(&self, shard: ShardId, now: BootTime) -> bool {
        self.is_past(shard, now, |exposure| exposure.used_until)
    }

    /// Whether no host holds a live map that names an owner of the shard.
    pub(super) fn is_unheld(&self, shard: ShardId, now: BootTime) -> bool {
        self.is_past(shard, now, |exposure| exposure.held_until)
    }

    fn is_past(&self, shard: ShardId, now: BootTime, end: fn(&MapExposure) -> BootTime) -> bool {
        let index = shard.0 as usize;
        let named = self
            .current
            .as_ref()
            .is_none_or(|map| named_owner(map, index).is_some());
        let lapsed = self
            .exposures
            .get(index)
            .is_none_or(|exposure| now > end(exposure));
        !named && lapsed
    }

    /// Notes that no host holds a map of this term below `version`.
    pub(super) fn replaced(&mut self, version: MapVersion, now: BootTime) {
        self.shorten(version, now, |exposure, end| {
            exposure.held_until = exposure.held_until.min(end);
        });
    }

    /// Notes that nothing is under way under maps of this term below `version`.
    pub(super) fn drained(&mut self, version: MapVersion, now: BootTime) {
        self.shorten(version, now, |exposure, end| {
            exposure.held_until = exposure.held_until.min(end);
            exposure.used_until = exposure.used_until.min(end);
        });
    }

    /// Maps of earlier controllers are waited out all the same: a new
    /// controller does not know yet which hosts hold them.
    fn shorten(&mut self, version: MapVersion, now: BootTime, cut: fn(&mut MapExposure, BootTime)) {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|map| map.version == version);
        if !is_current {
            return;
        }
        let end = now.max(self.inherited_end);
        for exposure in &mut self.exposures {
            cut(exposure, end);
        }
    }
}

fn named_owner(map: &RoutingMap, index: usize) -> Option<&crate::ids::ServerId> {
    let entry = map.shards.get(index)?;
    if entry.moving {
        return None;
    }
    let owner = map.servers.get(usize::from(entry.owner?))?;
    Some(&owner.id)
}
