//! State shown by the operator API: owners, services, servers, moves, routing explanations
//! and audit streams of scopes.

#[path = "support/admin_host.rs"]
mod support;

use {
    camphorcove_core::{
        audit::{AuditAction, ChainFault},
        ids::{ConfigVersion, Epoch},
        map::ServerPhase,
        scope::ScopeState,
    },
    camphorcove_net::{
        clock::BootClock,
        config::{AuditReader, archive_record},
        operator::{
            ApiCode, ApplyReport, ExplainReport, MoveStatus, OwnerReport, ServerStatus,
            ServiceStatus,
        },
        platform::{ObjectStore, PutCondition},
    },
    camphorcove_standin::platform::PlatformStandin,
    camphorcoved::{
        control::{encode_scope, scope_key},
        maps::TimedMap,
    },
    rstest::rstest,
    serde_json::json,
    std::sync::Arc,
    support::{AdminHost, Api, STOCKHOLM, build_timed_map, key},
};

async fn start() -> (PlatformStandin, AdminHost, Api) {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let host = AdminHost::start(&platform, "host-1").await;
    let api = host.api(&key("anna", 'a'));
    let _: ApplyReport = api
        .post("/v1/config/apply?expect=0", STOCKHOLM)
        .await
        .unwrap();
    host.load_config().await;
    (platform, host, api)
}

/// Gives the host a routing map of the service, modified by `change`.
fn install_map(host: &AdminHost, service: &str, change: impl FnOnce(&mut TimedMap)) {
    let snapshot = host.config.config().unwrap();
    let mut timed_map = build_timed_map(&snapshot.config, service, snapshot.version);
    change(&mut timed_map);
    host.maps.accept(timed_map);
}

fn map_mut(timed_map: &mut TimedMap) -> &mut camphorcove_core::map::RoutingMap {
    Arc::get_mut(&mut timed_map.map).unwrap()
}

#[tokio::test]
async fn the_owner_of_a_key_and_its_pin_are_shown() {
    let (_platform, host, api) = start().await;
    let pin = json!({
        "order": { "order": "pin", "service": "ledig", "key": "raft 17", "server": "ledig-2" },
        "expect": 1,
        "reason": "",
    });
    let _: ApplyReport = api.post("/v1/orders", pin.to_string()).await.unwrap();
    host.load_config().await;
    install_map(&host, "ledig", |_| {});

    let report: OwnerReport = api
        .get("/v1/owner?service=ledig&key=raft%2017")
        .await
        .unwrap();

    assert_eq!(report.owner.unwrap().as_str(), "ledig-1");
    assert_eq!(report.pinned.unwrap().as_str(), "ledig-2");
    assert_eq!((report.token.as_str(), report.map.as_str()), ("7.1", "7.3"));
    assert!(report.valid_ms > 0);
}

#[tokio::test]
async fn services_servers_and_moves_are_shown() {
    let (_platform, host, api) = start().await;
    install_map(&host, "ledig", |timed_map| {
        let map = map_mut(timed_map);
        map.shards[5].moving = true;
        map.shards[6].owner = None;
        map.servers[1].phase = ServerPhase::Lost;
    });

    let services: Vec<ServiceStatus> = api.get("/v1/services").await.unwrap();
    let servers: Vec<ServerStatus> = api.get("/v1/servers?service=ledig").await.unwrap();
    let moves: Vec<MoveStatus> = api.get("/v1/moves").await.unwrap();

    let ledig = &services[0];
    assert_eq!((ledig.shards, ledig.unowned, ledig.moving), (4_096, 1, 1));
    assert_eq!((ledig.servers["ready"], ledig.servers["lost"]), (11, 1));
    assert_eq!((services.len(), services[1].valid_ms), (3, 0));
    assert_eq!(
        (servers.len(), servers[0].shards, servers[1].shards),
        (12, 4_095, 0)
    );
    assert_eq!((moves.len(), moves[0].shard.0), (1, 5));
}

/// Guards against an explanation that contradicts the configuration or the routing map.
#[rstest]
#[case::routed("/ledig/raft-17", "ledig", |_: &mut TimedMap| {}, None, "sent to server ledig-1")]
#[case::no_service("/nothing", "ledig", |_: &mut TimedMap| {}, Some(101), "no service answers")]
#[case::dot_segment("/ledig/../boka", "ledig", |_: &mut TimedMap| {}, Some(102), "dot segment")]
#[case::no_key("/ledig", "ledig", |_: &mut TimedMap| {}, Some(102), "no key in path segment 1")]
#[case::bad_key("/ledig/%zz", "ledig", |_: &mut TimedMap| {}, Some(102), "no key in path segment 1")]
#[case::no_map("/boka/1", "ledig", |_: &mut TimedMap| {}, Some(105), "no routing map")]
#[case::expired("/ledig/raft-17", "ledig", |timed_map: &mut TimedMap| timed_map.valid_until = BootClock.now(), Some(105), "expired")]
#[case::moving("/ledig/raft-17", "ledig", |timed_map: &mut TimedMap| map_mut(timed_map).shards.iter_mut().for_each(|entry| entry.moving = true), Some(107), "under way")]
#[case::unowned("/ledig/raft-17", "ledig", |timed_map: &mut TimedMap| map_mut(timed_map).shards.iter_mut().for_each(|entry| entry.owner = None), Some(106), "nobody owns")]
#[case::lost("/ledig/raft-17", "ledig", |timed_map: &mut TimedMap| map_mut(timed_map).servers[0].phase = ServerPhase::Lost, Some(106), "ledig-1 is lost")]
#[case::no_forwarder("/ledig/raft-17", "ledig", |timed_map: &mut TimedMap| map_mut(timed_map).servers[0].forwarder = None, Some(108), "no host forwards")]
#[case::free("/boka/1", "boka", |timed_map: &mut TimedMap| map_mut(timed_map).servers[0].phase = ServerPhase::Draining, None, "5 in phase ready of 6")]
#[case::suspects("/boka/1", "boka", |timed_map: &mut TimedMap| map_mut(timed_map).servers.iter_mut().for_each(|server| server.phase = ServerPhase::Suspect), None, "6 in phase suspect of 6")]
#[case::none_usable("/boka/1", "boka", |timed_map: &mut TimedMap| map_mut(timed_map).servers.iter_mut().for_each(|server| server.phase = ServerPhase::Lost), Some(106), "none of 6 servers")]
#[tokio::test]
async fn requests_are_explained(
    #[case] target: &str,
    #[case] service: &str,
    #[case] change: fn(&mut TimedMap),
    #[case] code: Option<u16>,
    #[case] outcome: &str,
) {
    let (_platform, host, api) = start().await;
    install_map(&host, service, change);
    let request = json!({ "method": "GET", "host": "x.example", "target": target });

    let report: ExplainReport = api.post("/v1/explain", request.to_string()).await.unwrap();

    let last = report.steps.last().unwrap();
    assert_eq!(
        (report.code, report.routed),
        (code, code.is_none()),
        "{report:?}"
    );
    assert!(last.contains(outcome), "{last}");
}

fn scope_state(shards: usize, records: usize) -> ScopeState {
    let mut state = ScopeState {
        service: "ledig".parse().unwrap(),
        epoch: Epoch(1),
        controller: "host-1".parse().unwrap(),
        nonce: 1,
        electors: Vec::new(),
        sequence: 0,
        config: ConfigVersion(1),
        shards: vec![Default::default(); shards],
        resigned: false,
        promises_ended: false,
        uncovered_grants: false,
        records: Vec::new(),
    };
    for _ in 0..records {
        state.append_record(
            1,
            AuditAction::Takeover {
                before: 0,
                after: 1,
            },
            "test",
        );
    }
    state
}

/// Guards against scope records that the operator API cannot read in the format that the
/// controller writes, archived or in the scope object.
#[tokio::test]
async fn the_stream_of_a_scope_is_verified_as_a_whole() {
    let (platform, _host, _api) = start().await;
    let store = platform.client();
    let mut state = scope_state(64, 5);
    for record in &state.records[..4] {
        archive_record(&store, "ledig", record).await.unwrap();
    }
    state.remove_archived_records(3);
    let key = scope_key(&state.service);
    store
        .put(&key, PutCondition::Absent, encode_scope(&state))
        .await
        .unwrap();
    let reader = AuditReader::new(store);

    let report = reader.verify("ledig", &[]).await.unwrap();
    let anchor = report.last.unwrap();
    let later_anchor = camphorcove_core::audit::ChainAnchor {
        number: 6,
        ..anchor
    };

    assert_eq!((report.records, report.faults), (5, Vec::new()));
    let truncated = reader.verify("ledig", &[later_anchor]).await.unwrap();
    assert_eq!(
        truncated.faults,
        [ChainFault::CutEnd {
            last: 5,
            expected: 6
        }]
    );
    assert_eq!(reader.streams().await.unwrap(), ["config", "ledig"]);
}

/// Guards against a service that is removed and added again with another number of
/// shards, while its scope object still has the old number.
#[tokio::test]
async fn a_leftover_scope_object_keeps_the_number_of_shards() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let host = AdminHost::start(&platform, "host-1").await;
    let state = scope_state(64, 0);
    let key_of_scope = scope_key(&state.service);
    let store = platform.client();
    store
        .put(&key_of_scope, PutCondition::Absent, encode_scope(&state))
        .await
        .unwrap();
    let api = host.api(&key("anna", 'a'));

    let refused = api
        .post::<ApplyReport>("/v1/config/apply?expect=0", STOCKHOLM)
        .await;
    let same_shard_count = STOCKHOLM.replace("name = \"ledig\"", "name = \"ledig\"\nshards = 64");
    let accepted = api
        .post::<ApplyReport>("/v1/config/apply?expect=0", same_shard_count)
        .await;

    assert_eq!(refused.unwrap_err().code, ApiCode::ForbiddenChange.number());
    assert!(accepted.unwrap().changed);
}
