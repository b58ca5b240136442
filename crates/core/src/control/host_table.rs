//! Live hosts of the region, and hosts that have left the list.

use {
    super::HostInfo,
    crate::{
        ids::{HostId, ServiceName, ZoneName},
        keys::{rank_hosts, rendezvous_score},
        time::{BootTime, MAP_TTL, with_drift},
    },
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Upper bound of the number of electors of a scope.
const MAX_ELECTORS: usize = 5;

/// Live hosts of the region, and when others left the list.
#[derive(Clone, Debug, Default)]
pub(super) struct HostTable {
    hosts: BTreeMap<HostId, HostInfo>,
    /// Hosts that left the list, and when.
    dropped: BTreeMap<HostId, BootTime>,
}

impl HostTable {
    pub(super) fn replace(&mut self, hosts: Vec<HostInfo>, now: BootTime) {
        let old = std::mem::take(&mut self.hosts);
        self.hosts = hosts
            .into_iter()
            .map(|host| (host.id.clone(), host))
            .collect();
        for id in old.into_keys() {
            if !self.hosts.contains_key(&id) {
                self.dropped.entry(id).or_insert(now);
            }
        }
        let live = &self.hosts;
        self.dropped.retain(|id, _| !live.contains_key(id));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub(super) fn get(&self, id: &HostId) -> Option<&HostInfo> {
        self.hosts.get(id)
    }

    /// Live hosts that are not shutting down, so that they may take a role.
    pub(super) fn eligible(&self) -> impl Iterator<Item = &HostInfo> {
        self.hosts.values().filter(|host| !host.leaving)
    }

    pub(super) fn is_eligible(&self, id: &HostId) -> bool {
        self.get(id).is_some_and(|host| !host.leaving)
    }

    /// Whether a host left the list so long ago that its last map has expired.
    ///
    /// A host that was never on the list counts as dropped at `since`.
    pub(super) fn is_gone(&self, id: &HostId, since: BootTime, now: BootTime) -> bool {
        if self.hosts.contains_key(id) {
            return false;
        }
        let dropped_at = self.dropped.get(id).copied().unwrap_or(since);
        now > dropped_at + with_drift(MAP_TTL)
    }

    /// Whether a host left the list at or before `time` and has not returned.
    pub(super) fn was_dropped_by(&self, id: &HostId, time: BootTime) -> bool {
        self.dropped.get(id).is_some_and(|dropped| *dropped <= time)
    }

    /// Rank of a host among those that may replace `controller`; 0 is the first to try.
    pub(super) fn rank(
        &self,
        service: &ServiceName,
        host: &HostId,
        controller: Option<&HostId>,
    ) -> u32 {
        let score_of = |id: &HostId| rendezvous_score(service.as_str(), id.as_str());
        let own = (score_of(host), Reverse(host));
        let better = self
            .eligible()
            .filter(|info| Some(&info.id) != controller)
            .filter(|info| (score_of(&info.id), Reverse(&info.id)) > own)
            .count();
        u32::try_from(better).unwrap_or(u32::MAX)
    }

    /// Chooses the electors that should replace the current ones.
    ///
    /// Electors that are live and not shutting down stay, and the number is odd.
    /// New ones come from the availability zones with the fewest electors.
    pub(super) fn choose_electors(&self, service: &ServiceName, current: &[HostId]) -> Vec<HostId> {
        let eligible: Vec<HostId> = self.eligible().map(|info| info.id.clone()).collect();
        let size = odd_size(eligible.len());
        let mut chosen: Vec<HostId> = Vec::new();
        let kept: Vec<HostId> = current
            .iter()
            .filter(|id| eligible.contains(id))
            .cloned()
            .collect();
        self.fill_by_zone(&mut chosen, &kept, size);
        if chosen.len() == current.len() && chosen.len() == size {
            return current.to_vec();
        }
        let ranked = rank_hosts(&format!("electors/{service}"), &eligible);
        self.fill_by_zone(&mut chosen, &ranked, size);
        chosen
    }

    /// Adds hosts in the order of `from`, each time from a zone with the fewest chosen ones.
    fn fill_by_zone(&self, chosen: &mut Vec<HostId>, from: &[HostId], size: usize) {
        while chosen.len() < size {
            let next = from
                .iter()
                .filter(|id| !chosen.contains(id))
                .min_by_key(|id| self.count_in_zone(chosen, self.zone(id)));
            let Some(next) = next else {
                return;
            };
            chosen.push(next.clone());
        }
    }

    fn zone(&self, id: &HostId) -> Option<&ZoneName> {
        self.get(id).map(|host| &host.zone)
    }

    fn count_in_zone(&self, chosen: &[HostId], zone: Option<&ZoneName>) -> usize {
        chosen.iter().filter(|id| self.zone(id) == zone).count()
    }
}

fn odd_size(hosts: usize) -> usize {
    match hosts {
        0 => 0,
        count if count >= MAX_ELECTORS => MAX_ELECTORS,
        count if count % 2 == 1 => count,
        count => count - 1,
    }
}
