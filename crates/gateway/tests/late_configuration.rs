//! Configurations that the store has acknowledged, and hosts that do not hear of them in time.

mod support;

use {
    rstest::rstest,
    std::time::Duration,
    support::store_links::{LinkedHost, configuration, linked_hosts},
    tokio::time::sleep,
};

/// Time after its acknowledgement within which a configuration is in force on all hosts, and time after
/// a fault within which hosts follow the store again.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Number of routes with which a configuration does not fit into a datagram.
const LARGE_ROUTE_COUNT: usize = 400;

/// Guards against hosts that take connections which have gone silent for a store without changes.
#[tokio::test]
async fn configuration_is_in_force_in_time_after_all_watches_have_gone_silent() {
    let region = linked_hosts(4).await;
    region
        .store
        .put("config", "main", configuration(3, &["a", "b"]));
    region.in_force(3, |_| true).await;
    sleep(Duration::from_millis(300)).await;

    for host in &region.hosts {
        host.link.silence_open_connections();
    }
    region
        .store
        .put("config", "main", configuration(4, &["a", "b", "c"]));
    let took = region.in_force(4, |_| true).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
}

/// Guards against hosts that read the store over idle connections which have gone silent, one after the
/// other, when a configuration does not fit into a datagram.
#[tokio::test]
async fn large_configuration_is_in_force_in_time_after_idle_connections_have_gone_silent() {
    let region = linked_hosts(6).await;
    let names: Vec<String> = (0..LARGE_ROUTE_COUNT).map(|at| format!("r{at}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for version in [3, 4, 5] {
        let content = configuration(version, &names);
        region.store.put("config", "main", content);
        region.in_force(u64::from(version), |_| true).await;
    }

    for host in &region.hosts {
        host.link.silence_open_connections();
    }
    // All watches have been replaced by then.
    sleep(Duration::from_secs(7)).await;
    region.store.put("config", "main", configuration(6, &names));
    let took = region.in_force(6, |_| true).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
}

/// Guards against hosts that rely on the digests of a leader which no longer reaches the store. With
/// many hosts, not all of them are told to watch it instead.
#[rstest]
#[case::few(8)]
#[case::many(20)]
#[tokio::test]
async fn configuration_is_in_force_in_time_while_leader_and_watchers_are_cut_from_the_store(
    #[case] count: usize,
) {
    let region = linked_hosts(count).await;
    let cut: Vec<bool> = region.hosts.iter().map(LinkedHost::reads_store).collect();
    assert!(cut.contains(&true) && cut.contains(&false), "{cut:?}");

    for (host, is_cut) in region.hosts.iter().zip(&cut) {
        host.link.change(|settings| {
            settings.up.blackhole = *is_cut;
            settings.down.blackhole = *is_cut;
        });
    }
    region
        .store
        .put("config", "main", configuration(3, &["a", "b"]));
    let took = region.in_force(3, |_| true).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
}
