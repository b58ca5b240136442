//! Network partitions between hosts, with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_standin::proxy::ProxySettings,
    processes::{Region, RegionPlan, SERVICE, wait_for, wait_until},
    rstest::rstest,
};

/// Guards against a controller that keeps acting, and against a scope without a controller,
/// when traffic to or from the controller's peer port is blocked or refused.
#[rstest]
#[case::requests_blocked("partition-up", |settings: &mut ProxySettings| settings.up.blackhole = true)]
#[case::answers_blocked("partition-down", |settings: &mut ProxySettings| settings.down.blackhole = true)]
#[case::refused("partition-refuse", |settings: &mut ProxySettings| { settings.refuse = true; settings.cut = true; })]
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_controller_is_replaced(
    #[case] name: &'static str,
    #[case] fault: fn(&mut ProxySettings),
) {
    let mut plan = RegionPlan::new(name);
    plan.proxies = true;
    let region = Region::serving(plan).await;
    let old = region.controller().await;

    region.proxies[old].change(fault);
    let others: Vec<usize> = (0..region.daemons.len()).filter(|n| *n != old).collect();
    wait_for("another controller", || async {
        for number in &others {
            if region.daemons[*number].controls(SERVICE).await {
                return Some(*number);
            }
        }
        None
    })
    .await;
    for number in others {
        region.wait_serving_at(&region.daemons[number]).await;
    }
    wait_until("the old controller steps down", || async {
        !region.daemons[old].controls(SERVICE).await
    })
    .await;
    region.assert_exclusive();

    region.proxies[old].change(|settings| *settings = ProxySettings::default());
    region.wait_serving().await;
    region.assert_exclusive();
}

/// Guards against a host that routes requests by a map whose validity it can no longer extend.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_host_refuses_as_not_run() {
    let mut plan = RegionPlan::new("cut-off");
    plan.proxies = true;
    let region = Region::serving(plan).await;
    let controller = region.controller().await;
    let isolated = (0..region.daemons.len())
        .find(|n| *n != controller)
        .expect("a host");

    // Block all peer ports: the host can reach no other host and none can reach it.
    for proxy in &region.proxies {
        proxy.change(|settings| settings.up.blackhole = true);
    }
    wait_until("the host refuses as not run", || async {
        let sent = region
            .caller
            .get(region.daemons[isolated].callers, "/key0")
            .await;
        sent.is_ok_and(|sent| sent.execution.as_deref() == Some("not-run"))
    })
    .await;
    for proxy in &region.proxies {
        proxy.change(|settings| *settings = ProxySettings::default());
    }

    region.wait_serving().await;
    region.assert_exclusive();
}
