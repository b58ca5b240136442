//! Map distribution through relays, with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_core::control::HostInfo,
    camphorcove_net::peer::PeerAddress,
    camphorcoved::maps::is_relay,
    processes::{Region, RegionPlan},
};

/// Number of hosts; above the limit up to which every host is a relay.
const HOSTS: usize = 18;

/// Guards against hosts downstream of relays that get no maps, or get none after one relay fails.
#[tokio::test(flavor = "multi_thread")]
async fn downstream_hosts_serve_when_a_relay_fails() {
    let mut plan = RegionPlan::new("relays");
    plan.daemons = HOSTS;
    let mut region = Region::serving(plan).await;
    let hosts: Vec<PeerAddress> = region.daemons.iter().map(address).collect();
    let relays: Vec<usize> = (0..HOSTS)
        .filter(|n| is_relay(&hosts[*n], &hosts))
        .collect();
    assert_eq!(relays.len(), 6, "two in each of three zones");

    let lost = relays[0];
    region.daemons[lost].kill();
    region.daemons.remove(lost);

    region.wait_serving().await;
    region.assert_exclusive();
}

fn address(daemon: &processes::DaemonProcess) -> PeerAddress {
    PeerAddress {
        host: HostInfo {
            id: daemon.host().parse().expect("host id"),
            zone: daemon.setup.zone.parse().expect("zone"),
            leaving: false,
        },
        peer: daemon.announced(),
    }
}
