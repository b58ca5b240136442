//! Availability zones that are evacuated, as this host knows them from the store and from other hosts.
//!
//! Nothing here has an effect where the deployment does not set `evacuate_s`.

use {
    super::{HostState, StoreKind, VersionSpan, host_state::StateInner},
    camphorcove_core::{
        fleet::{EvacuationChange, EvacuationList, EvacuationSource, EvacuationTable, ServerEntry},
        ids::{StoreVersion, ZoneName},
        ownership::{OwnerState, RangePhase},
        time::BootTime,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time after the start of the process for which the host is not ready before it knows the evacuated
/// zones. About ten list calls have failed then, so that waiting on would rather do harm.
const FIRST_LIST_WAIT: Duration = Duration::from_secs(5);

/// Most zones that digests and reports list: some 4 kB, as a message has to fit into a datagram. If there
/// are more, all hosts read them from the store, as with a leader of an earlier build.
const MAX_LISTED_ZONES: usize = 64;

/// State of one evacuation, for the metrics page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationStatus {
    /// The evacuated zone.
    pub zone: ZoneName,
    /// Keys whose owner is in the zone.
    pub keys: u32,
    /// Requests of this host in flight at servers of the zone.
    pub in_flight: u32,
    /// Time since the evacuation began.
    pub age: Duration,
}

/// Evacuated zones, and what this host has told and heard of them.
#[derive(Debug)]
pub(super) struct EvacuationTracking {
    /// Time allowed for an evacuation; `None` if the deployment does not evacuate zones.
    limit: Option<Duration>,
    table: Arc<EvacuationTable>,
    started_at: BootTime,
    /// Whether the leader's digests carry the list; they do not if it runs an earlier build.
    in_digests: bool,
    /// Version of the list in the latest digest.
    digest_version: Option<StoreVersion>,
    /// Zones of which the last key is known to have left.
    emptied: BTreeSet<ZoneName>,
    /// Version of the assignment that was last searched for keys in evacuated zones.
    searched: Option<StoreVersion>,
}

impl EvacuationTracking {
    pub(super) fn new(limit: Option<Duration>, now: BootTime) -> Self {
        Self {
            limit,
            table: Arc::default(),
            started_at: now,
            in_digests: true,
            digest_version: None,
            emptied: BTreeSet::new(),
            searched: None,
        }
    }

    /// Whether servers of this zone may get requests without a key.
    pub(super) fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.table.is_evacuated(zone)
    }

    /// Whether an owner in this zone may get requests for its keys.
    pub(super) fn may_use_owner(&self, zone: &ZoneName, now: BootTime) -> bool {
        let limit = self.limit.unwrap_or(Duration::MAX);
        self.table.may_use_owner(zone, limit, now)
    }

    /// Whether the leader's digests suffice to follow the evacuated zones.
    pub(super) fn in_digests(&self) -> bool {
        self.in_digests
    }

    /// Whether the evacuated zones are known, or need not be awaited.
    pub(super) fn is_ready(&self, now: BootTime) -> bool {
        self.limit.is_none()
            || self.table.list().is_some()
            || now.since(self.started_at) >= FIRST_LIST_WAIT
    }

    /// Records that all changes within the span are known.
    pub(super) fn confirm(&mut self, span: VersionSpan, now: BootTime) {
        let known = self.table.list().map(|list| list.version);
        if known.is_some_and(|known| span.through >= known) {
            Arc::make_mut(&mut self.table).confirm(now);
        }
    }
}

impl StateInner {
    /// Whether the zone of the server allows a request of its service, which is keyed or not.
    pub(super) fn zone_allows(&self, entry: &ServerEntry, now: BootTime) -> bool {
        if !self.evacuations.is_evacuated(&entry.zone) {
            return true;
        }
        let table = self.table.as_ref();
        let rule = table.and_then(|table| table.services.get(&entry.service));
        let is_keyed = rule.is_some_and(|rule| rule.keyed);
        is_keyed && self.evacuations.may_use_owner(&entry.zone, now)
    }

    /// Keys whose owner is in each evacuated zone.
    fn keys_by_zone(&self, owners: &OwnerState) -> BTreeMap<ZoneName, u32> {
        let table = &self.evacuations.table;
        let mut keys: BTreeMap<ZoneName, u32> = BTreeMap::new();
        for record in owners.services.values().flat_map(|owners| &owners.ranges) {
            let owner = match &record.phase {
                RangePhase::Owned { owner, .. } | RangePhase::Moving { owner, .. } => owner,
                RangePhase::Free => continue,
            };
            let Some(entry) = self.fleet.get(&owner.id) else {
                continue;
            };
            if table.is_evacuated(&entry.zone) {
                *keys.entry(entry.zone.clone()).or_default() +=
                    u32::from(record.range.last - record.range.first) + 1;
            }
        }
        keys
    }

    /// Logs the zones of which the last key has left since the last call.
    fn log_emptied_zones(&mut self, now: BootTime) {
        let table = self.evacuations.table.clone();
        let Some((owners, version)) = self.owner_state.clone() else {
            return;
        };
        let is_pending = table
            .zones()
            .any(|(zone, _)| !self.evacuations.emptied.contains(zone));
        if !is_pending || self.evacuations.searched == Some(version) {
            return;
        }
        self.evacuations.searched = Some(version);
        let keys = self.keys_by_zone(&owners);
        for (zone, since) in table.zones() {
            if keys.contains_key(zone) || !self.evacuations.emptied.insert(zone.clone()) {
                continue;
            }
            let age_ms = now.since(since).as_millis();
            log::info!(zone = zone.as_str(), age_ms:% = age_ms; "no keys left in evacuated zone");
        }
    }
}

impl HostState {
    /// Whether the deployment evacuates zones.
    pub fn follows_evacuations(&self) -> bool {
        self.settings.evacuation_limit.is_some()
    }

    /// Applies a complete list of evacuated zones if it is newer than the known one.
    pub fn apply_evacuations(&self, list: EvacuationList, source: EvacuationSource) {
        if !self.follows_evacuations() {
            return;
        }
        let now = self.now();
        let mut inner = self.lock();
        let version = list.version;
        let known = inner.evacuations.table.list().map(|known| known.version);
        if known == Some(version) {
            Arc::make_mut(&mut inner.evacuations.table).confirm(now);
            return;
        }
        // The first watch after missed digests may show a change that is as old as the digests.
        let source = match inner.feed.watching_since() {
            Some(_) => source,
            None => EvacuationSource::Snapshot,
        };
        let changes = Arc::make_mut(&mut inner.evacuations.table).apply(list, source, now);
        if known.is_none_or(|known| known < version) {
            inner.seen_through.advance(StoreKind::Evacuations, version);
        }
        inner.evacuations.searched = None;
        drop(inner);
        self.act_on_evacuations(&changes, now);
    }

    /// Records the list in a digest of the leader, or that the digest carries none.
    pub fn record_digest_evacuations(&self, list: Option<&EvacuationList>) {
        if !self.follows_evacuations() {
            return;
        }
        let mut inner = self.lock();
        let had_list = std::mem::replace(&mut inner.evacuations.in_digests, list.is_some());
        inner.evacuations.digest_version = list.map(|list| list.version);
        drop(inner);
        match list {
            Some(list) => self.apply_evacuations(list.clone(), EvacuationSource::Snapshot),
            None if had_list => {
                log::info!("digests of the leader list no evacuated zones, watching the store");
                self.versions_changed.notify_waiters();
            }
            None => {}
        }
    }

    /// Newest known list.
    pub fn evacuation_list(&self) -> Option<EvacuationList> {
        self.lock().evacuations.table.list().cloned()
    }

    /// List for digests; `None` if this host does not follow the evacuated zones, has not learned of
    /// them, or knows more than fit into a message.
    pub fn digest_evacuations(&self) -> Option<EvacuationList> {
        let list = self.evacuation_list();
        list.filter(|list| list.zones.len() <= MAX_LISTED_ZONES)
    }

    /// List for reports: the known one if the latest digest carries no list or an older one.
    pub fn evacuation_news(&self) -> Option<EvacuationList> {
        let inner = self.lock();
        let list = inner.evacuations.table.list()?;
        let in_digest = inner.evacuations.digest_version;
        let is_news = in_digest < Some(list.version) && list.zones.len() <= MAX_LISTED_ZONES;
        is_news.then(|| list.clone())
    }

    /// Snapshot of the evacuated zones.
    pub fn evacuations(&self) -> Arc<EvacuationTable> {
        self.lock().evacuations.table.clone()
    }

    /// Ends evacuations whose time after a loss of writes is over, and logs the zones that are empty.
    pub fn expire_evacuations(&self) {
        if !self.follows_evacuations() {
            return;
        }
        let now = self.now();
        let mut inner = self.lock();
        if inner.evacuations.table.zones().next().is_none() {
            return;
        }
        let changes = Arc::make_mut(&mut inner.evacuations.table).expire(now);
        inner.log_emptied_zones(now);
        drop(inner);
        self.act_on_evacuations(&changes, now);
    }

    /// State of all evacuations.
    pub fn evacuation_statuses(&self) -> Vec<EvacuationStatus> {
        let now = self.now();
        let inner = self.lock();
        let table = &inner.evacuations.table;
        if table.zones().next().is_none() {
            return Vec::new();
        }
        let owners = inner.owner_state.as_ref();
        let keys = owners.map_or_else(BTreeMap::new, |(owners, _)| inner.keys_by_zone(owners));
        let mut in_flight: BTreeMap<&ZoneName, u32> = BTreeMap::new();
        for entry in inner.fleet.entries() {
            if let Some(gauge) = inner.gauges.get(&entry.id) {
                *in_flight.entry(&entry.zone).or_default() += gauge.in_flight();
            }
        }
        let status = |(zone, since): (&ZoneName, BootTime)| EvacuationStatus {
            zone: zone.clone(),
            keys: keys.get(zone).copied().unwrap_or_default(),
            in_flight: in_flight.get(zone).copied().unwrap_or_default(),
            age: now.since(since),
        };
        table.zones().map(status).collect()
    }

    /// Logs the changes, and acts on the end of an evacuation.
    fn act_on_evacuations(&self, changes: &[EvacuationChange], now: BootTime) {
        for change in changes {
            match change {
                EvacuationChange::Began(zone, since) => {
                    self.lock().evacuations.emptied.remove(zone);
                    let age_ms = now.since(*since).as_millis();
                    log::info!(zone = zone.as_str(), age_ms:% = age_ms; "evacuation of zone begins");
                }
                EvacuationChange::Held(zone, until) => {
                    let held_ms = until.since(now).as_millis();
                    log::warn!(
                        zone = zone.as_str(),
                        held_ms:% = held_ms;
                        "evacuated zone missing after the store has lost writes; keeping it evacuated for held_ms"
                    );
                }
                EvacuationChange::Ended(zone) => {
                    log::info!(zone = zone.as_str(); "evacuation of zone has ended");
                    self.on_evacuation_ended(zone);
                }
            }
        }
    }

    /// Counts the servers of a zone as cold from now on, as its evacuation has ended.
    fn on_evacuation_ended(&self, zone: &ZoneName) {
        self.lock().evacuations.emptied.remove(zone);
        self.mark_zone_cold(zone);
    }
}
