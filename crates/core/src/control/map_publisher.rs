//! Versions and validity of published maps, and which old ones may still be in use.

use {
    super::ScopeAction,
    crate::{
        ids::ShardId,
        map::{MapVersion, RoutingMap},
        time::{BootTime, GRANT_GRACE, MAP_TTL, with_drift},
    },
    std::{sync::Arc, time::Duration},
};

/// An unchanged map is published again once its validity can be extended by this much.
const MIN_EXTENSION: Duration = Duration::from_millis(100);

/// How long replaced maps that route a shard to another owner may still have an effect.
#[derive(Clone, Copy, Debug)]
struct OldMapWindow {
    /// Until this time a host may still hold such a map.
    cached_until: BootTime,
    /// Until this time a request sent under such a map may still be in flight.
    in_flight_until: BootTime,
}

impl OldMapWindow {
    fn until(end: BootTime) -> Self {
        Self {
            cached_until: end,
            in_flight_until: end,
        }
    }
}

/// Publishes the maps of one term and tracks the use of replaced maps.
#[derive(Clone, Debug)]
pub(super) struct MapPublisher {
    revision: u64,
    current: Option<Arc<RoutingMap>>,
    valid_until: BootTime,
    /// By shard, for replaced maps that route to another owner than the current map.
    old_map_windows: Vec<OldMapWindow>,
    /// When all maps of earlier controllers have expired.
    inherited_expiry: BootTime,
}

impl MapPublisher {
    /// Creates the publisher of a new term; maps of earlier terms expire at `inherited_expiry`.
    pub(super) fn new(shards: usize, inherited_expiry: BootTime) -> Self {
        Self {
            revision: 0,
            current: None,
            valid_until: BootTime(0),
            old_map_windows: vec![OldMapWindow::until(inherited_expiry); shards],
            inherited_expiry,
        }
    }

    /// Sets when all maps of earlier controllers have expired.
    pub(super) fn set_inherited_expiry(&mut self, end: BootTime) {
        self.old_map_windows.fill(OldMapWindow::until(end));
        self.inherited_expiry = end;
    }

    pub(super) fn current(&self) -> Option<&Arc<RoutingMap>> {
        self.current.as_ref()
    }

    /// Publishes a new version if the content changed, or extends the current version.
    pub(super) fn publish(
        &mut self,
        rebuilt: Option<RoutingMap>,
        authority_end: BootTime,
        now: BootTime,
    ) -> Option<ScopeAction> {
        let valid_until = (now + MAP_TTL).min(authority_end + GRANT_GRACE);
        let changed = rebuilt.is_some_and(|map| self.replace(map, now));
        let map = self.current.clone()?;
        let extended = valid_until >= self.valid_until + MIN_EXTENSION;
        if !changed && !extended {
            return None;
        }
        self.valid_until = self.valid_until.max(valid_until);
        Some(ScopeAction::PublishMap { map, valid_until })
    }

    /// Makes `map` the current map under a new revision, if its content differs.
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
        self.extend_windows(&map, now);
        self.current = Some(Arc::new(map));
        true
    }

    /// Extends the windows of shards that `next` no longer routes to the same owner.
    fn extend_windows(&mut self, next: &RoutingMap, now: BootTime) {
        let Some(old) = &self.current else {
            return;
        };
        let expires_at = now + with_drift(self.valid_until.since(now));
        for (index, window) in self.old_map_windows.iter_mut().enumerate() {
            let routed = routed_owner(old, index);
            if routed.is_some() && routed != routed_owner(next, index) {
                window.cached_until = window.cached_until.max(expires_at);
                window.in_flight_until = window.in_flight_until.max(expires_at);
            }
        }
    }

    /// Whether no valid map routes the shard to an owner and no request sent under such a map
    /// can be in flight.
    pub(super) fn is_quiesced(&self, shard: ShardId, now: BootTime) -> bool {
        self.is_past_window(shard, now, |window| window.in_flight_until)
    }

    /// Whether no host holds a valid map that routes the shard to an owner.
    ///
    /// Requests sent under such a map may still be in flight.
    pub(super) fn is_unrouted(&self, shard: ShardId, now: BootTime) -> bool {
        self.is_past_window(shard, now, |window| window.cached_until)
    }

    fn is_past_window(
        &self,
        shard: ShardId,
        now: BootTime,
        end: fn(&OldMapWindow) -> BootTime,
    ) -> bool {
        let index = shard.0 as usize;
        let routed = self
            .current
            .as_ref()
            .is_none_or(|map| routed_owner(map, index).is_some());
        let expired = self
            .old_map_windows
            .get(index)
            .is_none_or(|window| now > end(window));
        !routed && expired
    }

    /// Records that no host holds a map of this term older than `version`.
    pub(super) fn replaced(&mut self, version: MapVersion, now: BootTime) {
        self.shorten_windows(version, now, |window, end| {
            window.cached_until = window.cached_until.min(end);
        });
    }

    /// Records that no request is in flight under maps of this term older than `version`.
    pub(super) fn drained(&mut self, version: MapVersion, now: BootTime) {
        self.shorten_windows(version, now, |window, end| {
            window.cached_until = window.cached_until.min(end);
            window.in_flight_until = window.in_flight_until.min(end);
        });
    }

    /// Ends the windows of all shards now, if `version` is the current one.
    ///
    /// The windows still cover the expiry of earlier controllers' maps, because a
    /// new controller does not know which hosts hold those.
    fn shorten_windows(
        &mut self,
        version: MapVersion,
        now: BootTime,
        shorten_window: fn(&mut OldMapWindow, BootTime),
    ) {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|map| map.version == version);
        if !is_current {
            return;
        }
        let end = now.max(self.inherited_expiry);
        for window in &mut self.old_map_windows {
            shorten_window(window, end);
        }
    }
}

/// Owner that a map routes requests to; none while the shard moves.
fn routed_owner(map: &RoutingMap, index: usize) -> Option<&crate::ids::ServerId> {
    let entry = map.shards.get(index)?;
    if entry.moving {
        return None;
    }
    let owner = map.servers.get(usize::from(entry.owner?))?;
    Some(&owner.id)
}
