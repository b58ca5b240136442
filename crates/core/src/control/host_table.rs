//! Live hosts of the region, and hosts that were dropped from the list lately.

use {
    super::HostInfo,
    crate::{
        ids::{HostId, ServiceName, ZoneName},
        keys::{rank_hosts, rendezvous_score},
        time::{BootTime, MAP_TTL, with_drift},
    },
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Largest number of electors of a scope.
const ELECTOR_LIMIT: usize = 5;

/// Live hosts of the region.
#[derive(Clone, Debug, Default)]
pub(super) struct HostTable {
    hosts: BTreeMap<HostId, HostInfo>,
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

    /// Live hosts that take new roles.
    pub(super) fn staying(&self) -> impl Iterator<Item = &HostInfo> {
        self.hosts.values().filter(|host| !host.leaving)
    }

    pub(super) fn is_staying(&self, id: &HostId) -> bool {
        self.get(id).is_some_and(|host| !host.leaving)
    }

    /// Whether a host's last map has lapsed since it was dropped from the list.
    ///
    /// A host that this machine never saw on the list counts from `since`.
    pub(super) fn is_gone(&self, id: &HostId, since: BootTime, now: BootTime) -> bool {
        if self.hosts.contains_key(id) {
            return false;
        }
        let dropped_at = self.dropped.get(id).copied().unwrap_or(since);
        now > dropped_at + with_drift(MAP_TTL)
    }

    /// Whether a host was dropped from the list by `time` and has not returned.
    pub(super) fn was_dropped_by(&self, id: &HostId, time: BootTime) -> bool {
        self.dropped.get(id).is_some_and(|dropped| *dropped <= time)
    }

    /// Rank of a host among those that may become the controller; 0 is first.
    pub(super) fn rank(
        &self,
        service: &ServiceName,
        host: &HostId,
        controller: Option<&HostId>,
    ) -> u32 {
        let score_of = |id: &HostId| rendezvous_score(service.as_str(), id.as_str());
        let own = (score_of(host), Reverse(host));
        let better = self
            .staying()
            .filter(|info| Some(&info.id) != controller)
            .filter(|info| (score_of(&info.id), Reverse(&info.id)) > own)
            .count();
        u32::try_from(better).unwrap_or(u32::MAX)
    }

    /// Electors the scope should have, given those it has.
    ///
    /// Live electors stay, and the number is odd. New ones come from the
    /// availability zones with the fewest electors.
    pub(super) fn choose_electors(&self, service: &ServiceName, current: &[HostId]) -> Vec<HostId> {
        let staying: Vec<HostId> = self.staying().map(|info| info.id.clone()).collect();
        let size = odd_size(staying.len());
        let mut chosen: Vec<HostId> = Vec::new();
        let kept: Vec<HostId> = current
            .iter()
            .filter(|id| staying.contains(id))
            .cloned()
            .collect();
        self.fill(&mut chosen, &kept, size);
        if chosen.len() == current.len() && chosen.len() == size {
            return current.to_vec();
        }
        let ranked = rank_hosts(&format!("electors/{service}"), &staying);
        self.fill(&mut chosen, &ranked, size);
        chosen
    }

    fn fill(&self, chosen: &mut Vec<HostId>, from: &[HostId], size: usize) {
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
        count if count >= ELECTOR_LIMIT => ELECTOR_LIMIT,
        count if count % 2 == 1 => count,
        count => count - 1,
    }
}
