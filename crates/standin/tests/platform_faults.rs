//! Faults of the platform stand-in that clients cannot distinguish from normal
//! operation, and its control requests.

use {
    bytes::Bytes,
    camphorcove_net::{
        http::HttpClient,
        platform::{CallKind, HttpStore, ListedHost, ObjectKey, ObjectStore, PutCondition},
    },
    camphorcove_standin::platform::{PlatformFaults, PlatformStandin},
    http::{Method, Request, StatusCode},
    http_body_util::Full,
    serde_json::{Value, json},
    std::time::Duration,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn key(text: &str) -> ObjectKey {
    ObjectKey::new(text)
}

async fn create(store: &HttpStore, text: &str) {
    let key = key(text);
    let created = store.put(&key, PutCondition::Absent, "v".into()).await;
    created.unwrap();
}

async fn control(
    platform: &PlatformStandin,
    method: Method,
    path: &str,
    body: &Value,
) -> (StatusCode, Bytes) {
    let body = Full::new(Bytes::from(body.to_string()));
    let request = Request::builder().method(method).uri(path).body(body);
    let reply = HttpClient::default()
        .exchange(platform.address(), request.unwrap(), TEST_TIMEOUT)
        .await
        .unwrap();
    (reply.status(), reply.into_body())
}

fn host(name: &str) -> ListedHost {
    ListedHost {
        id: name.parse().unwrap(),
        peer: "127.0.0.1:4100".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        leaving: false,
    }
}

// Guards against a stale read letting a write through: the condition is checked
// against the newest version.
#[tokio::test]
async fn stale_reads_show_the_past_and_writes_the_present() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let store = platform.client();
    create(&store, "a").await;
    platform.set_faults(PlatformFaults {
        stale_reads: true,
        ..PlatformFaults::default()
    });
    let stale = store.get(&key("a")).await.unwrap().unwrap();
    let condition = PutCondition::Version(stale.version);
    let newest = store.put(&key("a"), condition, "w".into()).await.unwrap();

    let read = store.get(&key("a")).await.unwrap().unwrap();
    let second = store.put(&key("a"), condition, "x".into()).await;
    platform.set_faults(PlatformFaults::default());
    let recovered = store.get(&key("a")).await.unwrap().unwrap();

    assert_eq!(read, stale);
    assert!(second.is_err(), "{second:?}");
    assert_eq!(recovered.version, newest);
}

#[tokio::test]
async fn silent_watches_miss_changes_until_they_heal() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let store = platform.client();
    platform.set_faults(PlatformFaults {
        silent_watches: true,
        ..PlatformFaults::default()
    });
    create(&store, "a").await;

    let silent = store.watch("", 0, Duration::from_millis(1)).await.unwrap();
    platform.set_faults(PlatformFaults::default());
    let recovered = store
        .watch("", silent.position, TEST_TIMEOUT)
        .await
        .unwrap();

    assert_eq!(silent.events, []);
    assert_eq!(recovered.events[0].key, key("a"));
}

#[tokio::test]
async fn an_outage_ends_pending_watches() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let store = platform.client();

    let watch = store.watch("", 0, TEST_TIMEOUT);
    let outage = async {
        while platform.calls(CallKind::Watch) == 0 {
            tokio::task::yield_now().await;
        }
        platform.set_faults(PlatformFaults {
            outage: true,
            ..PlatformFaults::default()
        });
    };
    let (result, ()) = tokio::join!(watch, outage);

    assert!(result.is_err(), "{result:?}");
}

#[tokio::test]
async fn a_counted_loss_hits_only_writes_that_take_effect() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let store = platform.client();
    create(&store, "a").await;
    platform.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });

    let conflict = store.put(&key("a"), PutCondition::Absent, "w".into()).await;
    let lost = store.put(&key("b"), PutCondition::Absent, "w".into()).await;
    let next = store.put(&key("c"), PutCondition::Absent, "w".into()).await;

    assert!(conflict.unwrap_err().to_string().contains("has version"));
    assert!(lost.unwrap_err().to_string().contains("may have taken"));
    assert!(next.is_ok(), "{next:?}");
}

#[tokio::test]
async fn the_host_list_lags() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let store = platform.client();
    platform.set_hosts(vec![host("old")]);
    platform.set_faults(PlatformFaults {
        host_lag_ms: 600_000,
        ..PlatformFaults::default()
    });
    platform.set_hosts(vec![host("new")]);

    let lagging = store.hosts().await.unwrap();
    platform.set_faults(PlatformFaults::default());
    let current = store.hosts().await.unwrap();

    assert_eq!(lagging, [host("old")]);
    assert_eq!(current, [host("new")]);
}

// Tests that run the stand-in as a process can set faults only by control requests.
#[tokio::test]
async fn control_works_over_the_socket_and_through_an_outage() {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let store = platform.client();

    let outage = json!({"outage": true});
    let set = control(&platform, Method::PUT, "/control/faults", &outage).await;
    let failed = store.get(&key("a")).await;
    let shown = control(&platform, Method::GET, "/control/faults", &Value::Null).await;
    let recovered = control(&platform, Method::PUT, "/control/faults", &json!({})).await;
    let hosts = json!([host("host-1")]);
    let listed = control(&platform, Method::PUT, "/control/hosts", &hosts).await;
    let calls = control(&platform, Method::GET, "/control/calls", &Value::Null).await;

    assert_eq!(set.0, StatusCode::OK);
    assert!(failed.is_err());
    let shown: PlatformFaults = serde_json::from_slice(&shown.1).unwrap();
    assert!(shown.outage);
    assert_eq!((recovered.0, listed.0), (StatusCode::OK, StatusCode::OK));
    assert_eq!(store.hosts().await.unwrap(), [host("host-1")]);
    let calls: Value = serde_json::from_slice(&calls.1).unwrap();
    assert_eq!(calls["get"], 1);
}

// Guards against a misspelt fault name: a test would pass without its fault.
#[tokio::test]
async fn an_unknown_fault_is_refused() {
    let platform = PlatformStandin::on_any_port().await.unwrap();

    let outage = json!({"outtage": true});
    let set = control(&platform, Method::PUT, "/control/faults", &outage).await;

    assert_eq!(set.0, StatusCode::BAD_REQUEST);
}
