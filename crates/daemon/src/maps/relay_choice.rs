//! Which hosts poll controllers, and which poll a relay.

use {
    camphorcove_core::{
        ids::{HostId, ZoneName},
        keys::rank_hosts,
    },
    camphorcove_net::peer::PeerAddress,
};

/// With at most this many hosts in the region, all are relays.
const ALL_RELAYS_MAX: usize = 16;

/// Relays in an availability zone.
const RELAYS_PER_ZONE: usize = 2;

/// Relays of one availability zone, best first.
///
/// `hosts` are the region's hosts; hosts that leave are never relays.
pub fn zone_relays(zone: &ZoneName, hosts: &[PeerAddress]) -> Vec<HostId> {
    let staying = hosts.iter().filter(|host| !host.host.leaving);
    let local = staying.filter(|host| host.host.zone == *zone);
    let ids: Vec<HostId> = local.map(|host| host.host.id.clone()).collect();
    let mut ranked = rank_hosts(&format!("relay/{zone}"), &ids);
    if hosts.len() > ALL_RELAYS_MAX {
        ranked.truncate(RELAYS_PER_ZONE);
    }
    ranked
}

/// Whether `me` polls controllers itself.
pub fn is_relay(me: &PeerAddress, hosts: &[PeerAddress]) -> bool {
    if hosts.len() <= ALL_RELAYS_MAX {
        return true;
    }
    zone_relays(&me.host.zone, hosts).contains(&me.host.id)
}

/// Relays that a plain host polls: the zone's relays in an order that spreads hosts.
pub fn upstream_relays(me: &PeerAddress, hosts: &[PeerAddress]) -> Vec<HostId> {
    let mut relays = zone_relays(&me.host.zone, hosts);
    relays.retain(|relay| *relay != me.host.id);
    rank_hosts(me.host.id.as_str(), &relays)
}
