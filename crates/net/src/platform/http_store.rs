//! Client of the platform's object API over HTTP.

use {
    super::{
        CallCounts, CallKind, ListedHost, ObjectKey, ObjectStore, PutCondition, StoreError,
        StoredObject, WatchEvent, WatchResult,
        store_error::{ConflictSnafu, RejectedSnafu, UnavailableSnafu, UnknownSnafu},
        wire::{HOSTS_PATH, KeyVersion, LIST_PATH, OBJECT_PATH, VERSION_HEADER, WATCH_PATH},
    },
    crate::{
        http::{ExchangeError, HttpClient, percent::encode_path},
        operator::QueryMap,
    },
    bytes::Bytes,
    camphorcove_core::ids::ObjectVersion,
    http::{Method, Request, Response, StatusCode},
    http_body_util::Full,
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Timeout of a platform call. A watch adds its `wait` to it.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the platform's object API. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    client: HttpClient,
    counts: Arc<CallCounts>,
}

impl HttpStore {
    /// Creates a client of the platform at `address`; connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::default(),
            counts: Arc::default(),
        }
    }

    /// Call counters, shared by all clones.
    pub fn counts(&self) -> &Arc<CallCounts> {
        &self.counts
    }

    async fn call(
        &self,
        kind: CallKind,
        method: Method,
        target: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        self.counts.add_call(kind);
        let result = self.exchange(kind, method, target, body, timeout).await;
        if result.is_err() {
            self.counts.add_failure(kind);
        }
        result
    }

    async fn exchange(
        &self,
        kind: CallKind,
        method: Method,
        target: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(target)
            .body(Full::new(body))
            .or_else(|error| rejected(error.to_string()))?;
        let reply = self
            .client
            .exchange(self.address, request, timeout)
            .await
            .or_else(|error| map_exchange_error(kind, error))?;
        check_status(kind, reply)
    }

    /// Decodes the parts of a list one by one and leaves out those that other writers may have left.
    fn decode_parts<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        parts: Vec<Box<RawValue>>,
    ) -> Vec<T> {
        let mut decoded = Vec::with_capacity(parts.len());
        let mut fault = None;
        for part in &parts {
            match serde_json::from_str(part.get()) {
                Ok(part) => decoded.push(part),
                Err(error) => fault = Some(error),
            }
        }
        let is_news = self.counts.record_odd_parts(kind, fault.is_some());
        if let Some(fault) = fault.filter(|_| is_news) {
            let left_out = parts.len() - decoded.len();
            log::warn!(call:% = kind, left_out, reason:% = fault; "ignoring parts of a platform list that cannot be read");
        }
        decoded
    }

    async fn read(&self, kind: CallKind, target: &str) -> Result<Response<Bytes>, StoreError> {
        self.call(kind, Method::GET, target, Bytes::new(), CALL_TIMEOUT)
            .await
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        let reply = self.read(CallKind::Get, &object_target(key)).await?;
        if reply.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let Some(version) = parse_version(&reply) else {
            return unavailable("read without a version");
        };
        let value = reply.into_body();
        Ok(Some(StoredObject { version, value }))
    }

    async fn put(
        &self,
        key: &ObjectKey,
        condition: PutCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError> {
        let query = match condition {
            PutCondition::Absent => QueryMap::default().with("if", "absent"),
            PutCondition::Version(version) => QueryMap::default().with("if", version),
        };
        let target = query.target(&object_target(key));
        let reply = self
            .call(CallKind::Put, Method::PUT, &target, value, CALL_TIMEOUT)
            .await?;
        let version = parse_version(&reply);
        match (reply.status(), version) {
            (StatusCode::CONFLICT, current) => ConflictSnafu {
                key: key.as_str(),
                current,
            }
            .fail(),
            (StatusCode::OK, Some(version)) => Ok(version),
            (status, _) => unknown(format!("status {status} without a version")),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(ObjectKey, ObjectVersion)>, StoreError> {
        let target = QueryMap::default().with("prefix", prefix).target(LIST_PATH);
        let reply = self.read(CallKind::List, &target).await?;
        let parts = parse(reply.body())?;
        let entries: Vec<KeyVersion> = self.decode_parts(CallKind::List, parts);
        Ok(entries
            .into_iter()
            .map(|(key, version)| (ObjectKey::new(key), ObjectVersion(version)))
            .collect())
    }

    async fn watch(
        &self,
        prefix: &str,
        position: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let target = QueryMap::default()
            .with("prefix", prefix)
            .with("position", position)
            .with("wait_ms", wait.as_millis())
            .target(WATCH_PATH);
        let timeout = wait + CALL_TIMEOUT;
        let reply = self
            .call(CallKind::Watch, Method::GET, &target, Bytes::new(), timeout)
            .await?;
        let body: WatchParts = parse(reply.body())?;
        let events: Vec<KeyVersion> = self.decode_parts(CallKind::Watch, body.events);
        Ok(watch_result(body.position, events))
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let reply = self.read(CallKind::Hosts, HOSTS_PATH).await?;
        let parts = parse(reply.body())?;
        Ok(self.decode_parts(CallKind::Hosts, parts))
    }
}

/// Body of a watch response, whose events are decoded one by one.
#[derive(Deserialize)]
struct WatchParts {
    position: u64,
    events: Vec<Box<RawValue>>,
}

fn object_target(key: &ObjectKey) -> String {
    format!("{OBJECT_PATH}{}", encode_path(key.as_str()))
}

fn watch_result(position: u64, events: Vec<KeyVersion>) -> WatchResult {
    let events = events
        .into_iter()
        .map(|(key, version)| WatchEvent {
            key: ObjectKey::new(key),
            version: ObjectVersion(version),
        })
        .collect();
    WatchResult { position, events }
}

fn parse_version(reply: &Response<Bytes>) -> Option<ObjectVersion> {
    let value = reply.headers().get(VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

/// Maps HTTP error statuses to errors, except those that the calls interpret
/// themselves: 404 for reads of an object, 409 for writes.
fn check_status(kind: CallKind, reply: Response<Bytes>) -> Result<Response<Bytes>, StoreError> {
    let status = reply.status();
    match (kind, status) {
        (_, StatusCode::OK) => Ok(reply),
        (CallKind::Get, StatusCode::NOT_FOUND) => Ok(reply),
        (CallKind::Put, StatusCode::CONFLICT) => Ok(reply),
        // The platform answers 503 only if the call had no effect, so this holds for writes too.
        (_, StatusCode::SERVICE_UNAVAILABLE) => unavailable(describe_response(&reply)),
        (_, status) if status.is_client_error() => rejected(describe_response(&reply)),
        (CallKind::Put, status) => unknown(format!("status {status}")),
        (_, status) => unavailable(format!("status {status}")),
    }
}

/// Only a write that may have been sent has an unknown outcome. Reads have no
/// effect, so a failed read is always `Unavailable`.
fn map_exchange_error<T>(kind: CallKind, error: ExchangeError) -> Result<T, StoreError> {
    match (kind, error) {
        (CallKind::Put, ExchangeError::NoReply { reason }) => unknown(reason),
        (_, ExchangeError::NoReply { reason } | ExchangeError::NotSent { reason }) => {
            unavailable(reason)
        }
    }
}

fn describe_response(reply: &Response<Bytes>) -> String {
    let text = String::from_utf8_lossy(reply.body());
    format!("status {}: {}", reply.status(), text.trim())
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    serde_json::from_slice(body)
        .or_else(|error| unavailable(format!("unreadable response: {error}")))
}

fn unavailable<T>(reason: impl Into<String>) -> Result<T, StoreError> {
    UnavailableSnafu { reason }.fail()
}

fn unknown<T>(reason: impl Into<String>) -> Result<T, StoreError> {
    UnknownSnafu { reason }.fail()
}

fn rejected<T>(reason: impl Into<String>) -> Result<T, StoreError> {
    RejectedSnafu { reason }.fail()
}
