//! Assignment of forwarders to backend servers.

use {
    super::host_table::HostTable,
    crate::{
        ids::{HostId, ServerId, ZoneName},
        keys::rendezvous_score,
        time::BootTime,
    },
    std::collections::BTreeMap,
};

/// Forwarder of each server.
#[derive(Clone, Debug, Default)]
pub(super) struct ForwarderTable {
    assigned: BTreeMap<ServerId, HostId>,
    since: BootTime,
    /// When the term gained its authority, and when all older maps have lapsed.
    gained: Option<(BootTime, BootTime)>,
}

impl ForwarderTable {
    /// Table that starts from the assignment of the last known map.
    pub(super) fn new(assigned: BTreeMap<ServerId, HostId>, since: BootTime) -> Self {
        Self {
            assigned,
            since,
            gained: None,
        }
    }

    /// Notes when the term gained its authority and when all older maps have lapsed.
    pub(super) fn gain(&mut self, gained_at: BootTime, old_end: BootTime) {
        self.gained = Some((gained_at, old_end));
    }

    /// A host that was dropped before the term had authority holds older maps only.
    fn holds_lapsed_map(&self, host: &HostId, hosts: &HostTable, now: BootTime) -> bool {
        self.gained.is_some_and(|(gained_at, old_end)| {
            now > old_end && hosts.was_dropped_by(host, gained_at)
        })
    }

    pub(super) fn get(&self, server: &ServerId) -> Option<&HostId> {
        self.assigned.get(server)
    }

    /// Brings the assignment up to date; returns whether it changed.
    ///
    /// A forwarder stays while its host may still act on an old map, so that
    /// two hosts do not use the same slots.
    pub(super) fn update(
        &mut self,
        servers: &[(ServerId, ZoneName)],
        hosts: &HostTable,
        now: BootTime,
    ) -> bool {
        let before = self.assigned.clone();
        self.assigned
            .retain(|id, _| servers.iter().any(|(server, _)| server == id));
        let gone: Vec<HostId> = self
            .assigned
            .values()
            .filter(|host| {
                let leaving = hosts.get(host).is_some_and(|info| info.leaving);
                leaving
                    || hosts.is_gone(host, self.since, now)
                    || self.holds_lapsed_map(host, hosts, now)
            })
            .cloned()
            .collect();
        self.assigned.retain(|_, host| !gone.contains(host));
        for (server, zone) in servers {
            if self.assigned.contains_key(server) {
                continue;
            }
            if let Some(host) = self.least_loaded(server, zone, hosts) {
                self.assigned.insert(server.clone(), host);
            }
        }
        self.spread(servers, hosts);
        self.assigned != before
    }

    /// Moves servers from a host to one that forwards for at least two fewer.
    fn spread(&mut self, servers: &[(ServerId, ZoneName)], hosts: &HostTable) {
        for (server, zone) in servers {
            let Some(current) = self.assigned.get(server).cloned() else {
                continue;
            };
            let Some(other) = self.least_loaded(server, zone, hosts) else {
                continue;
            };
            let same_zone = hosts
                .get(&current)
                .is_none_or(|info| info.zone == *zone || !has_zone(hosts, zone));
            if hosts.is_staying(&current)
                && (self.load(&current) >= self.load(&other) + 2 || !same_zone)
            {
                self.assigned.insert(server.clone(), other);
            }
        }
    }

    fn least_loaded(
        &self,
        server: &ServerId,
        zone: &ZoneName,
        hosts: &HostTable,
    ) -> Option<HostId> {
        let zone_has_host = has_zone(hosts, zone);
        hosts
            .staying()
            .filter(|info| !zone_has_host || info.zone == *zone)
            .min_by_key(|info| {
                let score = rendezvous_score(server.as_str(), info.id.as_str());
                (self.load(&info.id), std::cmp::Reverse(score))
            })
            .map(|info| info.id.clone())
    }

    fn load(&self, host: &HostId) -> usize {
        self.assigned
            .values()
            .filter(|assigned| *assigned == host)
            .count()
    }
}

fn has_zone(hosts: &HostTable, zone: &ZoneName) -> bool {
    hosts.staying().any(|info| info.zone == *zone)
}
