//! Metrics, audit records and configuration changes of real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_core::{audit::AuditAction, ids::ServiceName},
    camphorcove_net::config::decode_record,
    camphorcove_standin::platform::PlatformFaults,
    camphorcoved::control::decode_scope,
    processes::{Region, RegionPlan, SERVICE, keys, wait_for, wait_until},
};

/// Guards against metrics that are missing or that no longer count.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_the_state_and_counts() {
    let region = Region::serving(RegionPlan::new("metrics")).await;
    let controller = &region.daemons[region.controller().await];
    let metrics = controller.metrics().await.expect("metrics");
    let get = |name: &str| {
        let value = metrics.get(name);
        value.unwrap_or_else(|| panic!("metric {name} is missing"))
    };

    let label = format!("service=\"{SERVICE}\"");
    assert!(get(&format!("requests_by_result_total{{code=\"200\",{label}}}")) >= 40.0);
    assert!(get(&format!("request_duration_seconds_count{{{label}}}")) >= 40.0);
    assert_eq!(
        get(&format!(
            "request_duration_seconds_bucket{{{label},le=\"+Inf\"}}"
        )),
        get(&format!("request_duration_seconds_count{{{label}}}"))
    );
    assert_eq!(
        get(&format!(
            "owner_changes_total{{reason=\"initial\",{label}}}"
        )),
        64.0
    );
    assert!(get(&format!("scope_epoch{{{label}}}")) >= 1.0);
    assert!(get(&format!("map_validity_seconds{{{label}}}")) > 0.0);
    assert!(get(&format!("load_imbalance_ratio{{{label}}}")) >= 1.0);
    assert!(get(&format!("scope_unavailable_seconds{{{label}}}")) >= 0.0);
    assert_eq!(get("config_version"), 1.0);
    assert_eq!(get("live_hosts"), 3.0);
    assert!(get("platform_calls_total{kind=\"put\"}") >= 1.0);
    assert!(get("peer_control_bytes_total{direction=\"sent\"}") > 0.0);
    assert!(get("peer_control_bytes_total{direction=\"received\"}") > 0.0);
}

/// Guards against a configuration change that reaches only some hosts or is undone later.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_change_reaches_every_host() {
    let region = Region::serving(RegionPlan::new("config-change")).await;

    region.apply(&region.config_of(&[0, 1])).await;
    for daemon in &region.daemons {
        wait_until("the host has version 2", || async {
            daemon.metric("config_version").await == Some(2.0)
        })
        .await;
    }
    wait_until("the removed server owns nothing", || async {
        for key in keys() {
            match region.owner_of(&region.daemons[0], &key).await {
                Some((owner, _)) if owner != 2 => {}
                _ => return false,
            }
        }
        true
    })
    .await;

    region.wait_serving().await;
    region.assert_exclusive();
}

/// Guards against audit records that are removed from the scope object without being archived.
#[tokio::test(flavor = "multi_thread")]
async fn audit_records_of_a_scope_are_archived() {
    let region = Region::serving(RegionPlan::new("scope-audit")).await;
    let scope = region
        .platform
        .object(&format!("scope/{SERVICE}"))
        .expect("scope object");
    let state = decode_scope(&scope.1).expect("scope object decodes");
    let newest = state.records.last().expect("a record").clone();

    let mut archived = Vec::new();
    for number in 1..=newest.number {
        let key = format!("audit/{SERVICE}/{number}");
        let object = wait_for(&format!("{key} is archived"), || async {
            region.platform.object(&key)
        })
        .await;
        let record = decode_record(&object.1).expect("record");
        assert_eq!(record.number, number);
        archived.push(record);
    }

    assert!(
        archived
            .iter()
            .any(|record| matches!(record.action, AuditAction::Ownership { .. }))
    );
    for pair in archived.windows(2) {
        assert_eq!(pair[1].previous, pair[0].hash(), "the chain is unbroken");
    }
    assert_eq!(state.service, SERVICE.parse::<ServiceName>().expect("name"));
}

/// Guards against a host that cannot start during a platform outage although its peers serve.
#[tokio::test(flavor = "multi_thread")]
async fn host_restarts_during_a_platform_outage() {
    let mut region = Region::serving(RegionPlan::new("outage-restart")).await;
    let controller = region.controller().await;
    let restarted = (controller + 1) % region.daemons.len();

    region.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let seed = &region.daemons[controller];
    let seed = format!("{}@{}", seed.host(), seed.announced());
    region.daemons[restarted].setup.seeds = vec![seed];
    region.restart_daemon(restarted).await;

    region.wait_serving_at(&region.daemons[restarted]).await;
    region.assert_exclusive();
}
