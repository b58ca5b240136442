//! What one host knows of evacuated zones, tells of them, and sends to their servers.

mod support;

use {
    camphorcove_core::{
        dispatch::AdmissionRule,
        fleet::{EvacuationList, EvacuationSource},
        routing::RouteRank,
    },
    camphorcove_gateway::{
        metrics::render_metrics,
        state::{HostState, PickQuery, PickRefusal, SeenVersions, ServerPick, StoreKind},
        watch::{EvacuationFollower, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        caller::{read_response, request},
        scripted_server::{ScriptedServer, Step, complete_response},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{
        evacuation_region::{LIMIT, ZONES, evacuated, evacuating_host, until},
        fixtures::{
            TARGET_LATENCY, TIME_LIMIT, TestHost, entry, first_listing_span, host_state,
            owners_with, settings, start_listener, table, version,
        },
        single_host::read,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep},
};

fn list(revision: u64, zones: &[&str]) -> EvacuationList {
    EvacuationList {
        version: version(revision),
        zones: zones
            .iter()
            .map(|zone| zone.parse().expect("valid name"))
            .collect(),
    }
}

/// A host without a store, which knows that no zone is evacuated and one server of the service, in
/// `zone-a`, that owns all keys.
async fn host_with(server: SocketAddr, service: &str) -> TestHost {
    let mut settings = settings(([127, 0, 0, 1], 1).into());
    settings.evacuation_limit = Some(LIMIT);
    let state = Arc::new(HostState::new(settings));
    state.set_table(table(1));
    let owner = entry("s-1", service, server);
    state.replace_fleet(vec![owner.clone()], first_listing_span());
    if service == "keyed" {
        state.set_owners(owners_with(&owner), version(1));
    }
    // A host that does not know the number of hosts sends no retries.
    state.set_remote_load(Some(10), &[]);
    state.apply_evacuations(list(1, &[]), EvacuationSource::Snapshot);
    start_listener(state).await
}

/// Guards against requests without a key that reach an evacuated zone while owners there still serve.
#[tokio::test]
async fn server_without_keys_gets_no_requests_at_once() {
    let server = ScriptedServer::start(vec![complete_response("ok")]).await;
    let host = host_with(server.address, "plain").await;

    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    let response = read(&host, "plain").await;

    assert_eq!(response.status, 503);
    assert!(response.body.starts_with("not run"), "{}", response.body);
    assert!(server.log().requests.is_empty());
}

/// Guards against keyed requests that are refused before the keys can have moved, or sent after the
/// time is up.
#[tokio::test]
async fn owner_serves_until_the_time_is_up() {
    let scripts = vec![complete_response("ok"); 3];
    let server = ScriptedServer::start(scripts).await;
    let host = host_with(server.address, "keyed").await;

    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    let meanwhile = read(&host, "keyed").await;
    sleep(LIMIT / 2).await;
    let later = read(&host, "keyed").await;

    assert_eq!((meanwhile.status, later.status), (200, 503));
    assert!(later.body.starts_with("not run"), "{}", later.body);
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against a retry that reaches the zone after the time is up, as the first attempt was sent
/// within it.
#[tokio::test]
async fn retry_is_not_sent_after_the_time_is_up() {
    let silent = vec![Step::Wait(TIME_LIMIT * 4)];
    let scripts = vec![complete_response("ok"), silent, complete_response("late")];
    let server = ScriptedServer::start(scripts).await;
    let host = host_with(server.address, "keyed").await;
    // The host learns how long the server takes, and so when to send a request again.
    read(&host, "keyed").await;
    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    // The host waits for at least the target latency before it sends a request again.
    sleep(LIMIT / 2 - Duration::from_millis(250)).await;

    let response = read(&host, "keyed").await;

    assert!(matches!(response.status, 502 | 504), "{}", response.status);
    assert_eq!(server.log().requests.len(), 2);
}

/// Guards against attempts that are made in vain, connections to the zone, and servers of other zones that
/// are tried late, as only the check before sending knows of the evacuation.
#[rstest]
#[case::without_key("plain", None, Duration::ZERO, PickRefusal::NoServer)]
#[case::keyed("keyed", Some(7), LIMIT / 2, PickRefusal::OwnerEvacuated)]
#[tokio::test]
async fn server_of_an_evacuated_zone_is_not_picked(
    #[case] service: &str,
    #[case] key: Option<u16>,
    #[case] wait: Duration,
    #[case] expected: PickRefusal,
) {
    let host = host_with(([127, 0, 0, 1], 1).into(), service).await;
    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    sleep(wait).await;
    let query = PickQuery {
        service: &service.parse().expect("valid name"),
        key,
        tried: &[],
        rule: AdmissionRule {
            target_latency: TARGET_LATENCY,
            time_left: TIME_LIMIT,
            rank_limit: None,
            is_hot_key: false,
        },
        rank: RouteRank(0),
        is_waiting: false,
        plans_returns: false,
    };

    let pick = host.state.pick_server(query);

    assert!(
        matches!(pick, ServerPick::Refuse(reason, _) if reason == expected),
        "{pick:?}"
    );
}

/// Guards against pipelined requests that pass the rule, as they start when they arrive.
#[tokio::test]
async fn pipelined_requests_do_not_reach_an_evacuated_zone() {
    let server = ScriptedServer::start(vec![complete_response("ok"); 2]).await;
    let host = host_with(server.address, "plain").await;
    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    let mut stream = TcpStream::connect(host.address).await.expect("connects");
    let both = ["r-1", "r-2"].map(|id| request("GET", "/read/a", id, "", ""));

    let written = stream.write_all(both.concat().as_bytes()).await;
    let mut bytes = Vec::new();
    let first = read_response(&mut stream, &mut bytes).await;
    let second = read_response(&mut stream, &mut bytes).await;

    assert!(written.is_ok());
    assert_eq!((first.status, second.status), (503, 503));
    assert!(server.log().requests.is_empty());
}

/// Guards against a request that was assigned to a server of the zone before the host learned of the
/// evacuation and is sent afterwards, as opening the connection took time.
#[rstest]
#[case::without_key("plain", Duration::ZERO)]
#[case::keyed("keyed", LIMIT / 2)]
#[tokio::test]
async fn request_is_checked_again_before_it_is_sent(#[case] service: &str, #[case] wait: Duration) {
    let server = ScriptedServer::start(Vec::new()).await;
    let host = host_with(server.address, service).await;
    let server = entry("s-1", service, server.address);
    let before = host.state.may_send_to(&server);

    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    sleep(wait).await;

    assert!(before);
    assert!(!host.state.may_send_to(&server));
}

/// Guards against an evacuation that is ignored because of the content of its object, and against an
/// invalid name that hides the other zones.
#[tokio::test]
async fn only_the_names_of_the_objects_matter() {
    let (store, address) = StoreStandin::start().await;
    store.put("evacuations", "Not A Zone", json!({}));
    store.put_raw("evacuations", "zone-a", "{\"Since\": 1e999}");
    store.put("evacuations", "zone-b", json!(7));

    let host = evacuating_host("host-1", address, Vec::new()).await;
    until("listed", || !evacuated(&host.state).is_empty()).await;
    store.put("evacuations", "zone-c", json!([]));
    store.put("evacuations", "Not A Zone", json!({}));
    until("watched", || evacuated(&host.state).len() == 3).await;

    let zones = evacuated(&host.state);
    let zones: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
    assert_eq!(zones, ZONES);
}

/// A host without a leader actor that follows the evacuated zones in the store.
fn following_host(store: SocketAddr) -> Arc<HostState> {
    let mut settings = settings(store);
    settings.evacuation_limit = Some(LIMIT);
    let state = Arc::new(HostState::new(settings));
    let client = StoreClient::new(store, Duration::from_millis(400));
    let follower = EvacuationFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client, follower));
    state
}

/// Guards against watches of all hosts, which are billed, while the leader's digests carry the list; and
/// against hosts that learn nothing because a leader of an earlier build sends none.
#[rstest]
#[case::list_in_digests(true)]
#[case::earlier_build(false)]
#[tokio::test]
async fn host_watches_the_store_only_if_digests_carry_no_list(#[case] has_list: bool) {
    let (store, address) = StoreStandin::start().await;
    let state = following_host(address);
    until("listed", || state.evacuation_list().is_some()).await;
    let evacuations = has_list.then(|| list(1, &[]));

    for _ in 0..20 {
        state.record_digest(false);
        state.record_digest_evacuations(evacuations.as_ref());
        sleep(Duration::from_millis(100)).await;
    }

    let calls = store.calls();
    let is_watch = |call: &String| call.contains("/evacuations?Watch=");
    assert_eq!(calls.iter().any(is_watch), !has_list, "{calls:?}");
}

/// Guards against a host that has lost its leader and learns of no evacuation.
#[tokio::test]
async fn host_without_digests_learns_from_the_store() {
    let (store, address) = StoreStandin::start().await;
    let state = following_host(address);
    until("listed", || state.evacuation_list().is_some()).await;

    store.put("evacuations", "zone-a", json!({}));
    let learned = until("learned", || !evacuated(&state).is_empty()).await;

    // 1.5 s pass until a host that has just started misses the first digest.
    assert!(learned < LIMIT / 2, "{learned:?}");
}

/// Guards against a newer list that only one host knows: it has to reach the leader with the reports.
#[tokio::test]
async fn newer_list_goes_up_with_reports() {
    let host = host_with(([127, 0, 0, 1], 1).into(), "plain").await;
    let state = &host.state;
    state.record_digest_evacuations(Some(&list(1, &[])));
    let known = state.evacuation_news();

    state.apply_evacuations(list(5, &["zone-a"]), EvacuationSource::Watch);
    let news = state.evacuation_news();
    state.record_digest_evacuations(Some(&list(5, &["zone-a"])));

    assert_eq!(known, None);
    assert_eq!(news, Some(list(5, &["zone-a"])));
    assert_eq!(state.evacuation_news(), None);
}

/// Guards against digests that do not fit into a datagram because of many objects: hosts would take the
/// leader for lost.
#[tokio::test]
async fn long_list_is_left_out_of_messages() {
    let host = host_with(([127, 0, 0, 1], 1).into(), "plain").await;
    let names: Vec<String> = (0..1_000).map(|number| format!("zone-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let state = &host.state;

    state.apply_evacuations(list(2, &names[..3]), EvacuationSource::Watch);
    let short = (state.digest_evacuations(), state.evacuation_news());
    state.apply_evacuations(list(3, &names), EvacuationSource::Watch);

    assert_eq!(
        short,
        (Some(list(2, &names[..3])), Some(list(2, &names[..3])))
    );
    assert_eq!(
        (state.digest_evacuations(), state.evacuation_news()),
        (None, None)
    );
    assert_eq!(evacuated(state).len(), names.len());
}

/// Guards against an operator who cannot see whether a zone is empty.
#[tokio::test]
async fn metrics_show_what_is_left_in_an_evacuated_zone() {
    let host = host_with(([127, 0, 0, 1], 1).into(), "keyed").await;
    let before = page_of(&host.state);

    host.state
        .apply_evacuations(list(2, &["zone-a"]), EvacuationSource::Watch);
    let during = page_of(&host.state);
    host.state
        .apply_evacuations(list(3, &[]), EvacuationSource::Watch);
    let after = page_of(&host.state);

    let lines = [
        "camphorcove_evacuated_zone_keys{zone=\"zone-a\"} 65536",
        "camphorcove_evacuated_zone_in_flight{zone=\"zone-a\"} 0",
        "camphorcove_evacuated_zone_seconds{zone=\"zone-a\"} 0",
    ];
    for line in lines {
        assert!(during.contains(line), "{during}");
    }
    assert!(!before.contains("zone-a") && !after.contains("zone-a"));
}

fn page_of(state: &HostState) -> String {
    let page = render_metrics(state).expect("a page");
    String::from_utf8(page).expect("text")
}

/// Guards against a host that has just started and serves before it knows the evacuated zones.
#[test]
fn host_is_not_ready_before_it_knows_the_evacuated_zones() {
    let mut settings = settings(([127, 0, 0, 1], 1).into());
    settings.evacuation_limit = Some(LIMIT);
    let state = HostState::new(settings);
    let owner = entry("s-1", "keyed", ([127, 0, 0, 1], 1).into());
    state.set_table(table(1));
    state.replace_fleet(vec![owner.clone()], first_listing_span());
    state.set_owners(owners_with(&owner), version(1));

    let before = state.is_ready();
    state.apply_evacuations(list(1, &[]), EvacuationSource::Snapshot);

    assert_eq!((before, state.is_ready()), (false, true));
}

/// Guards against a deployment without the setting that is changed by lists of other hosts.
#[test]
fn host_without_the_setting_ignores_evacuations() {
    let state = host_state();

    state.record_digest_evacuations(Some(&list(5, &["zone-a"])));

    assert!(evacuated(&state).is_empty());
    assert_eq!(
        (state.evacuation_list(), state.evacuation_news()),
        (None, None)
    );
}

/// Guards against a fourth version in reports and digests, which builds in production would take
/// for the next field.
#[test]
fn versions_in_messages_keep_their_form() {
    let mut versions = SeenVersions::default();
    versions.advance(StoreKind::Config, version(1));
    versions.advance(StoreKind::Fleet, version(2));
    versions.advance(StoreKind::Owners, version(3));
    let known = versions;
    versions.advance(StoreKind::Evacuations, version(4));
    let config = bincode::config::standard();

    let bytes = bincode::encode_to_vec(versions, config).expect("encodes");
    let (decoded, _): (SeenVersions, usize) =
        bincode::decode_from_slice(&bytes, config).expect("decodes");

    let earlier = (version(1), version(2), version(3));
    let earlier = bincode::encode_to_vec(earlier, config).expect("encodes");
    assert_eq!(bytes, earlier);
    assert_eq!(decoded, known);
}
