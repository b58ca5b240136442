//! Routes a request, forwards it to servers and answers the caller.

use {
    super::{
        Refusal, refusal_response,
        request_pipeline::{EarlyCall, RequestPipeline, parse_bodyless},
        strip_connection_headers,
    },
    crate::{
        forward::{
            AttemptTimeout, CallOutcome, CallRequest, CallTarget, ConnectionPool, ResponseBody,
            send_call,
        },
        state::{BodyReservation, HostState, LogTopic, PickQuery, PickRefusal, ServerPick},
    },
    bytes::{Bytes, BytesMut},
    camphorcove_core::{
        dispatch::{AdmissionRule, RequestOutcome},
        fleet::ServerEntry,
        ids::{ServerId, ServiceName},
        routing::{RetryPolicy, RouteRule, RouteTable},
        time::BootTime,
    },
    camphorcove_net::http::PipelinedHead,
    camphorcove_platform::{RequestHead, decode_request},
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Empty},
    hyper::body::{Body, Incoming},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest total time that a request waits for its key to change owner; a move usually takes
/// less.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for an ownership update after a server refused a key that it does not own:
/// the leader sends each change to all hosts immediately.
const OWNER_UPDATE_WAIT: Duration = Duration::from_millis(60);

/// No attempt is started with less time than this before the request's deadline.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// Number of attempts that failed before anything was sent, after which the host gives up.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// `Retry-After` value while no configuration is known.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Time without a response, as a multiple of the server's expected response time, after which
/// an idempotent request is retried on another server.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// Lower bound of that time, as a multiple of the route's target latency.
const ATTEMPT_TIMEOUT_SHARE: f64 = 1.25;

/// Largest request body that is buffered, whatever the configuration allows.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Answers callers' requests, with a response of a server or an error of this host.
pub struct RequestHandler {
    state: Arc<HostState>,
    pool: Arc<ConnectionPool>,
}

/// A request whose body has been read and whose service has been chosen.
struct RoutedRequest {
    call: CallRequest,
    rule: Arc<RouteRule>,
    service: ServiceName,
    max_connections: u32,
    /// Only set for keyed services.
    key: Option<u16>,
    started: BootTime,
    /// Keeps the body counted against the memory budget until the request has ended.
    _body: BodyReservation,
}

/// Attempts made so far for a request.
#[derive(Default)]
struct AttemptHistory {
    /// Servers to which earlier attempts were made.
    tried: Vec<ServerId>,
    sent: u32,
    unsent: u32,
    /// At least one attempt may have run on a server.
    may_have_run: bool,
    /// The next attempt has already been counted against the retry budget.
    retry_counted: bool,
    /// Total time spent waiting for the key to change owner.
    waited: Duration,
    /// Response of the last attempt that ended with a server error.
    last: Option<Response<ResponseBody>>,
}

impl RequestHandler {
    /// Creates the handler of a host, with an empty connection pool.
    pub fn new(state: Arc<HostState>) -> Self {
        let pool = Arc::new(ConnectionPool::new(state.clone()));
        Self { state, pool }
    }

    /// Answers the next request of a connection; while the host stops, the response closes the
    /// connection.
    pub async fn handle(
        self: &Arc<Self>,
        request: Request<Incoming>,
        pipeline: &RequestPipeline,
    ) -> Response<ResponseBody> {
        let started = self.state.now();
        self.state.counters.requests.fetch_add(1, Ordering::Relaxed);
        let head = decode_request(request.headers());
        let mut response = match pipeline.begin(request.method(), head.id.as_ref()) {
            Some(early_call) => match early_call.response().await {
                Some(response) => response,
                None => self.refuse_request(&head, Refusal::AnswerLost, None),
            },
            None => self.route(request, started).await,
        };
        pipeline.end();
        // Closing now would cut off the requests behind this one that already run.
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
            if self.state.is_stopping() || !pipeline.may_start(head.index) {
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
            let task = tokio::spawn(async move { handler.route(request, started).await });
            pipeline.push(EarlyCall::new(id, task));
        }
    }

    async fn route<B>(
        self: &Arc<Self>,
        request: Request<B>,
        started: BootTime,
    ) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let head = decode_request(request.headers());
        let Some(table) = self.state.table() else {
            let retry_after = Some(CONFIGURATION_RETRY_AFTER);
            return self.refuse_request(&head, Refusal::NoConfiguration, retry_after);
        };
        let Some(rule) = find_rule(&table, &request).cloned() else {
            return self.refuse_request(&head, Refusal::NoRoute, None);
        };
        let routed = match self
            .read_request(&table, rule, &head, request, started)
            .await
        {
            Ok(routed) => routed,
            Err(refusal) => {
                let retry_after = (refusal.status() == StatusCode::SERVICE_UNAVAILABLE)
                    .then(|| self.retry_after());
                return self.refuse_request(&head, refusal, retry_after);
            }
        };
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
        started: BootTime,
    ) -> Result<RoutedRequest, Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let id = head.id.clone().ok_or(Refusal::Malformed)?;
        let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let expires_at = started + deadline.min(rule.time_limit);
        let (parts, body) = request.into_parts();
        let limit = table.limits.body_bytes.min(MAX_BODY_BYTES);
        let reading = self.read_body(body, limit);
        let (body, reservation) = match timeout(expires_at.since(started), reading).await {
            Ok(read) => read?,
            Err(_) => return Err(Refusal::TooLate),
        };
        let service = self.state.route_request(&rule);
        let config = table.services.get(&service);
        let keyed = config.is_some_and(|service| service.keyed);
        if keyed && let Some(key) = head.key {
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
            rule,
            max_connections: config.map_or(1, |service| service.connections),
            service,
            key: head.key.filter(|_| keyed),
            started,
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

    /// Tries servers until one answers or no further attempt is allowed.
    async fn forward_with_retries(
        self: &Arc<Self>,
        routed: RoutedRequest,
    ) -> Response<ResponseBody> {
        let mut history = AttemptHistory::default();
        loop {
            let time_left = routed.call.expires_at.since(self.state.now());
            if time_left < MIN_ATTEMPT_TIME {
                return self.give_up(&routed, history, Refusal::TooLate, None);
            }
            let query = PickQuery {
                service: &routed.service,
                key: routed.key,
                tried: &history.tried,
                rule: AdmissionRule {
                    target_latency: routed.rule.target_latency,
                    time_left,
                },
            };
            let pick = self.state.pick_server(query);
            let (entry, permit) = match pick {
                ServerPick::Send(entry, permit) => (entry, permit),
                ServerPick::Unowned(wait) => {
                    if !self.await_owner(&mut history, wait.min(time_left)).await {
                        let retry_after = Some(self.retry_after());
                        return self.give_up(&routed, history, Refusal::Unavailable, retry_after);
                    }
                    continue;
                }
                ServerPick::Refuse(reason, retry_after) => {
                    let refusal = match reason {
                        PickRefusal::NoKey => Refusal::Malformed,
                        PickRefusal::Overloaded => Refusal::Overloaded,
                        PickRefusal::TooLate => Refusal::TooLate,
                        PickRefusal::NoServer
                        | PickRefusal::OwnerUnresponsive
                        | PickRefusal::NoOwner => Refusal::Unavailable,
                    };
                    return self.give_up(&routed, history, refusal, Some(retry_after));
                }
            };
            if history.sent > 0 {
                let allowed = std::mem::take(&mut history.retry_counted)
                    || self.may_retry(&routed, history.sent);
                if !allowed {
                    drop(permit);
                    let retry_after = Some(self.retry_after());
                    return self.give_up(&routed, history, Refusal::Overloaded, retry_after);
                }
                self.record_retry(&routed, &entry);
            }
            let sent = history.sent + 1;
            // While the host stops, no attempt is abandoned for a retry.
            // The owner of a key is tried again only if it has free slots: otherwise the request
            // waits there, and another one would only make the queue longer.
            let may_retry = || {
                let queues = routed.key.is_some() && self.has_queue(&entry.id);
                !self.state.is_stopping() && !queues && self.may_retry(&routed, sent)
            };
            let attempt_timeout =
                self.attempt_timeout(&routed, &entry)
                    .map(|duration| AttemptTimeout {
                        duration,
                        // The owner of a key gets the retry, so it is not to be avoided.
                        outcome: match routed.key {
                            Some(_) => RequestOutcome::Abandoned,
                            None => RequestOutcome::Unresponsive,
                        },
                        may_retry: &may_retry,
                    });
            let pool = &self.pool;
            let target = CallTarget {
                entry: &entry,
                max_connections: routed.max_connections,
                needs_new_connection: routed.rule.retry == RetryPolicy::AtMostOnce
                    && history.tried.contains(&entry.id),
            };
            let sending = send_call(pool, target, permit, &routed.call, attempt_timeout);
            let outcome = sending.await;
            if let Some(response) = self
                .evaluate_outcome(&routed, &mut history, entry, outcome)
                .await
            {
                return response;
            }
        }
    }

    /// Evaluates an attempt: the final response, or `None` if another attempt may follow.
    async fn evaluate_outcome(
        &self,
        routed: &RoutedRequest,
        history: &mut AttemptHistory,
        entry: ServerEntry,
        outcome: CallOutcome,
    ) -> Option<Response<ResponseBody>> {
        let idempotent = routed.rule.retry == RetryPolicy::Idempotent;
        match outcome {
            CallOutcome::Answered(response) => {
                let failed = response.status().is_server_error();
                history.sent += 1;
                history.may_have_run = true;
                if !failed || !idempotent {
                    self.state.counters.answered.fetch_add(1, Ordering::Relaxed);
                    return Some(forward_response(response));
                }
                self.log_failed_attempt(routed, &entry, "failure answered");
                history.last = Some(response);
            }
            CallOutcome::NotRun(status) => {
                history.sent += 1;
                self.log_failed_attempt(routed, &entry, "request refused by server");
                if status == StatusCode::MISDIRECTED_REQUEST && routed.key.is_some() {
                    let time_left = routed.call.expires_at.since(self.state.now());
                    if !self
                        .await_owner(history, OWNER_UPDATE_WAIT.min(time_left))
                        .await
                    {
                        self.state.record_not_owner(&entry.id);
                    }
                }
            }
            CallOutcome::NotSent(reason) => {
                history.unsent += 1;
                self.log_failed_attempt(routed, &entry, &reason);
                if history.unsent >= MAX_UNSENT_ATTEMPTS {
                    let retry_after = Some(self.retry_after());
                    return Some(self.give_up(
                        routed,
                        std::mem::take(history),
                        Refusal::Unavailable,
                        retry_after,
                    ));
                }
            }
            CallOutcome::Unknown(reason) => {
                history.sent += 1;
                history.may_have_run = true;
                self.log_failed_attempt(routed, &entry, &reason);
                if !idempotent {
                    return Some(self.give_up(
                        routed,
                        std::mem::take(history),
                        Refusal::AnswerLost,
                        None,
                    ));
                }
            }
            CallOutcome::AbandonedForRetry => {
                history.sent += 1;
                history.may_have_run = true;
                history.retry_counted = true;
                self.log_failed_attempt(routed, &entry, "silent for longer than usual");
            }
            CallOutcome::TimedOut => {
                history.sent += 1;
                history.may_have_run = true;
                self.log_failed_attempt(routed, &entry, "no answer in time");
                return Some(self.give_up(
                    routed,
                    std::mem::take(history),
                    Refusal::TimedOut,
                    None,
                ));
            }
        }
        history.tried.push(entry.id);
        None
    }

    /// Waits for an ownership change; `false` if none came within the time that is left or the
    /// request has used up `MAX_OWNER_WAIT`.
    async fn await_owner(&self, history: &mut AttemptHistory, time_left: Duration) -> bool {
        let rest = MAX_OWNER_WAIT.saturating_sub(history.waited).min(time_left);
        if rest.is_zero() {
            return false;
        }
        let wait_started = self.state.now();
        let changed = timeout(rest, self.state.owners_changed.notified()).await;
        history.waited += self.state.now().since(wait_started);
        changed.is_ok()
    }

    /// Whether a retry after `sent` attempts is allowed; if so, counts it against the retry
    /// budget.
    fn may_retry(&self, routed: &RoutedRequest, sent: u32) -> bool {
        sent < routed.rule.attempts
            && routed.call.expires_at.since(self.state.now()) >= MIN_ATTEMPT_TIME
            && self.state.try_retry(&routed.service)
    }

    /// Whether requests wait at the server for a free slot, as far as this host knows.
    fn has_queue(&self, server: &ServerId) -> bool {
        let reading = self.state.load_reading(server);
        reading.is_some_and(|reading| reading.backlog > reading.slots)
    }

    /// Time without a response after which another server is tried, or the owner of the key again,
    /// as its response may be lost; `None` if the request may run only once, or while the host
    /// stops.
    fn attempt_timeout(&self, routed: &RoutedRequest, entry: &ServerEntry) -> Option<Duration> {
        if routed.rule.retry == RetryPolicy::AtMostOnce || self.state.is_stopping() {
            return None;
        }
        let expected = self.state.expected_time(&entry.id);
        let shortest = routed.rule.target_latency.mul_f64(ATTEMPT_TIMEOUT_SHARE);
        Some(expected.mul_f64(ATTEMPT_TIMEOUT_FACTOR).max(shortest))
    }

    fn retry_after(&self) -> Duration {
        camphorcove_core::dispatch::retry_after(None, self.state.random_fraction())
    }

    /// Ends the request without a successful response: forwards the last server error if there
    /// is one, otherwise logs and counts the refusal.
    fn give_up(
        &self,
        routed: &RoutedRequest,
        history: AttemptHistory,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        if let Some(response) = history.last {
            self.state.counters.answered.fetch_add(1, Ordering::Relaxed);
            return forward_response(response);
        }
        // The caller is told "not run" only if no attempt can have run.
        let refusal = match (history.may_have_run, refusal) {
            (true, Refusal::TimedOut | Refusal::TooLate) => Refusal::TimedOut,
            (true, _) => Refusal::AnswerLost,
            (false, refusal) => refusal,
        };
        let retry_after = match refusal.status() {
            StatusCode::SERVICE_UNAVAILABLE => {
                Some(retry_after.unwrap_or_else(|| self.retry_after()))
            }
            _ => None,
        };
        let head = RequestHead {
            id: Some(routed.call.id.clone()),
            ..RequestHead::default()
        };
        if let Some(left_out) = self.state.may_log(log_topic(refusal)) {
            let waited = self.state.now().since(routed.started).as_millis();
            log::info!(
                request = request_id(&head),
                route = routed.rule.name.as_str(),
                service = routed.service.as_str(),
                key:? = routed.key,
                refusal:? = refusal,
                sent = history.sent,
                unsent = history.unsent,
                last_server = history.tried.last().map_or("", |id| id.as_str()),
                waited_ms:% = waited,
                comeback_ms:? = retry_after.map(|duration| duration.as_millis()),
                left_out;
                "request ended without a server's answer"
            );
        }
        self.count_refusal(refusal);
        refusal_response(refusal, retry_after)
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

    fn count_refusal(&self, refusal: Refusal) {
        let counters = &self.state.counters;
        let counter = match refusal {
            Refusal::AnswerLost | Refusal::TimedOut => &counters.failed,
            _ => &counters.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn record_retry(&self, routed: &RoutedRequest, entry: &ServerEntry) {
        self.state.counters.retries.fetch_add(1, Ordering::Relaxed);
        if let Some(left_out) = self.state.may_log(LogTopic::Retry) {
            log::info!(
                request = routed.call.id.to_str().unwrap_or("?"),
                service = routed.service.as_str(),
                server = entry.id.as_str(),
                left_out;
                "request retried"
            );
        }
    }

    fn log_failed_attempt(&self, routed: &RoutedRequest, entry: &ServerEntry, reason: &str) {
        if let Some(left_out) = self.state.may_log(LogTopic::Server) {
            let reading = self.state.load_reading(&entry.id);
            log::info!(
                request = routed.call.id.to_str().unwrap_or("?"),
                service = routed.service.as_str(),
                server = entry.id.as_str(),
                reason,
                reading:? = reading,
                left_out;
                "attempt failed"
            );
        }
    }
}

/// Route that the `Host` header and the path select.
fn find_rule<'t, B>(table: &'t RouteTable, request: &Request<B>) -> Option<&'t Arc<RouteRule>> {
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    table.find(host, request.uri().path())
}

fn log_topic(refusal: Refusal) -> LogTopic {
    match refusal {
        Refusal::AnswerLost | Refusal::TimedOut => LogTopic::Failure,
        _ => LogTopic::Refusal,
    }
}

fn request_id(head: &RequestHead) -> &str {
    let id = head.id.as_ref();
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

fn forward_response(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    strip_connection_headers(response.headers_mut());
    response
}
