//! Reads and routes a request, and answers its caller; `request_attempts` forwards it to servers.

use {
    super::{
        Refusal, refusal_response,
        relay_attempts::MAX_RELAYS,
        request_origin::{RequestOrigin, RequestTerms},
        request_pipeline::{EarlyCall, RequestPipeline, parse_bodyless},
        strip_connection_headers,
    },
    crate::{
        forward::{CallRequest, ConnectionPool, RelayClient, ResponseBody},
        peers::{ELSEWHERE_HEADER, RELAY_HEADER, RelayGrant, RelayedHead},
        state::{BodyReservation, HostState, LogTopic},
    },
    bytes::{Bytes, BytesMut},
    camphorcove_core::{
        dispatch::RankLimit,
        ids::ServiceName,
        quarantine::RequestFingerprint,
        routing::{RetryPolicy, RouteRule, RouteTable},
        time::BootTime,
    },
    camphorcove_net::http::PipelinedHead,
    camphorcove_platform::{RequestHead, decode_request},
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Empty},
    hyper::body::{Body, Incoming},
    std::{
        sync::{Arc, OnceLock, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{Semaphore, watch},
        task::yield_now,
        time::timeout,
    },
};

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// `Retry-After` value while no configuration is known.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `Retry-After` value while this host stops: any other host can take the request at once.
pub(super) const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time in which the body of a refused request is read and dropped while this host stops.
/// A caller that is still sending when its connection ends may miss the response.
const LATE_BODY_TIME: Duration = Duration::from_millis(100);

/// Largest request body that is buffered, whatever the configuration allows.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Answers callers' requests, with a response of a server or an error of this host.
pub struct RequestHandler {
    pub(super) state: Arc<HostState>,
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) relay_client: RelayClient,
    /// Bounds the requests that are handed to other hosts at the same time.
    pub(super) relays: Semaphore,
    /// Set when the stop time limit leaves no time to await servers.
    must_answer: watch::Sender<bool>,
}

/// A request whose body has been read and whose service has been chosen.
pub(super) struct RoutedRequest {
    pub(super) call: CallRequest,
    pub(super) rule: Arc<RouteRule>,
    pub(super) origin: RequestOrigin,
    /// Most attempts at servers.
    pub(super) attempts: u32,
    pub(super) service: ServiceName,
    pub(super) max_connections: u32,
    /// Only set for keyed services.
    pub(super) key: Option<u16>,
    pub(super) started: BootTime,
    /// Limit by rank, if the service has more urgent routes.
    pub(super) rank_limit: Option<RankLimit>,
    /// Whether the service has routes of different urgency.
    pub(super) plans_returns: bool,
    /// Closed when the caller has disconnected.
    pub(super) caller: Option<watch::Receiver<()>>,
    /// Computed when it is first needed.
    pub(super) fingerprint: OnceLock<RequestFingerprint>,
    /// Keeps the body counted against the memory budget until the request has ended.
    _body: BodyReservation,
}

impl RequestHandler {
    /// Creates the handler of a host, with an empty connection pool.
    pub fn new(state: Arc<HostState>) -> Self {
        let pool = Arc::new(ConnectionPool::new(state.clone()));
        Self {
            state,
            pool,
            relay_client: RelayClient::default(),
            relays: Semaphore::new(MAX_RELAYS),
            must_answer: watch::Sender::new(false),
        }
    }

    /// Connections to servers.
    pub fn pool(&self) -> Arc<ConnectionPool> {
        self.pool.clone()
    }

    /// Answers all requests that still wait for a server: they may have run.
    pub(super) fn answer_waiting_requests(&self) {
        self.must_answer.send_replace(true);
    }

    /// Answers the next request of a connection; while the host stops, the response closes the
    /// connection.
    pub async fn handle(
        self: &Arc<Self>,
        request: Request<Incoming>,
        origin: RequestOrigin,
        pipeline: &RequestPipeline,
    ) -> Response<ResponseBody> {
        let started = self.state.now();
        self.state.counters.requests.fetch_add(1, Ordering::Relaxed);
        let head = decode_request(request.headers());
        let has_body = !request.body().is_end_stream();
        let early_call = pipeline.begin(request.method(), has_body, head.id.as_ref());
        let answering = async {
            let Some(early_call) = early_call else {
                // On a busy host the caller may have left by the time its request is read. The
                // connection reads on meanwhile and ends before the request is sent.
                yield_now().await;
                return self.route(request, origin, started).await;
            };
            let response = early_call.response().await;
            response.unwrap_or_else(|| self.refuse_request(&head, Refusal::AnswerLost, None))
        };
        let mut must_answer = self.must_answer.subscribe();
        let mut response = tokio::select! {
            biased;
            response = answering => response,
            _ = must_answer.wait_for(|must_answer| *must_answer) => {
                self.refuse_request(&head, Refusal::TimedOut, None)
            }
        };
        pipeline.end();
        if origin == RequestOrigin::Host && self.is_unable(&response) {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(ELSEWHERE_HEADER, value);
        }
        // Closing now would cut off the requests behind this one that have been read.
        if self.state.is_stopping() && pipeline.is_drained() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Starts the requests that arrived behind an unanswered one and may run beside it.
    pub fn start_pipelined(
        self: &Arc<Self>,
        pipeline: &RequestPipeline,
        heads: Vec<PipelinedHead>,
    ) {
        for head in heads {
            if self.state.refuses_requests() || !pipeline.may_start(head.index) {
                return;
            }
            let Some(request) = parse_bodyless(&head) else {
                return;
            };
            let id = decode_request(request.headers()).id;
            let rule = self
                .state
                .table()
                .and_then(|table| find_rule(&table, &request).cloned());
            if rule.is_none_or(|rule| rule.retry != RetryPolicy::Idempotent) {
                return;
            }
            let started = self.state.now();
            let handler = self.clone();
            let request = request.map(|()| Empty::new());
            let task = tokio::spawn(async move {
                handler.route(request, RequestOrigin::Caller, started).await
            });
            pipeline.push(EarlyCall::new(id, task));
        }
    }

    /// Whether this host refuses a request that another host may be able to send to a server.
    fn is_unable(&self, response: &Response<ResponseBody>) -> bool {
        let state = &self.state;
        response.status() == StatusCode::SERVICE_UNAVAILABLE
            && (state.lacks_servers() || state.is_stopping())
    }

    /// What the host that hands over a request allows, if it proves that it is one.
    fn relay_grant<B>(&self, request: &Request<B>, head: &RequestHead) -> Option<RelayGrant> {
        let (owners, _) = self.state.owners()?;
        let value = request.headers().get(RELAY_HEADER)?;
        let (method, target) = (request.method(), request.uri());
        let head = RelayedHead::of(method, target, request.headers(), head.id.as_ref())?;
        head.open(owners.secret.as_bytes(), value)
    }

    async fn route<B>(
        self: &Arc<Self>,
        request: Request<B>,
        origin: RequestOrigin,
        started: BootTime,
    ) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let head = decode_request(request.headers());
        let most_attempts = match origin {
            RequestOrigin::Caller => u32::MAX,
            RequestOrigin::Host => {
                let Some(grant) = self.relay_grant(&request, &head) else {
                    return self.refuse_request(&head, Refusal::NotAuthentic, None);
                };
                if self.state.config_version() < grant.config_version {
                    let mut response = self.refuse_request(&head, Refusal::NoConfiguration, None);
                    let value = HeaderValue::from_static("1");
                    response.headers_mut().insert(ELSEWHERE_HEADER, value);
                    return response;
                }
                let counter = &self.state.counters.relays_taken;
                counter.fetch_add(1, Ordering::Relaxed);
                grant.attempts
            }
        };
        if self.state.refuses_requests() {
            if !request.headers().contains_key(header::EXPECT) {
                drop_body(request.into_body()).await;
            }
            return self.refuse_request(&head, Refusal::Stopping, Some(STOP_RETRY_AFTER));
        }
        let Some(table) = self.state.table() else {
            let retry_after = Some(CONFIGURATION_RETRY_AFTER);
            return self.refuse_request(&head, Refusal::NoConfiguration, retry_after);
        };
        let Some(rule) = find_rule(&table, &request).cloned() else {
            return self.refuse_request(&head, Refusal::NoRoute, None);
        };
        let terms = RequestTerms {
            origin,
            most_attempts,
            started,
        };
        // Dropped with this future when the caller disconnects.
        let (_presence, caller) = watch::channel(());
        let mut routed = match self.read_request(&table, rule, &head, request, terms).await {
            Ok(routed) => routed,
            Err(refusal) => {
                let retry_after = match refusal {
                    Refusal::Stopping => Some(STOP_RETRY_AFTER),
                    _ if refusal.status() == StatusCode::SERVICE_UNAVAILABLE => {
                        Some(self.retry_after())
                    }
                    _ => None,
                };
                return self.refuse_request(&head, refusal, retry_after);
            }
        };
        routed.caller = Some(caller);
        match routed.rule.retry {
            RetryPolicy::Idempotent => self.forward_with_retries(routed).await,
            // Runs in a task of its own, so that a request which may already be running on a
            // server is not cancelled when its caller disconnects.
            RetryPolicy::AtMostOnce => {
                let handler = self.clone();
                let forwarding =
                    tokio::spawn(async move { handler.forward_with_retries(routed).await });
                match forwarding.await {
                    Ok(response) => response,
                    Err(error) => {
                        log::error!(reason:% = error; "forwarding task panicked or was cancelled");
                        self.refuse_request(&head, Refusal::AnswerLost, None)
                    }
                }
            }
        }
    }

    async fn read_request<B>(
        &self,
        table: &RouteTable,
        rule: Arc<RouteRule>,
        head: &RequestHead,
        request: Request<B>,
        terms: RequestTerms,
    ) -> Result<RoutedRequest, Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let started = terms.started;
        let id = head.id.clone().ok_or(Refusal::Malformed)?;
        let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let expires_at = started + deadline.min(rule.time_limit);
        let (parts, body) = request.into_parts();
        let limit = table.limits.body_bytes.min(MAX_BODY_BYTES);
        let reading = self.read_body(body, limit);
        let reading = timeout(expires_at.since(started), reading);
        let (body, reservation) = tokio::select! {
            biased;
            read = reading => read.unwrap_or(Err(Refusal::TooLate))?,
            () = self.state.stop.last_start_passed() => return Err(Refusal::Stopping),
        };
        // A request that another host will send counts for the retry limit there.
        let service = match terms.origin == RequestOrigin::Caller && self.state.lacks_servers() {
            true => self.state.choose_service(&rule),
            false => self.state.route_request(&rule),
        };
        let config = table.services.get(&service);
        let keyed = config.is_some_and(|service| service.keyed);
        // The host that sent a relayed request has counted its key.
        if keyed
            && terms.origin == RequestOrigin::Caller
            && let Some(key) = head.key
        {
            self.state.count_key(&service, key);
        }
        Ok(RoutedRequest {
            call: CallRequest {
                method: parts.method,
                target: parts.uri,
                headers: forwarded_headers(parts.headers),
                body,
                id,
                expires_at,
                caller_leaves_at: started + deadline,
            },
            attempts: rule.attempts.min(terms.most_attempts),
            rank_limit: table.rank_limit(&service, &rule),
            plans_returns: table.uses_ranks(&service),
            rule,
            origin: terms.origin,
            max_connections: config.map_or(1, |service| service.connections),
            service,
            key: head.key.filter(|_| keyed),
            started,
            fingerprint: OnceLock::new(),
            caller: None,
            _body: reservation,
        })
    }

    /// Reads a body of at most `limit` bytes and reserves memory for it.
    async fn read_body<B>(
        &self,
        mut body: B,
        limit: usize,
    ) -> Result<(Bytes, BodyReservation), Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reservation = self.state.body_budget.start_reservation();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::Malformed)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > limit {
                return Err(Refusal::TooLarge);
            }
            if !reservation.grow(data.len()) {
                return Err(Refusal::Overloaded);
            }
            bytes.extend_from_slice(&data);
        }
        Ok((bytes.freeze(), reservation))
    }

    /// Logs and counts a refusal outside of the attempts and builds its response.
    fn refuse_request(
        &self,
        head: &RequestHead,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        if let Some(left_out) = self.state.may_log(log_topic(refusal)) {
            let version = self.state.table().map(|table| table.version.0);
            log::info!(
                request = request_id(head),
                refusal:? = refusal,
                config_version:? = version,
                left_out;
                "request refused"
            );
        }
        self.count_refusal(refusal);
        refusal_response(refusal, retry_after)
    }

    pub(super) fn count_refusal(&self, refusal: Refusal) {
        let counters = &self.state.counters;
        if refusal == Refusal::Quarantined {
            counters.quarantined.fetch_add(1, Ordering::Relaxed);
        }
        let counter = match refusal {
            Refusal::AnswerLost | Refusal::TimedOut => &counters.failed,
            _ => &counters.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if refusal == Refusal::Paused {
            counters.paused.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Route that the `Host` header and the path select.
fn find_rule<'t, B>(table: &'t RouteTable, request: &Request<B>) -> Option<&'t Arc<RouteRule>> {
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    table.find(host, request.uri().path())
}

/// Reads a body for a short time and drops it.
async fn drop_body<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    if timeout(LATE_BODY_TIME, reading).await.is_err() {
        log::debug!("body of a refused request not read to its end");
    }
}

pub(super) fn log_topic(refusal: Refusal) -> LogTopic {
    match refusal {
        Refusal::AnswerLost | Refusal::TimedOut => LogTopic::Failure,
        _ => LogTopic::Refusal,
    }
}

pub(super) fn request_id(head: &RequestHead) -> &str {
    let id = head.id.as_ref();
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(RELAY_HEADER);
    headers
}
