//! Slow platform, lost platform answers, simultaneous failures and one-way partitions, with
//! real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_core::ids::ConfigVersion,
    camphorcove_net::operator::{ApiCode, ApplyReport, ClientError},
    camphorcove_standin::{platform::PlatformFaults, proxy::ProxySettings},
    processes::{DaemonProcess, Owners, Region, RegionPlan, SERVICE, keys, wait_until, zone},
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Every call to the platform takes longer than its timeout of 1 s for a while. Guards against
/// owners that lose their keys, and against configuration changes that never take effect
/// afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn owners_keep_serving_while_the_platform_is_slow() {
    let mut plan = RegionPlan::new("platform-slow");
    // The load of this test must not cause moves between servers that are up.
    plan.service_lines = "placement = \"churn\"";
    let region = Region::serving(plan).await;
    let daemon = &region.daemons[0];
    let before = region.owners(daemon).await;

    region.platform.set_faults(PlatformFaults {
        delay_ms: 2_000,
        ..PlatformFaults::default()
    });
    // Longer than every lease, so that requests succeed only if leases are renewed without
    // the platform.
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        for (key, (owner, token)) in &before {
            let (same, run) = region.owner_of(daemon, key).await.expect("served");
            assert_eq!((same, run.token), (*owner, Some(*token)), "{key}");
        }
    }
    region.platform.set_faults(PlatformFaults::default());
    region.apply(&region.config_of(&[0, 1])).await;

    wait_for_version(&region, 2).await;
    wait_without_server(&region, 2).await;
    region.assert_exclusive();
}

/// Guards against a host that keeps an old configuration because the platform's watch reports
/// no changes.
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_every_host_without_watches() {
    let region = Region::serving(RegionPlan::new("silent-watches")).await;

    region.platform.set_faults(PlatformFaults {
        silent_watches: true,
        ..PlatformFaults::default()
    });
    region.apply(&region.config_of(&[0, 1])).await;

    wait_for_version(&region, 2).await;
    wait_without_server(&region, 2).await;
    region.assert_exclusive();
}

/// Components that fail in a test.
#[derive(Clone, Copy, Debug)]
struct Failure {
    controller: bool,
    server: bool,
}

/// The scope object changes but the answer to the controller that wrote it is lost. Guards
/// against keys with no owner or with two owners in that case.
#[rstest]
#[case::takeover("lost-takeover", Failure { controller: true, server: false })]
#[case::assignment("lost-assignment", Failure { controller: false, server: true })]
#[case::both("lost-both", Failure { controller: true, server: true })]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_scope_writes_are_resolved(
    #[case] name: &'static str,
    #[case] failure: Failure,
) {
    let mut region = Region::serving(RegionPlan::new(name)).await;
    let before = region.owners(&region.daemons[0]).await;
    let version = scope_version(&region);

    region.platform.set_faults(PlatformFaults {
        lose_answers_prefix: Some(format!("scope/{SERVICE}")),
        ..PlatformFaults::default()
    });
    inject_failure(&mut region, failure).await;
    wait_until("a write took effect without an answer", || async {
        scope_version(&region) > version
    })
    .await;
    region.wait_serving().await;
    region.platform.set_faults(PlatformFaults::default());

    assert_only_lost_keys_moved(&region, &before, if failure.server { &[0] } else { &[] }).await;
    region.servers[0].update_settings(|settings| settings.frozen = false);
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against a new controller that does not reassign the shards of a server that failed
/// together with the old controller.
#[tokio::test(flavor = "multi_thread")]
async fn controller_and_server_fail_at_once() {
    let mut region = Region::serving(RegionPlan::new("controller-and-server")).await;
    let before = region.owners(&region.daemons[0]).await;

    let (controller, server) = (true, true);
    inject_failure(&mut region, Failure { controller, server }).await;
    let lost = Instant::now();
    region.wait_serving().await;
    println!("all keys served again after {:?}", lost.elapsed());

    assert_only_lost_keys_moved(&region, &before, &[0]).await;
    region.servers[0].update_settings(|settings| settings.frozen = false);
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against a region that does not survive the failure of the controller's zone, which
/// has two of five electors and a third of the servers.
#[tokio::test(flavor = "multi_thread")]
async fn whole_zone_fails() {
    let mut plan = RegionPlan::new("zone-lost");
    plan.daemons = 6;
    plan.servers = 6;
    let mut region = Region::serving(plan).await;
    let before = region.owners(&region.daemons[0]).await;
    let zone_lost = zone(region.controller().await);
    let servers = 0..region.servers.len();
    let lost_servers: Vec<usize> = servers.filter(|n| zone(*n) == zone_lost).collect();

    for number in &lost_servers {
        region.servers[*number].update_settings(|settings| settings.frozen = true);
    }
    let daemons = std::mem::take(&mut region.daemons).into_iter();
    let (lost, rest) = daemons.partition(|daemon| daemon.setup.zone == zone_lost);
    region.daemons = rest;
    // A dropped daemon is killed.
    drop::<Vec<DaemonProcess>>(lost);
    let lost = Instant::now();
    region.wait_serving().await;
    println!("all keys served again after {:?}", lost.elapsed());

    assert_only_lost_keys_moved(&region, &before, &lost_servers).await;
    for number in &lost_servers {
        region.servers[*number].update_settings(|settings| settings.frozen = false);
    }
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against a new owner while the old one still holds a grant. The old owner either
/// receives no orders, or receives orders whose answers are lost. The blocked bytes are
/// delivered after the shards have moved.
#[rstest]
#[case::orders_blocked("cut-orders", |settings: &mut ProxySettings| settings.up.blackhole = true)]
#[case::answers_blocked("cut-answers", |settings: &mut ProxySettings| settings.down.blackhole = true)]
#[tokio::test(flavor = "multi_thread")]
async fn shards_move_after_the_grant_of_a_cut_off_server(
    #[case] name: &'static str,
    #[case] fault: fn(&mut ProxySettings),
) {
    let mut plan = RegionPlan::new(name);
    plan.server_proxies = true;
    let region = Region::serving(plan).await;
    let before = region.owners(&region.daemons[0]).await;

    region.server_proxies[0].change(fault);
    for (key, _) in before.iter().filter(|(_, (owner, _))| *owner == 0) {
        wait_until("another server serves the key", || async {
            let found = region.owner_of(&region.daemons[0], key).await;
            found.is_some_and(|(owner, _)| owner != 0)
        })
        .await;
    }
    assert_only_lost_keys_moved(&region, &before, &[0]).await;
    region.assert_exclusive();
    region.server_proxies[0].change(|settings| *settings = ProxySettings::default());
    region.wait_serving().await;

    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Two operators apply different changes to the same version at the same time. Guards against
/// telling both that their change is in force, and against hosts that apply the refused one.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_operators_gets_a_conflict() {
    let region = Region::serving(RegionPlan::new("two-operators")).await;

    for expect in 1..=3 {
        // Both texts differ from the current one in each round.
        let texts = [[0, 1], [0, 2]].map(|servers| {
            let text = region.config_of(&servers);
            format!("{text}# round {expect}\n")
        });
        let target = format!("/v1/config/apply?expect={expect}");
        let (left, right) = tokio::join!(
            region.daemons[0].operator_call(0, "POST", &target, &texts[0]),
            region.daemons[1].operator_call(1, "POST", &target, &texts[1]),
        );
        let (accepted, refused, content, removed) = match left.is_ok() {
            true => (left, right, &texts[0], 2),
            false => (right, left, &texts[1], 1),
        };

        let report = accepted.expect("one change is accepted");
        let report: ApplyReport = serde_json::from_slice(&report).expect("report");
        let version = ConfigVersion(expect + 1);
        assert_eq!((report.version, report.changed), (version, true));
        let Err(ClientError::Refused { error, .. }) = refused else {
            panic!("the other change is not refused: {refused:?}");
        };
        assert_eq!(error.code, ApiCode::VersionMismatch.number());
        assert_eq!(error.current, Some(version));
        wait_for_version(&region, version.0).await;
        for daemon in &region.daemons {
            let held = daemon.operator_call(0, "GET", "/v1/config", "").await;
            assert_eq!(held.expect("content"), content.as_bytes());
        }
        wait_without_server(&region, removed).await;
    }
    region.assert_exclusive();
}

/// Freezes server 0, kills the controller, or both.
async fn inject_failure(region: &mut Region, failure: Failure) {
    let controller = region.controller().await;
    if failure.server {
        region.servers[0].update_settings(|settings| settings.frozen = true);
    }
    if failure.controller {
        region.daemons.remove(controller).kill();
    }
}

/// Version of the scope object that the platform stores.
fn scope_version(region: &Region) -> u64 {
    let object = region.platform.object(&format!("scope/{SERVICE}"));
    object.expect("scope object").0
}

/// Checks that the keys of failed servers have a new owner with a higher token and that no
/// other server lost a shard, except for rebalancing due to the load of the tests.
async fn assert_only_lost_keys_moved(region: &Region, before: &Owners, lost: &[usize]) {
    let lost_names: Vec<String> = lost.iter().map(|number| format!("s{number}")).collect();
    for [old, new, reason] in region.owner_changes() {
        let allowed = match reason.as_str() {
            "initial" | "balance" => true,
            "lost" => lost_names.contains(&old) && !lost_names.contains(&new),
            _ => false,
        };
        assert!(allowed, "change of owner from {old} to {new}: {reason}");
    }
    for daemon in &region.daemons {
        for (key, (owner, token)) in region.owners(daemon).await {
            let (old, old_token) = before[&key];
            assert!(!lost.contains(&owner), "{key} is still at s{owner}");
            if lost.contains(&old) {
                assert!(token > old_token, "{key}: {token:?} after {old_token:?}");
            }
        }
    }
}

/// Waits until every host has adopted a configuration version.
async fn wait_for_version(region: &Region, version: u64) {
    for daemon in &region.daemons {
        wait_until("the host has the version", || async {
            daemon.metric("config_version").await == Some(version as f64)
        })
        .await;
    }
}

/// Waits until no host routes any key to the given server.
async fn wait_without_server(region: &Region, server: usize) {
    for daemon in &region.daemons {
        for key in keys() {
            wait_until("another server serves the key", || async {
                let found = region.owner_of(daemon, &key).await;
                found.is_some_and(|(owner, _)| owner != server)
            })
            .await;
        }
    }
}
