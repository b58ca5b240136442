//! Helpers for tests of the backend stand-in: requests, grants and waiting.

#![allow(dead_code, missing_docs)]

use {
    bytes::Bytes,
    camphorcove_core::{
        control::{ServerOrder, ServerResult, ShardGrant},
        headers,
        ids::{Epoch, FencingToken, ShardId},
    },
    camphorcove_net::{
        http::{ExchangeError, HttpClient},
        servers::{GrantProtocol, HttpGrants},
    },
    camphorcove_standin::backend::{BackendSettings, BackendStandin, BackendStats},
    http::{Request, Response, request::Builder},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub const LONG_TTL: Duration = Duration::from_secs(600);

/// Target of a request that runs longer than any test.
pub const ENDLESS: &str = "/?work_ms=600000";

pub async fn backend(change: impl FnOnce(&mut BackendSettings)) -> BackendStandin {
    let backend = BackendStandin::with_settings(BackendSettings::default())
        .await
        .unwrap();
    backend.update_settings(change);
    backend
}

pub fn token(sequence: u64) -> FencingToken {
    FencingToken {
        epoch: Epoch(1),
        sequence,
    }
}

/// Grants one shard as the whole grant set of epoch 1.
pub async fn grant(backend: &BackendStandin, set: u64, shard: u32, sequence: u64) {
    let order = ServerOrder::Grant {
        service: "ledig".parse().unwrap(),
        epoch: Epoch(1),
        set,
        shards: vec![ShardGrant {
            shard: ShardId(shard),
            token: token(sequence),
        }],
        ttl: LONG_TTL,
    };
    let sent = HttpGrants::default()
        .send(backend.address(), &order, None, TEST_TIMEOUT)
        .await;
    assert_eq!(sent.unwrap().reply.result, ServerResult::Done);
}

/// A request for a shard, with a token of epoch 1.
pub fn keyed(target: &str, shard: u32, sequence: u64) -> Builder {
    Request::get(target)
        .header(headers::SERVER_SERVICE, "ledig")
        .header(headers::SERVER_SHARD, shard)
        .header(headers::SERVER_TOKEN, token(sequence).to_string())
}

pub async fn exchange(
    address: SocketAddr,
    request: Builder,
    body: &'static str,
) -> Result<Response<Bytes>, ExchangeError> {
    let request = request.body(Full::from(body)).unwrap();
    HttpClient::default()
        .exchange(address, request, TEST_TIMEOUT)
        .await
}

pub async fn send(backend: &BackendStandin, request: Builder) -> Response<Bytes> {
    exchange(backend.address(), request, "").await.unwrap()
}

pub fn is_not_run(reply: &Response<Bytes>) -> bool {
    let verdict = reply.headers().get(headers::SERVER_VERDICT);
    verdict.is_some_and(|verdict| verdict == "not-run")
}

pub async fn wait_for(backend: &BackendStandin, condition: impl Fn(&BackendStats) -> bool) {
    let waiting = async {
        while !condition(&backend.stats()) {
            tokio::task::yield_now().await;
        }
    };
    let waited = tokio::time::timeout(TEST_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "stats: {:?}", backend.stats());
}

/// Starts a request that runs until its connection closes.
pub async fn start_endless(
    backend: &BackendStandin,
    request: Builder,
) -> tokio::task::JoinHandle<Result<Response<Bytes>, ExchangeError>> {
    let before = backend.stats().in_flight;
    let address = backend.address();
    let task = tokio::spawn(exchange(address, request, ""));
    wait_for(backend, |stats| stats.in_flight > before).await;
    task
}
