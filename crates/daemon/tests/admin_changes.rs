//! Configuration changes through the operator API are complete, take effect once and are
//! recorded.

#[path = "support/admin_host.rs"]
mod support;

use {
    camphorcove_core::{conf::FaultKind, ids::ConfigVersion},
    camphorcove_net::{
        config::AuditPage,
        operator::{ApiCode, ApplyReport, CheckReport, DiffReport, StatusReport, VerifyReport},
    },
    camphorcove_standin::platform::{PlatformFaults, PlatformStandin},
    rstest::rstest,
    serde_json::json,
    support::{AdminHost, STOCKHOLM, key},
};

async fn start() -> (PlatformStandin, AdminHost) {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let host = AdminHost::start(&platform, "host-1").await;
    (platform, host)
}

fn changed(queue: u32) -> String {
    STOCKHOLM.replace("queue = 48", &format!("queue = {queue}"))
}

fn order(order: &str, expect: u64) -> String {
    json!({
        "order": { "order": order, "service": "ledig", "server": "ledig-3" },
        "expect": expect,
        "reason": "disk replacement",
    })
    .to_string()
}

#[tokio::test]
async fn a_file_goes_from_check_to_rollback_and_leaves_a_verified_trail() {
    let (_platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let checked: CheckReport = api.post("/v1/config/check", STOCKHOLM).await.unwrap();
    let first: DiffReport = api.post("/v1/config/diff", STOCKHOLM).await.unwrap();
    assert_eq!(
        (checked.services, checked.servers, first.lines.len()),
        (3, 29, 4)
    );

    let apply = "/v1/config/apply?expect=0&reason=first%20file";
    let applied: ApplyReport = api.post(apply, STOCKHOLM).await.unwrap();
    let diff: DiffReport = api.post("/v1/config/diff", changed(49)).await.unwrap();
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=1", changed(49))
        .await
        .unwrap();
    let drained: ApplyReport = api.post("/v1/orders", order("drain", 2)).await.unwrap();
    let rollback = json!({ "target": 1, "expect": 3, "reason": "" }).to_string();
    let rolled_back: ApplyReport = api.post("/v1/config/rollback", rollback).await.unwrap();

    assert_eq!(diff.lines, ["~ service ledig: limits.queue: 48 -> 49"]);
    let versions = [applied.version, drained.version, rolled_back.version];
    assert_eq!(versions, [1, 3, 4].map(ConfigVersion));
    assert_eq!(api.send("GET", "/v1/config", "").await.unwrap(), STOCKHOLM);
    assert_eq!(
        api.send("GET", "/v1/config?version=2", "").await.unwrap(),
        changed(49)
    );
    host.load_config().await;
    let status: StatusReport = api.get("/v1/status").await.unwrap();
    assert_eq!(status.drained, ["ledig/ledig-3"]);
    assert_eq!(
        (status.config, status.platform),
        (ConfigVersion(4), Some(ConfigVersion(4)))
    );
    let page: AuditPage = api.get("/v1/audit?stream=config").await.unwrap();
    let records = page.records;
    assert_eq!((records.len(), page.next), (4, None));
    assert!(records.iter().all(|record| record.actor == "anna"));
    assert_eq!(records[0].reason, "first file");
    let verified: VerifyReport = api.get("/v1/audit/verify?stream=config").await.unwrap();
    assert_eq!((verified.report.records, verified.texts.len()), (4, 0));
    let export = api
        .send("GET", "/v1/audit/export?stream=config&from=2&limit=2", "")
        .await
        .unwrap();
    assert_eq!(export.iter().filter(|byte| **byte == b'\n').count(), 2);
}

/// Guards against an invalid, forbidden or outdated change that takes effect, in whole or
/// in part.
#[tokio::test]
async fn a_refused_file_changes_nothing() {
    let (_platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=0", STOCKHOLM)
        .await
        .unwrap();
    let faulty = STOCKHOLM.replace("slots = 3", "slots = 0");
    let forbidden = STOCKHOLM.replace("segment = 1", "segment = 2");

    let apply = "/v1/config/apply?expect=1&file=stockholm.toml";
    let faults = api.post::<ApplyReport>(apply, faulty).await.unwrap_err();
    let rules = api.post::<ApplyReport>(apply, forbidden).await.unwrap_err();
    let stale = api
        .post::<ApplyReport>("/v1/config/apply?expect=0", changed(49))
        .await
        .unwrap_err();

    assert_eq!(faults.code, ApiCode::InvalidFile.number());
    assert_eq!(faults.faults.len(), 29);
    let fault = &faults.faults[0];
    assert_eq!(
        (fault.kind, fault.file.as_str()),
        (FaultKind::OutOfRange, "stockholm.toml")
    );
    assert_eq!(
        (rules.code, rules.rules.len()),
        (ApiCode::ForbiddenChange.number(), 1)
    );
    assert_eq!(
        (stale.code, stale.current),
        (ApiCode::VersionMismatch.number(), Some(ConfigVersion(1)))
    );
    let status: StatusReport = api.get("/v1/status").await.unwrap();
    assert_eq!(status.platform, Some(ConfigVersion(1)));
}

/// Guards against two operators who are both told that their change is in force.
#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    for round in 0..8 {
        let (platform, host) = start().await;
        let other = AdminHost::start(&platform, "host-2").await;
        let (anna, bertil) = (host.api(&key("anna", 'a')), other.api(&key("bertil", 'b')));
        let apply = "/v1/config/apply?expect=0";

        let (left, right) = tokio::join!(
            anna.post::<ApplyReport>(apply, changed(50)),
            bertil.post::<ApplyReport>(apply, changed(51)),
        );

        let content = host.repo.content(None).await.unwrap();
        let (winner, loser) = match content == changed(50) {
            true => (left, right),
            false => (right, left),
        };
        assert!(winner.unwrap().changed, "round {round}");
        assert_eq!(
            loser.unwrap_err().code,
            ApiCode::VersionMismatch.number(),
            "round {round}"
        );
    }
}

/// Guards against a change that is lost or made twice when a response of the platform is
/// lost.
#[rstest]
#[case::head("config/head")]
#[case::part("config/part/")]
#[case::archived_record("audit/config/")]
#[tokio::test]
async fn a_change_succeeds_once_despite_a_lost_response_of_the_platform(#[case] prefix: &str) {
    let (platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=0", STOCKHOLM)
        .await
        .unwrap();
    let lose_answers_prefix = Some(prefix.to_owned());
    platform.set_faults(PlatformFaults {
        lose_answers_prefix,
        ..PlatformFaults::default()
    });

    let report: ApplyReport = api
        .post("/v1/config/apply?expect=1", changed(49))
        .await
        .unwrap();

    assert_eq!((report.version, report.changed), (ConfigVersion(2), true));
    let verified: VerifyReport = api.get("/v1/audit/verify?stream=config").await.unwrap();
    assert_eq!((verified.report.records, verified.texts.len()), (2, 0));
}

/// Guards against a change or a wrong result code during an outage of the platform, and
/// against a status request that fails because of it.
#[tokio::test]
async fn an_outage_changes_nothing_and_status_still_answers() {
    let (platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=0", STOCKHOLM)
        .await
        .unwrap();
    host.load_config().await;
    platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });

    let refused = api
        .post::<ApplyReport>("/v1/config/apply?expect=1", changed(49))
        .await;
    let status: StatusReport = api.get("/v1/status").await.unwrap();

    assert_eq!(
        refused.unwrap_err().code,
        ApiCode::PlatformUnavailable.number()
    );
    assert_eq!((status.config, status.platform), (ConfigVersion(1), None));
    platform.set_faults(PlatformFaults::default());
    let again: ApplyReport = api
        .post("/v1/config/apply?expect=1", changed(49))
        .await
        .unwrap();
    assert_eq!((again.version, again.changed), (ConfigVersion(2), true));
}

/// Guards against a repeated request that undoes a later change by another operator.
#[tokio::test]
async fn repeating_an_order_has_no_second_effect() {
    let (_platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=0", STOCKHOLM)
        .await
        .unwrap();
    let _: ApplyReport = api.post("/v1/orders", order("drain", 1)).await.unwrap();

    let repeated: ApplyReport = api.post("/v1/orders", order("drain", 1)).await.unwrap();
    let _: ApplyReport = api.post("/v1/orders", order("undrain", 2)).await.unwrap();
    let outdated = api
        .post::<ApplyReport>("/v1/orders", order("drain", 1))
        .await;

    assert_eq!(
        (repeated.version, repeated.changed),
        (ConfigVersion(2), false)
    );
    assert_eq!(
        outdated.unwrap_err().code,
        ApiCode::VersionMismatch.number()
    );
}

/// Guards against a "nothing changed" result for a change that took effect while reads
/// return an older state: the outcome must be reported as unknown.
#[tokio::test]
async fn stale_reads_make_the_outcome_unknown() {
    let (platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=0", STOCKHOLM)
        .await
        .unwrap();
    let lose_answers_prefix = Some("config/head".to_owned());
    platform.set_faults(PlatformFaults {
        stale_reads: true,
        lose_answers_prefix,
        ..PlatformFaults::default()
    });

    let unknown = api
        .post::<ApplyReport>("/v1/config/apply?expect=1", changed(49))
        .await;
    platform.set_faults(PlatformFaults::default());
    let again: ApplyReport = api
        .post("/v1/config/apply?expect=1", changed(49))
        .await
        .unwrap();

    assert_eq!(unknown.unwrap_err().code, ApiCode::OutcomeUnknown.number());
    assert_eq!((again.version, again.changed), (ConfigVersion(2), false));
}
