//! Failures, pauses and restarts of servers and hosts, with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_standin::{backend::BackendSettings, platform::PlatformFaults},
    nix::sys::signal::Signal,
    processes::{DaemonProcess, Region, RegionPlan, SERVICE, keys, wait_for, wait_until},
    std::time::{Duration, Instant},
};

/// Maximum time until a key is served again after its server fails (design page, 1.5).
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// A server that stops answering must be replaced as owner of its keys. Guards against keys
/// that stay with the frozen server, against two owners at once, and against a new owner
/// whose token is not higher.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_is_replaced_with_a_higher_token() {
    let mut region = Region::serving(RegionPlan::new("frozen-owner")).await;
    // A short timeout, so that a request that waits for the frozen server does not lengthen
    // the measured gap.
    region.caller.timeout_ms = Some(200);
    let key = &keys()[0];
    let (owner, before) = region
        .owner_of(&region.daemons[0], key)
        .await
        .expect("owner");

    region.servers[owner].update_settings(|settings| settings.frozen = true);
    let lost = Instant::now();
    let (successor, after) = wait_for_other_owner(&region, &region.daemons[0], key, owner).await;
    let gap = lost.elapsed();

    assert_ne!(successor, owner);
    assert!(after.token > before.token, "{after:?} after {before:?}");
    println!("served again after {gap:?}");
    assert!(gap < RECOVERY_LIMIT, "served again only after {gap:?}");
    region.servers[owner].update_settings(|settings| settings.frozen = false);
    region.caller.timeout_ms = None;
    region.wait_serving().await;
    region.assert_exclusive();
}

/// Guards against keys with no owner or with two owners after the controller is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_controller_is_replaced() {
    let mut region = Region::serving(RegionPlan::new("killed-controller")).await;
    let old = region.controller().await;
    let before = epoch(&region.daemons[old]).await;

    region.daemons[old].kill();
    let others: Vec<usize> = (0..region.daemons.len()).filter(|n| *n != old).collect();
    let new = wait_for("a new controller", || controller_among(&region, &others)).await;

    assert!(epoch(&region.daemons[new]).await > before, "the term rises");
    for number in others {
        region.wait_serving_at(&region.daemons[number]).await;
    }
    region.assert_exclusive();
}

/// Guards against a controller that acts on expired authority when it resumes after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_controller_does_not_act_on_expired_authority() {
    let region = Region::serving(RegionPlan::new("paused-controller")).await;
    let old = region.controller().await;
    let before = epoch(&region.daemons[old]).await;

    region.daemons[old].signal(Signal::SIGSTOP);
    let others: Vec<usize> = (0..region.daemons.len()).filter(|n| *n != old).collect();
    let new = wait_for("a new controller", || controller_among(&region, &others)).await;
    wait_until("the new term serves", || async {
        epoch(&region.daemons[new]).await > before
    })
    .await;
    region.daemons[old].signal(Signal::SIGCONT);

    wait_until("the old controller steps down", || async {
        !region.daemons[old].controls(SERVICE).await
    })
    .await;
    region.wait_serving().await;
    region.assert_exclusive();
}

/// During a platform outage owners must stay as they are, and requests for the keys of a
/// failed server must be refused as not run until the platform is back. Guards against a
/// loss of service for the other keys.
#[tokio::test(flavor = "multi_thread")]
async fn owners_keep_serving_during_a_platform_outage() {
    let region = Region::serving(RegionPlan::new("platform-outage")).await;
    let daemon = &region.daemons[0];
    let key = &keys()[0];
    let (owner, before) = region.owner_of(daemon, key).await.expect("owner");

    region.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    // Longer than every lease, so that requests succeed only if leases are renewed without
    // the platform.
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        let (same, run) = region
            .owner_of(daemon, key)
            .await
            .expect("served in the outage");
        assert_eq!((same, run.token), (owner, before.token));
    }
    region.servers[owner].update_settings(|settings| settings.frozen = true);
    wait_until("the lost server's key is refused as not run", || async {
        let sent = region.caller.get(daemon.callers, key).await;
        sent.is_ok_and(|sent| sent.execution.as_deref() == Some("not-run"))
    })
    .await;
    region.platform.set_faults(PlatformFaults::default());
    let (successor, after) = wait_for_other_owner(&region, daemon, key, owner).await;

    assert_ne!(successor, owner);
    assert!(after.token > before.token);
    region.assert_exclusive();
}

/// Guards against a restarted host that does not serve, or that breaks exclusive
/// ownership because its promises as an elector were only in memory.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_hosts_serve_again() {
    let mut region = Region::serving(RegionPlan::new("restarts")).await;

    for number in 0..region.daemons.len() {
        region.restart_daemon(number).await;
        region.wait_serving_at(&region.daemons[number]).await;
    }

    region.wait_serving().await;
    region.assert_exclusive();
}

/// Guards against a loss of the assignment when all hosts restart at once.
#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_restart_at_once() {
    let mut region = Region::serving(RegionPlan::new("all-restart")).await;
    let key = &keys()[0];
    let (owner, before) = region
        .owner_of(&region.daemons[0], key)
        .await
        .expect("owner");

    for daemon in &mut region.daemons {
        daemon.kill();
    }
    for number in 0..region.daemons.len() {
        region.restart_daemon(number).await;
    }
    region.wait_serving().await;

    let (same, after) = region
        .owner_of(&region.daemons[0], key)
        .await
        .expect("owner");
    assert!(after.token >= before.token, "tokens never fall");
    assert_eq!(same, owner, "the assignment survives in the scope object");
    region.assert_exclusive();
}

/// Guards against two owners when the servers do not check tokens, so that only deadlines
/// and leases prevent an overlap.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_is_replaced_without_token_checks() {
    let mut plan = RegionPlan::new("unchecked");
    plan.service_lines = "fencing = \"unchecked\"";
    plan.backend = BackendSettings {
        unchecked: true,
        ..plan.backend
    };
    let region = Region::serving(plan).await;
    let key = &keys()[0];
    let (owner, before) = region
        .owner_of(&region.daemons[0], key)
        .await
        .expect("owner");

    region.servers[owner].update_settings(|settings| settings.frozen = true);
    let (_, after) = wait_for_other_owner(&region, &region.daemons[0], key, owner).await;
    region.servers[owner].update_settings(|settings| settings.frozen = false);

    assert!(after.token > before.token);
    region.wait_serving().await;
    region.assert_exclusive();
}

async fn wait_for_other_owner(
    region: &Region,
    daemon: &DaemonProcess,
    key: &str,
    owner: usize,
) -> (usize, camphorcove_standin::backend::RequestRecord) {
    wait_for("another owner serves the key", || async {
        let found = region.owner_of(daemon, key).await;
        found.filter(|found| found.0 != owner)
    })
    .await
}

async fn controller_among(region: &Region, numbers: &[usize]) -> Option<usize> {
    for number in numbers {
        if region.daemons[*number].controls(SERVICE).await {
            return Some(*number);
        }
    }
    None
}

async fn epoch(daemon: &DaemonProcess) -> f64 {
    let name = format!("scope_epoch{{service=\"{SERVICE}\"}}");
    daemon.metric(&name).await.unwrap_or(0.0)
}
