//! Tests `HttpStore` under faults of platform and network: whenever a write returns
//! `Unavailable`, nothing may have been written.

use {
    bytes::Bytes,
    camphorcove_core::ids::ObjectVersion,
    camphorcove_net::platform::{
        CallKind, HttpStore, ListedHost, ObjectKey, ObjectStore, PutCondition, StoreError,
        WatchEvent, wire::VALUE_LIMIT,
    },
    camphorcove_standin::{
        platform::{PlatformFaults, PlatformStandin},
        proxy::{ProxySettings, ProxyStandin},
    },
    rstest::rstest,
    serde_json::json,
    std::{io::ErrorKind, time::Duration},
    tokio::net::TcpStream,
};

const KEY: &str = "scope/ledig";

async fn platform() -> PlatformStandin {
    PlatformStandin::on_any_port().await.unwrap()
}

fn key() -> ObjectKey {
    ObjectKey::new(KEY)
}

async fn create(store: &HttpStore, key: &str, value: &'static str) -> ObjectVersion {
    let value = Bytes::from_static(value.as_bytes());
    let key = ObjectKey::new(key);
    store.put(&key, PutCondition::Absent, value).await.unwrap()
}

/// Name of the result's variant, without the reason, whose wording may change.
fn variant<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Unavailable { .. }) => "unavailable",
        Err(StoreError::Unknown { .. }) => "unknown",
        Err(StoreError::Rejected { .. }) => "rejected",
    }
}

#[tokio::test]
async fn a_written_object_is_read_back_with_its_version() {
    let platform = platform().await;
    let store = platform.client();

    let version = create(&store, KEY, "one").await;
    let object = store.get(&key()).await.unwrap().unwrap();

    assert_eq!(object.version, version);
    assert_eq!(object.value, "one");
}

#[tokio::test]
async fn an_absent_object_is_none() {
    let platform = platform().await;

    let object = platform.client().get(&key()).await.unwrap();

    assert_eq!(object, None);
}

// Guards against a writer overwriting a change that it has not read.
#[rstest]
#[case::create_over_existing(Some("one"), PutCondition::Absent, Some(ObjectVersion(1)))]
#[case::update_of_old_version(
    Some("one"),
    PutCondition::Version(ObjectVersion(7)),
    Some(ObjectVersion(1))
)]
#[case::update_of_absent(None, PutCondition::Version(ObjectVersion(1)), None)]
#[tokio::test]
async fn a_condition_that_does_not_hold_is_a_conflict(
    #[case] existing: Option<&'static str>,
    #[case] condition: PutCondition,
    #[case] current: Option<ObjectVersion>,
) {
    let platform = platform().await;
    let store = platform.client();
    if let Some(value) = existing {
        create(&store, KEY, value).await;
    }

    let result = store.put(&key(), condition, "two".into()).await;

    let key = KEY.to_owned();
    assert_eq!(result, Err(StoreError::Conflict { key, current }));
    let stored = platform.object(KEY).map(|(_, value)| value);
    assert_eq!(stored, existing.map(Bytes::from));
}

#[rstest]
#[case::largest(VALUE_LIMIT, "ok")]
#[case::too_large(VALUE_LIMIT + 1, "rejected")]
#[tokio::test]
async fn values_have_a_size_limit(#[case] size: usize, #[case] expected: &str) {
    let platform = platform().await;
    let store = platform.client();

    let value = vec![b'v'; size].into();
    let result = store.put(&key(), PutCondition::Absent, value).await;

    assert_eq!(variant(&result), expected, "{result:?}");
    assert_eq!(platform.object(KEY).is_some(), expected == "ok");
}

// Guards against a write reported as `Unavailable` although it took effect, and against
// one reported as successful although the fault prevented it.
#[rstest]
#[case::outage(PlatformFaults { outage: true, ..PlatformFaults::default() }, "unavailable", false)]
#[case::silent(PlatformFaults { silent: true, ..PlatformFaults::default() }, "unknown", false)]
#[case::lost(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() }, "unknown", true)]
#[case::lost_by_prefix(
    PlatformFaults { lose_answers_prefix: Some("scope/".into()), ..PlatformFaults::default() },
    "unknown",
    true
)]
#[case::lost_elsewhere(
    PlatformFaults { lose_answers_prefix: Some("config/".into()), ..PlatformFaults::default() },
    "ok",
    true
)]
#[case::slow_but_in_time(
    PlatformFaults { delay_ms: 20, ..PlatformFaults::default() },
    "ok",
    true
)]
#[tokio::test]
async fn platform_faults_give_the_right_error_of_a_write(
    #[case] faults: PlatformFaults,
    #[case] expected: &str,
    #[case] written: bool,
) {
    let platform = platform().await;
    let store = platform.client();
    platform.set_faults(faults);

    let result = store.put(&key(), PutCondition::Absent, "one".into()).await;

    assert_eq!(variant(&result), expected, "{result:?}");
    assert_eq!(platform.object(KEY).is_some(), written);
}

// A write may take effect after its timeout. Guards against reporting it as not
// written: it must be `Unknown`, and a later watch must find it.
#[tokio::test]
async fn a_write_slower_than_its_timeout_takes_effect_later() {
    let platform = platform().await;
    let store = platform.client();
    platform.set_faults(PlatformFaults {
        delay_ms: 1_500,
        ..PlatformFaults::default()
    });

    let result = store.put(&key(), PutCondition::Absent, "one".into()).await;
    platform.set_faults(PlatformFaults::default());
    let watched = store.watch("scope/", 0, Duration::from_secs(30)).await;

    assert_eq!(variant(&result), "unknown", "{result:?}");
    assert_eq!(watched.unwrap().events[0].key, key());
}

// Reads have no effect, so they fail as `Unavailable` even if no response arrives.
#[rstest]
#[case::outage(PlatformFaults { outage: true, ..PlatformFaults::default() })]
#[case::silent(PlatformFaults { silent: true, ..PlatformFaults::default() })]
#[tokio::test]
async fn platform_faults_make_reads_unavailable(#[case] faults: PlatformFaults) {
    let platform = platform().await;
    let store = platform.client();
    platform.set_faults(faults);

    let key = key();
    let get = store.get(&key);
    let list = store.list("scope/");
    let watch = store.watch("scope/", 0, Duration::ZERO);
    let hosts = store.hosts();
    let (get, list, watch, hosts) = tokio::join!(get, list, watch, hosts);

    assert_eq!(variant(&get), "unavailable", "{get:?}");
    assert_eq!(variant(&list), "unavailable", "{list:?}");
    assert_eq!(variant(&watch), "unavailable", "{watch:?}");
    assert_eq!(variant(&hosts), "unavailable", "{hosts:?}");
}

// Guards against the same wrong reports for network faults, injected by a proxy in
// front of the platform.
#[rstest]
#[case::refused(|faults: &mut ProxySettings| faults.refuse = true, "unavailable", false)]
#[case::request_held_back(|faults: &mut ProxySettings| faults.up.blackhole = true, "unknown", false)]
#[case::answer_held_back(|faults: &mut ProxySettings| faults.down.blackhole = true, "unknown", true)]
#[case::request_truncated(
    |faults: &mut ProxySettings| faults.up.truncate_after = Some(20),
    "unknown",
    false
)]
#[case::request_reset(
    |faults: &mut ProxySettings| faults.up.reset_after = Some(20),
    "unknown",
    false
)]
#[case::answer_truncated(
    |faults: &mut ProxySettings| faults.down.truncate_after = Some(20),
    "unknown",
    true
)]
#[case::answer_reset(
    |faults: &mut ProxySettings| faults.down.reset_after = Some(20),
    "unknown",
    true
)]
#[tokio::test]
async fn network_faults_give_the_right_error_of_a_write(
    #[case] fault: fn(&mut ProxySettings),
    #[case] expected: &str,
    #[case] written: bool,
) {
    let platform = platform().await;
    let proxy = ProxyStandin::to(platform.address()).await.unwrap();
    let store = HttpStore::new(proxy.address());
    proxy.change(fault);
    wait_for_refusal(&proxy).await;

    let result = store.put(&key(), PutCondition::Absent, "one".into()).await;

    assert_eq!(variant(&result), expected, "{result:?}");
    while written && platform.object(KEY).is_none() {
        tokio::task::yield_now().await;
    }
    assert_eq!(platform.object(KEY).is_some(), written);
}

/// Waits until the proxy refuses connections, if it is set to: it closes its listener
/// with a delay.
async fn wait_for_refusal(proxy: &ProxyStandin) {
    while proxy.settings().refuse {
        let connected = TcpStream::connect(proxy.address()).await;
        let kind = connected.err().map(|error| error.kind());
        if kind == Some(ErrorKind::ConnectionRefused) {
            return;
        }
    }
}

#[tokio::test]
async fn state_survives_an_outage() {
    let platform = platform().await;
    let store = platform.client();
    let version = create(&store, KEY, "one").await;
    platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let during = store.get(&key()).await;

    platform.set_faults(PlatformFaults::default());
    let after = store.get(&key()).await;

    assert_eq!(variant(&during), "unavailable");
    assert_eq!(after.unwrap().unwrap().version, version);
}

#[tokio::test]
async fn lists_are_ordered_and_limited_to_the_prefix() {
    let platform = platform().await;
    let store = platform.client();
    create(&store, "scope/rutas", "r").await;
    create(&store, "config/head", "h").await;
    create(&store, "scope/boka", "b").await;

    let entries = store.list("scope/").await.unwrap();

    let keys: Vec<&str> = entries.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["scope/boka", "scope/rutas"]);
}

// Guards against a change between two watch calls being missed or reported twice.
#[tokio::test]
async fn a_watch_continues_from_its_position() {
    let platform = platform().await;
    let store = platform.client();
    create(&store, KEY, "one").await;
    let wait = Duration::from_secs(30);

    let first = store.watch("scope/", 0, wait).await.unwrap();
    let version = create(&store, "scope/boka", "two").await;
    let second = store.watch("scope/", first.position, wait).await.unwrap();

    assert_eq!(first.events.len(), 1);
    assert_eq!(second.events.len(), 1);
    assert_eq!(second.events[0].key.as_str(), "scope/boka");
    assert_eq!(second.events[0].version, version);
}

#[tokio::test]
async fn a_pending_watch_is_woken_by_a_change() {
    let platform = platform().await;
    let store = platform.client();

    let watch = store.watch("scope/", 0, Duration::from_secs(30));
    let write = async {
        while platform.calls(CallKind::Watch) == 0 {
            tokio::task::yield_now().await;
        }
        create(&platform.client(), KEY, "one").await
    };
    let (result, version) = tokio::join!(watch, write);

    assert_eq!(result.unwrap().events[0].version, version);
}

#[tokio::test]
async fn a_watch_without_changes_ends_empty() {
    let platform = platform().await;
    let store = platform.client();
    create(&store, "config/head", "h").await;

    let result = store.watch("scope/", 0, Duration::from_millis(1)).await;

    assert_eq!(result.unwrap().events, []);
}

#[tokio::test]
async fn hosts_are_listed() {
    let platform = platform().await;
    let host = ListedHost {
        id: "host-1".parse().unwrap(),
        peer: "127.0.0.1:4100".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        leaving: true,
    };
    platform.set_hosts(vec![host.clone()]);

    let hosts = platform.client().hosts().await.unwrap();

    assert_eq!(hosts, [host]);
}

/// Parts of lists that are neither keys nor hosts.
fn odd_parts() -> Vec<serde_json::Value> {
    vec![
        json!(7),
        json!(null),
        json!([]),
        json!(["scope/odd"]),
        json!(["scope/odd", -1]),
        json!([7, "scope/odd"]),
        json!({"id": "host 2&x=1#", "peer": "127.0.0.1:4101", "zone": "zone-a", "leaving": false}),
        json!({"id": "host-3", "peer": "nowhere", "zone": "zone-a", "leaving": false}),
        json!({"id": "host-4", "peer": "127.0.0.1:4102", "zone": "Zone A", "leaving": false}),
        json!({"id": "h".repeat(100_000), "peer": "127.0.0.1:4103", "zone": "zone-a"}),
    ]
}

/// Guards against a part of a list that another writer has left and that hides the others: a daemon
/// found no host, and no audit stream was listed.
#[tokio::test]
async fn odd_parts_of_lists_hide_no_others() {
    let platform = platform().await;
    let store = platform.client();
    let version = create(&store, KEY, "one").await;
    let host = ListedHost {
        id: "host-1".parse().unwrap(),
        peer: "127.0.0.1:4100".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        leaving: false,
    };
    platform.set_hosts(vec![host.clone()]);
    platform.set_faults(PlatformFaults {
        odd_parts: odd_parts(),
        ..PlatformFaults::default()
    });

    let listed = store.list("scope/").await;
    let hosts = store.hosts().await;
    let watched = store.watch("scope/", 0, Duration::from_millis(1)).await;

    assert_eq!(listed, Ok(vec![(key(), version)]));
    assert_eq!(hosts, Ok(vec![host]));
    let watched = watched.map(|watched| watched.events);
    assert_eq!(
        watched,
        Ok(vec![WatchEvent {
            key: key(),
            version
        }])
    );
}

/// Guards against answers that are no list at all and end a process instead of the call.
#[tokio::test]
async fn values_of_any_key_are_read_whatever_they_hold() {
    let platform = platform().await;
    let store = platform.client();
    create(&store, "scope/\"&+#% \n岛", "{{{\u{0}").await;

    let read = store.get(&ObjectKey::new("scope/\"&+#% \n岛")).await;

    assert_eq!(read.unwrap().unwrap().value, "{{{\u{0}");
}

#[rstest]
#[case("config/part/0a1b")]
#[case("pin/raft 17?x=1&y=%2F#é")]
#[tokio::test]
async fn special_characters_in_keys_are_preserved(#[case] text: &str) {
    let platform = platform().await;
    let store = platform.client();
    let key = ObjectKey::new(text);

    let written = store.put(&key, PutCondition::Absent, "v".into()).await;
    let listed = store.list(text).await.unwrap();

    assert_eq!(listed, [(key, written.unwrap())]);
}

// The platform limits the rate of calls, so the metrics must agree with the number of
// calls that it received.
#[tokio::test]
async fn calls_and_failures_are_counted_by_kind() {
    let platform = platform().await;
    let store = platform.client();
    create(&store, KEY, "one").await;
    let conflict = store.put(&key(), PutCondition::Absent, "two".into()).await;
    platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let failed = store.list("").await;

    let counts = store.counts();

    assert_eq!(variant(&conflict), "conflict");
    assert_eq!(variant(&failed), "unavailable");
    assert_eq!(counts.calls(CallKind::Put), platform.calls(CallKind::Put));
    assert_eq!(counts.calls(CallKind::Put), 2);
    assert_eq!(counts.failures(CallKind::Put), 0);
    assert_eq!(counts.failures(CallKind::List), 1);
}
