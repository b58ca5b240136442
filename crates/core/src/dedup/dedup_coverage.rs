//! Since when this host has been the home host of each id.

use {
    crate::{
        ids::{FencingToken, HostId, ShardId},
        keys::rendezvous_score,
        map::{MapVersion, RoutingMap},
        time::BootTime,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Home host of an id in an unkeyed service: rendezvous hashing over the map's forwarders.
pub fn home_host<'a>(id: &str, forwarders: impl Iterator<Item = &'a HostId>) -> Option<&'a HostId> {
    forwarders.max_by_key(|host| (rendezvous_score(id, host.as_str()), host.as_str()))
}

/// Since when this host has been the home host of a shard's ids, and under which token.
#[derive(Clone, Copy, Debug, Default)]
struct ShardCoverage {
    token: FencingToken,
    since: Option<BootTime>,
}

/// Tracks since when one host has been the home host of a service's ids.
///
/// Coverage of a shard restarts when its token changes, because the shard may
/// have had another owner in between. All coverage restarts after a period
/// without a valid map, because other hosts may have been home hosts meanwhile.
#[derive(Debug)]
pub struct DedupCoverage {
    host: HostId,
    version: MapVersion,
    valid_until: BootTime,
    shards: Vec<ShardCoverage>,
    /// Sets of forwarders, each with the time since which it applies, oldest first.
    forwarders: VecDeque<(BootTime, Vec<HostId>)>,
    window: Duration,
    since: Option<BootTime>,
    first_start: bool,
}

impl DedupCoverage {
    /// Coverage of a host that has not observed a map yet; `window` is the deduplication window.
    ///
    /// `first_start`: no other host was a home host before, so the first map counts
    /// as held for the whole window already.
    pub fn new(host: HostId, window: Duration, first_start: bool) -> Self {
        Self {
            host,
            version: MapVersion::default(),
            valid_until: BootTime::default(),
            shards: Vec::new(),
            forwarders: VecDeque::new(),
            window,
            since: None,
            first_start,
        }
    }

    /// Version of the latest map observed.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Since when a valid map has been held without a gap; `None` before the first map.
    pub fn since(&self) -> Option<BootTime> {
        self.since
    }

    /// Records a valid map; called for each new version and each extension of its validity.
    pub fn observe(&mut self, map: &RoutingMap, valid_until: BootTime, now: BootTime) {
        if now >= self.valid_until {
            self.shards.clear();
            self.forwarders.clear();
            let first = self.since.is_none() && self.first_start;
            self.since = Some(if first { BootTime::default() } else { now });
        }
        self.valid_until = self.valid_until.max(valid_until);
        self.drop_replaced_sets(now);
        if map.version <= self.version && !self.forwarders.is_empty() {
            return;
        }
        self.version = map.version;
        let start = match self.since {
            Some(since) if self.forwarders.is_empty() => since,
            _ => now,
        };
        self.observe_shards(map, start);
        self.observe_forwarders(map, start);
    }

    /// Whether this host has been the id's only home host for the whole window up to `now`.
    pub fn covers(&self, shard: Option<ShardId>, id: &str, now: BootTime) -> bool {
        if now >= self.valid_until {
            return false;
        }
        let start = now.minus(self.window);
        match shard {
            Some(shard) => self.shard_since(shard).is_some_and(|since| since <= start),
            None => self.covers_unkeyed(id, start),
        }
    }

    fn shard_since(&self, shard: ShardId) -> Option<BootTime> {
        self.shards.get(usize::try_from(shard.0).ok()?)?.since
    }

    fn covers_unkeyed(&self, id: &str, start: BootTime) -> bool {
        let covers_start = self
            .forwarders
            .front()
            .is_some_and(|(since, _)| *since <= start);
        let always_home = self
            .forwarders
            .iter()
            .all(|(_, hosts)| home_host(id, hosts.iter()) == Some(&self.host));
        covers_start && always_home
    }

    fn observe_shards(&mut self, map: &RoutingMap, now: BootTime) {
        self.shards
            .resize(map.shards.len(), ShardCoverage::default());
        for (coverage, entry) in self.shards.iter_mut().zip(&map.shards) {
            let owner = entry
                .owner
                .and_then(|index| map.servers.get(usize::from(index)));
            let is_home = owner.and_then(|server| server.forwarder.as_ref()) == Some(&self.host);
            let unbroken_since = coverage.since.filter(|_| coverage.token == entry.token);
            coverage.since = is_home.then(|| unbroken_since.unwrap_or(now));
            coverage.token = entry.token;
        }
    }

    fn observe_forwarders(&mut self, map: &RoutingMap, now: BootTime) {
        let servers = map.servers.iter();
        let mut hosts: Vec<HostId> = servers
            .filter_map(|server| server.forwarder.clone())
            .collect();
        hosts.sort();
        hosts.dedup();
        let unchanged = self.forwarders.back().is_some_and(|(_, old)| *old == hosts);
        if !unchanged {
            self.forwarders.push_back((now, hosts));
        }
    }

    /// Drops sets of forwarders that were replaced before the window began.
    fn drop_replaced_sets(&mut self, now: BootTime) {
        let start = now.minus(self.window);
        while self
            .forwarders
            .get(1)
            .is_some_and(|(since, _)| *since <= start)
        {
            self.forwarders.pop_front();
        }
    }
}
