//! Tests the HTTP client that the adapters to platform and backend servers use:
//! connection reuse, cancellation and incomplete responses.

use {
    bytes::Bytes,
    camphorcove_net::http::{ExchangeError, HttpClient},
    camphorcove_standin::{
        backend::{BackendOptions, BackendSettings, BackendStandin},
        proxy::ProxyStandin,
    },
    http::{Request, StatusCode},
    http_body_util::Full,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

const TIMEOUT: Duration = Duration::from_secs(30);

async fn backend() -> BackendStandin {
    BackendStandin::with_settings(BackendSettings::default())
        .await
        .unwrap()
}

fn request(target: &str) -> Request<Full<Bytes>> {
    Request::get(target).body(Full::default()).unwrap()
}

// Guards against using a pooled connection that the server closed, which would fail the
// first request after each restart of the server.
#[tokio::test]
async fn a_pooled_connection_that_was_closed_is_not_used() {
    let backend = backend().await;
    let address = backend.address();
    let client = HttpClient::default();
    let first = client.exchange(address, request("/"), TIMEOUT).await;
    drop(backend);
    let restarted = restart_on(address).await;
    wait_until_closed(&client, address).await;

    let second = client.exchange(address, request("/"), TIMEOUT).await;

    assert_eq!(first.unwrap().status(), StatusCode::OK);
    assert_eq!(second.unwrap().status(), StatusCode::OK);
    drop(restarted);
}

/// Starts a backend on an address, retrying until the old listener has released the port.
async fn restart_on(address: std::net::SocketAddr) -> BackendStandin {
    loop {
        let options = BackendOptions {
            listen: address,
            ..BackendOptions::default()
        };
        match BackendStandin::start(options).await {
            Ok(backend) => return backend,
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Waits until the client has noticed that its connection was closed.
async fn wait_until_closed(client: &HttpClient, address: std::net::SocketAddr) {
    while client.idle_connections(address) > 0 {
        tokio::task::yield_now().await;
    }
}

// Guards against a cancelled request that keeps running on the server.
#[tokio::test]
async fn dropping_an_exchange_closes_its_connection() {
    let backend = backend().await;
    let client = HttpClient::default();
    let exchange = client.exchange(backend.address(), request("/?work_ms=600000"), TIMEOUT);
    let started = async {
        while backend.stats().in_flight == 0 {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        _ = exchange => panic!("answered before its work was done"),
        () = started => {}
    }

    let cancelled = async {
        while backend.stats().cancelled == 0 {
            tokio::task::yield_now().await;
        }
    };

    timeout(TIMEOUT, cancelled).await.unwrap();
    assert!(backend.ledger()[0].cancelled);
}

// Guards against a truncated response body being returned as complete.
#[tokio::test]
async fn a_truncated_response_body_is_no_reply() {
    let backend = backend().await;
    let proxy = ProxyStandin::to(backend.address()).await.unwrap();
    proxy.change(|faults| faults.down.truncate_after = Some(50_000));
    let client = HttpClient::default();

    let result = client
        .exchange(proxy.address(), request("/?size=100000"), TIMEOUT)
        .await;

    assert!(
        matches!(result, Err(ExchangeError::NoReply { .. })),
        "{result:?}"
    );
}

// Guards against calls that wait for idle connections which have gone silent, each for its whole
// timeout.
#[tokio::test]
async fn a_timeout_closes_the_other_idle_connections() {
    let backend = backend().await;
    let proxy = ProxyStandin::to(backend.address()).await.unwrap();
    let address = proxy.address();
    let client = HttpClient::default();
    let slow = || client.exchange(address, request("/?work_ms=100"), TIMEOUT);
    let (first, second, third) = tokio::join!(slow(), slow(), slow());
    first.and(second).and(third).unwrap();
    proxy.silence_open_connections();

    let silent = client
        .exchange(address, request("/"), Duration::from_millis(300))
        .await;
    let next = client.exchange(address, request("/"), TIMEOUT).await;

    assert!(
        matches!(silent, Err(ExchangeError::NoReply { .. })),
        "{silent:?}"
    );
    assert_eq!(next.unwrap().status(), StatusCode::OK);
}

// Guards against a first call after a quiet time that is lost on a connection which has gone
// silent.
#[tokio::test]
async fn a_connection_is_not_used_after_its_idle_time_limit() {
    let backend = backend().await;
    let proxy = ProxyStandin::to(backend.address()).await.unwrap();
    let limit = Duration::from_millis(50);
    let client = HttpClient::default().with_idle_time_limit(limit);
    let first = client.exchange(proxy.address(), request("/"), TIMEOUT);
    first.await.unwrap();
    proxy.silence_open_connections();
    sleep(limit).await;

    let next = client.exchange(proxy.address(), request("/"), TIMEOUT);

    assert_eq!(next.await.unwrap().status(), StatusCode::OK);
}
