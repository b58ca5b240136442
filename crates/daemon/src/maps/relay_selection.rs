//! Selection of relays: the hosts that poll controllers and are polled by other hosts.

use {
    camphorcove_core::{
        ids::{HostId, ZoneName},
        keys::rank_hosts,
    },
    camphorcove_net::peer::PeerAddress,
};

/// In a region of at most this many hosts, every host is a relay.
const ALL_RELAYS_MAX: usize = 16;

/// Number of relays in each availability zone of a larger region.
const RELAYS_PER_ZONE: usize = 2;

/// Relays of one availability zone, highest rank first.
///
/// `hosts` are all known hosts of the region; hosts that are leaving are never relays.
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

/// Whether a host is a relay, which polls controllers itself.
pub fn is_relay(this_host: &PeerAddress, hosts: &[PeerAddress]) -> bool {
    if hosts.len() <= ALL_RELAYS_MAX {
        return true;
    }
    zone_relays(&this_host.host.zone, hosts).contains(&this_host.host.id)
}

/// Relays that a host which is not a relay may poll, in order of preference.
///
/// These are the relays of the host's zone. The order depends on the host's id, so hosts are
/// spread over the relays.
pub fn upstream_relays(this_host: &PeerAddress, hosts: &[PeerAddress]) -> Vec<HostId> {
    let mut relays = zone_relays(&this_host.host.zone, hosts);
    relays.retain(|relay| *relay != this_host.host.id);
    rank_hosts(this_host.host.id.as_str(), &relays)
}
