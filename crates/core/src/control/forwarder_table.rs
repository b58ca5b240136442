//! Assignment of a forwarder, the host that holds a server's connections, to each server.

use {
    super::host_table::HostTable,
    crate::{
        ids::{HostId, ServerId, ZoneName},
        keys::rendezvous_score,
        time::BootTime,
    },
    std::collections::BTreeMap,
};

/// The forwarder of each server.
#[derive(Clone, Debug, Default)]
pub(super) struct ForwarderTable {
    assigned: BTreeMap<ServerId, HostId>,
    /// When the term started.
    term_started_at: BootTime,
    /// When the term gained its authority, and when all maps of earlier terms have expired.
    gained: Option<(BootTime, BootTime)>,
}

impl ForwarderTable {
    /// Creates a table that starts with the forwarders of the last known map.
    pub(super) fn new(assigned: BTreeMap<ServerId, HostId>, term_started_at: BootTime) -> Self {
        Self {
            assigned,
            term_started_at,
            gained: None,
        }
    }

    /// Records when the term gained its authority and when all maps of earlier terms have expired.
    pub(super) fn authority_gained(
        &mut self,
        authority_gained_at: BootTime,
        inherited_expiry: BootTime,
    ) {
        self.gained = Some((authority_gained_at, inherited_expiry));
    }

    /// Whether all maps that the host holds have expired.
    ///
    /// A host that left the list before the term had authority holds maps of earlier terms only.
    fn holds_only_expired_maps(&self, host: &HostId, hosts: &HostTable, now: BootTime) -> bool {
        self.gained
            .is_some_and(|(authority_gained_at, inherited_expiry)| {
                now > inherited_expiry && hosts.was_dropped_by(host, authority_gained_at)
            })
    }

    pub(super) fn get(&self, server: &ServerId) -> Option<&HostId> {
        self.assigned.get(server)
    }

    /// Updates the assignment; returns whether it changed.
    ///
    /// A forwarder that is no longer listed stays assigned while it may still act
    /// on an old map, so that two hosts do not use the same slots of a server.
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
                    || hosts.is_gone(host, self.term_started_at, now)
                    || self.holds_only_expired_maps(host, hosts, now)
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
        self.rebalance(servers, hosts);
        self.assigned != before
    }

    /// Moves servers to a host in their zone, or to one that forwards for at least two fewer
    /// servers.
    fn rebalance(&mut self, servers: &[(ServerId, ZoneName)], hosts: &HostTable) {
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
            if hosts.is_eligible(&current)
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
            .eligible()
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
    hosts.eligible().any(|info| info.zone == *zone)
}
