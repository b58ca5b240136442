//! Entries of services that the configuration does not name.

mod support;

use {
    std::net::SocketAddr,
    support::fixtures::{entry, first_listing_span, host_state, table},
};

/// Number of servers that a check connects to.
const CHECKED: usize = 3;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + number).into()
}

/// Guards against a host that takes itself for cut off from all servers: another program had left entries with
/// addresses where nothing listens, and the check of the way to servers tried these first.
#[test]
fn way_to_servers_is_checked_with_configured_services_only() {
    let state = host_state();
    state.set_table(table(1));
    let servers = [1, 2].map(|number| entry(&format!("s-{number}"), "plain", address(number)));
    let mut entries = servers.to_vec();
    for number in 3..10 {
        entries.push(entry(&format!("m-{number}"), "metrics", address(number)));
    }
    state.replace_fleet(entries, first_listing_span());
    for server in &servers {
        state.record_unreachable_server(&server.id);
    }

    let mut checked = state.begin_reach_check(CHECKED);
    let compared = state.other_servers(&servers[0].id, CHECKED);

    checked.sort();
    assert_eq!(checked, servers.each_ref().map(|server| server.address));
    assert_eq!(compared, [servers[1].address]);
}
