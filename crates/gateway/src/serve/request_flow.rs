//! The way of one request.

use {
    super::{Refusal, refuse, strip_connection_headers},
    crate::{
        forward::{AnswerBody, AttemptTimeout, CallOutcome, CallRequest, ServerPool, send_call},
        state::{BodyReservation, HostState, LogTopic, PickQuery, PickRefusal, ServerPick},
    },
    bytes::{Bytes, BytesMut},
    camphorcove_core::{
        dispatch::AdmissionRule,
        fleet::ServerEntry,
        ids::{ServerId, ServiceName},
        routing::{RetryPolicy, RouteRule, RouteTable},
        time::BootTime,
    },
    camphorcove_platform::{RequestHead, decode_request},
    http::{HeaderValue, Request, Response, StatusCode, header, request::Parts},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Deadline of a caller that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest wait of one request for a change of owner; a usual move takes less.
const OWNER_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for news of an owner after a server refused a key as not its own: the
/// leader sends a change to all hosts at once.
const OWNER_NEWS_WAIT: Duration = Duration::from_millis(60);

/// Least time in which another attempt makes sense.
const LEAST_ATTEMPT: Duration = Duration::from_millis(30);

/// Attempts that never left this host before it gives up.
const UNSENT_LIMIT: u32 = 4;

/// Retry-after time while no configuration is known.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Silence, as a multiple of the expected time, after which an idempotent request is
/// tried elsewhere.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// Shortest such silence, as a share of the route's target.
const ATTEMPT_TIMEOUT_SHARE: f64 = 1.25;

/// Largest body that is kept for sending, whatever the configuration allows.
const BODY_LIMIT: usize = 8 << 20;

/// Answers requests.
pub struct RequestFlow {
    state: Arc<HostState>,
    pool: Arc<ServerPool>,
}

/// What one request brings with it through its attempts.
struct RequestCase {
    call: CallRequest,
    rule: Arc<RouteRule>,
    service: ServiceName,
    connections: u32,
    key: Option<u16>,
    started: BootTime,
    /// Keeps the body's memory counted until the request has ended.
    _body: BodyReservation,
}

/// Attempts so far.
#[derive(Default)]
struct AttemptLog {
    tried: Vec<ServerId>,
    sent: u32,
    unsent: u32,
    /// Some attempt may have run.
    may_have_run: bool,
    /// The next attempt has been counted as a retry.
    retry_taken: bool,
    waited: Duration,
    last: Option<Response<AnswerBody>>,
}

impl RequestFlow {
    /// Flow of a host.
    pub fn new(state: Arc<HostState>) -> Self {
        let pool = Arc::new(ServerPool::new(state.clone()));
        Self { state, pool }
    }

    /// Answers a request.
    pub async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let started = self.state.now();
        self.state.counters.requests.fetch_add(1, Ordering::Relaxed);
        let mut response = self.route(request, started).await;
        if self.state.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn route(
        self: &Arc<Self>,
        request: Request<Incoming>,
        started: BootTime,
    ) -> Response<AnswerBody> {
        let head = decode_request(request.headers());
        let Some(table) = self.state.table() else {
            let retry_after = Some(CONFIGURATION_RETRY_AFTER);
            return self.own_answer(&head, Refusal::NoConfiguration, retry_after);
        };
        let host = request.headers().get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let Some(rule) = table.find(host, request.uri().path()).cloned() else {
            return self.own_answer(&head, Refusal::NoRoute, None);
        };
        let case = match self.read_case(&table, rule, &head, request, started).await {
            Ok(case) => case,
            Err(refusal) => {
                let retry_after = (refusal.status() == StatusCode::SERVICE_UNAVAILABLE)
                    .then(|| self.retry_after());
                return self.own_answer(&head, refusal, retry_after);
            }
        };
        match case.rule.retry {
            RetryPolicy::Idempotent => self.deliver(case).await,
            // Work that has begun goes on when its caller leaves.
            RetryPolicy::AtMostOnce => {
                let flow = self.clone();
                let delivery = tokio::spawn(async move { flow.deliver(case).await });
                match delivery.await {
                    Ok(response) => response,
                    Err(error) => {
                        log::error!(reason:% = error; "delivery of a request ended early");
                        self.own_answer(&head, Refusal::AnswerLost, None)
                    }
                }
            }
        }
    }

    async fn read_case(
        &self,
        table: &RouteTable,
        rule: Arc<RouteRule>,
        head: &RequestHead,
        request: Request<Incoming>,
        started: BootTime,
    ) -> Result<RequestCase, Refusal> {
        let id = head.id.clone().ok_or(Refusal::Malformed)?;
        let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let end = started + deadline.min(rule.time_limit);
        let (parts, body) = request.into_parts();
        let limit = table.limits.body_bytes.min(BODY_LIMIT);
        let reading = self.read_body(body, limit);
        let (body, reservation) = match timeout(end.since(started), reading).await {
            Ok(read) => read?,
            Err(_) => return Err(Refusal::TooLate),
        };
        let service = self.state.route_request(&rule);
        let config = table.services.get(&service);
        let keyed = config.is_some_and(|service| service.keyed);
        if keyed && let Some(key) = head.key {
            self.state.count_key(&service, key);
        }
        Ok(RequestCase {
            call: call_request(parts, body, id, end),
            rule,
            connections: config.map_or(1, |service| service.connections),
            service,
            key: head.key.filter(|_| keyed),
            started,
            _body: reservation,
        })
    }

    /// Reads a body of at most `limit` bytes.
    async fn read_body(
        &self,
        mut body: Incoming,
        limit: usize,
    ) -> Result<(Bytes, BodyReservation), Refusal> {
        let mut reservation = self.state.body_budget.begin();
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

    /// Tries servers until one answers or nothing more may be tried.
    async fn deliver(self: &Arc<Self>, case: RequestCase) -> Response<AnswerBody> {
        let mut log = AttemptLog::default();
        loop {
            let time_left = case.call.end.since(self.state.now());
            if time_left < LEAST_ATTEMPT {
                return self.give_up(&case, log, Refusal::TooLate, None);
            }
            let query = PickQuery {
                service: &case.service,
                key: case.key,
                tried: &log.tried,
                rule: AdmissionRule {
                    target_latency: case.rule.target_latency,
                    time_left,
                },
            };
            let pick = self.state.pick_server(query);
            let (entry, permit) = match pick {
                ServerPick::Send(entry, permit) => (entry, permit),
                ServerPick::Unowned(wait) => {
                    if !self.await_owner(&mut log, wait.min(time_left)).await {
                        let retry_after = Some(self.retry_after());
                        return self.give_up(&case, log, Refusal::Unavailable, retry_after);
                    }
                    continue;
                }
                ServerPick::Refuse(reason, retry_after) => {
                    let refusal = match reason {
                        PickRefusal::NoKey => Refusal::Malformed,
                        PickRefusal::Overloaded => Refusal::Overloaded,
                        PickRefusal::TooLate => Refusal::TooLate,
                        PickRefusal::NoServer | PickRefusal::OwnerSilent | PickRefusal::NoOwner => {
                            Refusal::Unavailable
                        }
                    };
                    return self.give_up(&case, log, refusal, Some(retry_after));
                }
            };
            if log.sent > 0 {
                let allowed =
                    std::mem::take(&mut log.retry_taken) || self.may_retry(&case, log.sent);
                if !allowed {
                    drop(permit);
                    let retry_after = Some(self.retry_after());
                    return self.give_up(&case, log, Refusal::Overloaded, retry_after);
                }
                self.note_repeat(&case, &entry);
            }
            let sent = log.sent + 1;
            // A server's work is not broken off while the host stops.
            let may_retry = || !self.state.is_stopping() && self.may_retry(&case, sent);
            let attempt_timeout = self
                .attempt_timeout(&case, &entry)
                .map(|span| AttemptTimeout {
                    span,
                    may_retry: &may_retry,
                });
            let pool = &self.pool;
            let sending = send_call(
                pool,
                &entry,
                case.connections,
                permit,
                &case.call,
                attempt_timeout,
            );
            let outcome = sending.await;
            if let Some(response) = self.judge(&case, &mut log, entry, outcome).await {
                return response;
            }
        }
    }

    /// Decides after an attempt: an answer, or nothing if another attempt may follow.
    async fn judge(
        &self,
        case: &RequestCase,
        log: &mut AttemptLog,
        entry: ServerEntry,
        outcome: CallOutcome,
    ) -> Option<Response<AnswerBody>> {
        let idempotent = case.rule.retry == RetryPolicy::Idempotent;
        match outcome {
            CallOutcome::Answered(response) => {
                let failed = response.status().is_server_error();
                log.sent += 1;
                log.may_have_run = true;
                if !failed || !idempotent {
                    self.state.counters.answered.fetch_add(1, Ordering::Relaxed);
                    return Some(pass_on(response));
                }
                self.note_server(case, &entry, "failure answered");
                log.last = Some(response);
            }
            CallOutcome::NotRun(status) => {
                log.sent += 1;
                self.note_server(case, &entry, "request refused by server");
                if status == StatusCode::MISDIRECTED_REQUEST && case.key.is_some() {
                    let time_left = case.call.end.since(self.state.now());
                    if !self.await_owner(log, OWNER_NEWS_WAIT.min(time_left)).await {
                        self.state.note_not_owner(&entry.id);
                    }
                }
            }
            CallOutcome::NotSent(reason) => {
                log.unsent += 1;
                self.note_server(case, &entry, &reason);
                if log.unsent >= UNSENT_LIMIT {
                    let retry_after = Some(self.retry_after());
                    return Some(self.give_up(
                        case,
                        std::mem::take(log),
                        Refusal::Unavailable,
                        retry_after,
                    ));
                }
            }
            CallOutcome::Unknown(reason) => {
                log.sent += 1;
                log.may_have_run = true;
                self.note_server(case, &entry, &reason);
                if !idempotent {
                    return Some(self.give_up(
                        case,
                        std::mem::take(log),
                        Refusal::AnswerLost,
                        None,
                    ));
                }
            }
            CallOutcome::Silent => {
                log.sent += 1;
                log.may_have_run = true;
                log.retry_taken = true;
                self.note_server(case, &entry, "silent for longer than usual");
            }
            CallOutcome::TimedOut => {
                log.sent += 1;
                log.may_have_run = true;
                self.note_server(case, &entry, "no answer in time");
                return Some(self.give_up(case, std::mem::take(log), Refusal::TimedOut, None));
            }
        }
        log.tried.push(entry.id);
        None
    }

    /// Waits for a change of owners; `false` if this request has waited enough.
    async fn await_owner(&self, log: &mut AttemptLog, time_left: Duration) -> bool {
        let rest = OWNER_WAIT.saturating_sub(log.waited).min(time_left);
        if rest.is_zero() {
            return false;
        }
        let begun = self.state.now();
        let changed = timeout(rest, self.state.owners_changed.notified()).await;
        log.waited += self.state.now().since(begun);
        changed.is_ok()
    }

    /// Whether an attempt after `sent` others is allowed; counts it as a retry.
    fn may_retry(&self, case: &RequestCase, sent: u32) -> bool {
        sent < case.rule.attempts
            && case.call.end.since(self.state.now()) >= LEAST_ATTEMPT
            && self.state.try_retry(&case.service)
    }

    /// Silence after which another server is tried; none if only one may run it, or if
    /// the host stops, as a server's work is not broken off then.
    fn attempt_timeout(&self, case: &RequestCase, entry: &ServerEntry) -> Option<Duration> {
        let single = case.rule.retry == RetryPolicy::AtMostOnce || case.key.is_some();
        if single || self.state.is_stopping() {
            return None;
        }
        let expected = self.state.expected_time(&entry.id);
        let floor = case.rule.target_latency.mul_f64(ATTEMPT_TIMEOUT_SHARE);
        Some(expected.mul_f64(ATTEMPT_TIMEOUT_FACTOR).max(floor))
    }

    fn retry_after(&self) -> Duration {
        camphorcove_core::dispatch::retry_after(None, self.state.random_fraction())
    }

    /// Final answer without a success.
    fn give_up(
        &self,
        case: &RequestCase,
        log: AttemptLog,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) -> Response<AnswerBody> {
        if let Some(response) = log.last {
            self.state.counters.answered.fetch_add(1, Ordering::Relaxed);
            return pass_on(response);
        }
        // "Not run" is said only if no attempt may have run.
        let refusal = match (log.may_have_run, refusal) {
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
            id: Some(case.call.id.clone()),
            ..RequestHead::default()
        };
        if let Some(left_out) = self.state.may_log(topic(refusal)) {
            let waited = self.state.now().since(case.started).as_millis();
            log::info!(
                request = text(&head),
                route = case.rule.name.as_str(),
                service = case.service.as_str(),
                key:? = case.key,
                refusal:? = refusal,
                sent = log.sent,
                unsent = log.unsent,
                last_server = log.tried.last().map_or("", |id| id.as_str()),
                waited_ms:% = waited,
                comeback_ms:? = retry_after.map(|span| span.as_millis()),
                left_out;
                "request ended without a server's answer"
            );
        }
        self.count(refusal);
        refuse(refusal, retry_after)
    }

    /// Answer to a request that never got as far as a service.
    fn own_answer(
        &self,
        head: &RequestHead,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) -> Response<AnswerBody> {
        if let Some(left_out) = self.state.may_log(topic(refusal)) {
            let version = self.state.table().map(|table| table.version.0);
            log::info!(
                request = text(head),
                refusal:? = refusal,
                config_version:? = version,
                left_out;
                "request refused"
            );
        }
        self.count(refusal);
        refuse(refusal, retry_after)
    }

    fn count(&self, refusal: Refusal) {
        let counters = &self.state.counters;
        let counter = match refusal {
            Refusal::AnswerLost | Refusal::TimedOut => &counters.failed,
            _ => &counters.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn note_repeat(&self, case: &RequestCase, entry: &ServerEntry) {
        self.state.counters.retries.fetch_add(1, Ordering::Relaxed);
        if let Some(left_out) = self.state.may_log(LogTopic::Retry) {
            log::info!(
                request = case.call.id.to_str().unwrap_or("?"),
                service = case.service.as_str(),
                server = entry.id.as_str(),
                left_out;
                "request repeated"
            );
        }
    }

    fn note_server(&self, case: &RequestCase, entry: &ServerEntry, reason: &str) {
        if let Some(left_out) = self.state.may_log(LogTopic::Server) {
            let reading = self.state.reading(&entry.id);
            log::info!(
                request = case.call.id.to_str().unwrap_or("?"),
                service = case.service.as_str(),
                server = entry.id.as_str(),
                reason,
                reading:? = reading,
                left_out;
                "attempt failed"
            );
        }
    }
}

fn topic(refusal: Refusal) -> LogTopic {
    match refusal {
        Refusal::AnswerLost | Refusal::TimedOut => LogTopic::Failure,
        _ => LogTopic::Refusal,
    }
}

fn text(head: &RequestHead) -> &str {
    let id = head.id.as_ref();
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

fn call_request(parts: Parts, body: Bytes, id: HeaderValue, end: BootTime) -> CallRequest {
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    CallRequest {
        method: parts.method,
        target: parts.uri,
        headers,
        body,
        id,
        end,
    }
}

fn pass_on(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    strip_connection_headers(response.headers_mut());
    response
}
