//! Slow platform, lost answers, combined losses and one-way cuts, with real
//! daemon processes.

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

/// Guards against owners that lose their keys, and against changes that never
/// take effect, because every call to the platform takes longer than its limit of 1 s.
#[tokio::test(flavor = "multi_thread")]
async fn slow_platform_changes_nothing_for_owners() {
    let mut plan = RegionPlan::new("platform-slow");
    // The load of this test must not start moves between servers that are up.
    plan.service_lines = "placement = \"churn\"";
    let region = Region::serving(plan).await;
    let daemon = &region.daemons[0];
    let before = region.owners(daemon).await;

    region.platform.set_faults(PlatformFaults {
        delay_ms: 2_000,
        ..PlatformFaults::default()
    });
    // Longer than every lease, so that only renewals without the platform explain success.
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
    wait_without(&region, 2).await;
    region.assert_exclusive();
}

/// Guards against a host that keeps an old configuration because its watch of
/// the platform delivers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_every_host_without_watches() {
    let region = Region::serving(RegionPlan::new("silent-watches")).await;

    region.platform.set_faults(PlatformFaults {
        silent_watches: true,
        ..PlatformFaults::default()
    });
    region.apply(&region.config_of(&[0, 1])).await;

    wait_for_version(&region, 2).await;
    wait_without(&region, 2).await;
    region.assert_exclusive();
}

/// What is lost in a test.
#[derive(Clone, Copy, Debug)]
struct Loss {
    controller: bool,
    server: bool,
}

/// Guards against keys that stay without an owner, or get two, when the scope
/// object changes but the controller that wrote it never hears so.
#[rstest]
#[case::takeover("lost-takeover", Loss { controller: true, server: false })]
#[case::assignment("lost-assignment", Loss { controller: false, server: true })]
#[case::both("lost-both", Loss { controller: true, server: true })]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_scope_writes_are_settled(#[case] name: &'static str, #[case] loss: Loss) {
    let mut region = Region::serving(RegionPlan::new(name)).await;
    let before = region.owners(&region.daemons[0]).await;
    let version = scope_version(&region);

    region.platform.set_faults(PlatformFaults {
        lose_answers_prefix: Some(format!("scope/{SERVICE}")),
        ..PlatformFaults::default()
    });
    lose(&mut region, loss).await;
    wait_until("a write took effect without an answer", || async {
        scope_version(&region) > version
    })
    .await;
    region.wait_serving().await;
    region.platform.set_faults(PlatformFaults::default());

    assert_only_lost_keys_moved(&region, &before, if loss.server { &[0] } else { &[] }).await;
    region.servers[0].change(|settings| settings.frozen = false);
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against a takeover that forgets the shards of a server lost with the controller.
#[tokio::test(flavor = "multi_thread")]
async fn controller_and_server_lost_at_once() {
    let mut region = Region::serving(RegionPlan::new("controller-and-server")).await;
    let before = region.owners(&region.daemons[0]).await;

    let (controller, server) = (true, true);
    lose(&mut region, Loss { controller, server }).await;
    let lost = Instant::now();
    region.wait_serving().await;
    println!("all keys served again after {:?}", lost.elapsed());

    assert_only_lost_keys_moved(&region, &before, &[0]).await;
    region.servers[0].change(|settings| settings.frozen = false);
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against a region that does not survive the loss of the zone with the
/// controller: two of five electors and a third of the servers.
#[tokio::test(flavor = "multi_thread")]
async fn zone_is_lost_whole() {
    let mut plan = RegionPlan::new("zone-lost");
    plan.daemons = 6;
    plan.servers = 6;
    let mut region = Region::serving(plan).await;
    let before = region.owners(&region.daemons[0]).await;
    let zone_lost = zone(region.controller().await);
    let servers = 0..region.servers.len();
    let lost_servers: Vec<usize> = servers.filter(|n| zone(*n) == zone_lost).collect();

    for number in &lost_servers {
        region.servers[*number].change(|settings| settings.frozen = true);
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
        region.servers[*number].change(|settings| settings.frozen = false);
    }
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against a new owner beside one that still holds a grant: the server
/// that hears nothing, and the one that hears orders whose results get lost.
/// The bytes held back arrive late, when the shards have moved.
#[rstest]
#[case::orders_do_not_arrive("cut-orders", |settings: &mut ProxySettings| settings.up.blackhole = true)]
#[case::answers_do_not_return("cut-answers", |settings: &mut ProxySettings| settings.down.blackhole = true)]
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

/// Guards against two operators who are both told that their change is in force,
/// and against hosts that follow the one that was refused.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_is_told_of_the_conflict() {
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
        wait_without(&region, removed).await;
    }
    region.assert_exclusive();
}

/// Freezes server 0 and kills the controller.
async fn lose(region: &mut Region, loss: Loss) {
    let controller = region.controller().await;
    if loss.server {
        region.servers[0].change(|settings| settings.frozen = true);
    }
    if loss.controller {
        region.daemons.remove(controller).kill();
    }
}

/// Version of the scope object in the platform.
fn scope_version(region: &Region) -> u64 {
    let object = region.platform.object(&format!("scope/{SERVICE}"));
    object.expect("scope object").0
}

/// Checks that the keys of lost servers have another owner with a higher token, and
/// that no other server lost a shard, save to even out the load that the tests make.
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

/// Waits until every host follows a configuration.
async fn wait_for_version(region: &Region, version: u64) {
    for daemon in &region.daemons {
        wait_until("the host has the version", || async {
            daemon.metric("config_version").await == Some(version as f64)
        })
        .await;
    }
}

/// Waits until no host routes a key to a server.
async fn wait_without(region: &Region, server: usize) {
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
