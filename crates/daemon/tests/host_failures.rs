//! Loss, pause and restart of servers and hosts, with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_standin::{backend::BackendSettings, platform::PlatformFaults},
    nix::sys::signal::Signal,
    processes::{DaemonProcess, Region, RegionPlan, SERVICE, keys, wait_for, wait_until},
    std::time::{Duration, Instant},
};

/// Time within which a key is served again after a loss (design page, 1.5).
const SERVED_AGAIN: Duration = Duration::from_secs(5);

/// Guards against keys that stay with a frozen server, against a second owner
/// beside it, and against a new owner without a higher token.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_is_replaced_with_a_higher_token() {
    let mut region = Region::serving(RegionPlan::new("frozen-owner")).await;
    // Short calls, so that waiting for the frozen server does not hide the gap's end.
    region.caller.timeout_ms = Some(200);
    let key = &keys()[0];
    let (owner, before) = region
        .owner_of(&region.daemons[0], key)
        .await
        .expect("owner");

    region.servers[owner].change(|settings| settings.frozen = true);
    let lost = Instant::now();
    let (successor, after) = served_by_other(&region, &region.daemons[0], key, owner).await;
    let gap = lost.elapsed();

    assert_ne!(successor, owner);
    assert!(after.token > before.token, "{after:?} after {before:?}");
    println!("served again after {gap:?}");
    assert!(gap < SERVED_AGAIN, "served again only after {gap:?}");
    region.servers[owner].change(|settings| settings.frozen = false);
    region.caller.timeout_ms = None;
    region.wait_serving().await;
    region.assert_exclusive();
}

/// Guards against keys without an owner, or with two, after the controller is killed.
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

/// Guards against a paused controller that acts on authority that has expired.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_does_no_harm_when_continued() {
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

/// Guards against a loss of service when the platform is down: owners stay, and
/// a lost server's keys are refused as not run until it is back.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_changes_nothing_for_owners() {
    let region = Region::serving(RegionPlan::new("platform-outage")).await;
    let daemon = &region.daemons[0];
    let key = &keys()[0];
    let (owner, before) = region.owner_of(daemon, key).await.expect("owner");

    region.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    // Longer than every lease, so that only renewals without the platform explain success.
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        let (same, run) = region
            .owner_of(daemon, key)
            .await
            .expect("served in the outage");
        assert_eq!((same, run.token), (owner, before.token));
    }
    region.servers[owner].change(|settings| settings.frozen = true);
    wait_until("the lost server's key is refused as not run", || async {
        let sent = region.caller.get(daemon.callers, key).await;
        sent.is_ok_and(|sent| sent.execution.as_deref() == Some("not-run"))
    })
    .await;
    region.platform.set_faults(PlatformFaults::default());
    let (successor, after) = served_by_other(&region, daemon, key, owner).await;

    assert_ne!(successor, owner);
    assert!(after.token > before.token);
    region.assert_exclusive();
}

/// Guards against a restarted host that does not serve, or that breaks exclusive
/// ownership because it forgot its promises.
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

/// Guards against losing the scope when every host restarts at once.
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

/// Guards against two owners where servers check no tokens and only deadlines
/// and leases keep owners apart.
#[tokio::test(flavor = "multi_thread")]
async fn unchecked_owner_that_freezes_is_replaced() {
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

    region.servers[owner].change(|settings| settings.frozen = true);
    let (_, after) = served_by_other(&region, &region.daemons[0], key, owner).await;
    region.servers[owner].change(|settings| settings.frozen = false);

    assert!(after.token > before.token);
    region.wait_serving().await;
    region.assert_exclusive();
}

async fn served_by_other(
    region: &Region,
    daemon: &DaemonProcess,
    key: &str,
    owner: usize,
) -> (usize, camphorcove_standin::backend::RunEntry) {
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
