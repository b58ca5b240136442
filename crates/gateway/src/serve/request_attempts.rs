//! Attempts of one request at servers, until one answers or no further attempt is allowed.

use {
    super::{
        Refusal, RequestHandler, refusal_response,
        request_handler::{RoutedRequest, STOP_RETRY_AFTER, log_topic, request_id},
        request_origin::RequestOrigin,
        strip_connection_headers,
    },
    crate::{
        forward::{AttemptTimeout, CallOutcome, CallTarget, ResponseBody, send_call},
        state::{LogTopic, PickQuery, PickRefusal, ServerPick, SlotWait},
    },
    camphorcove_core::{
        dispatch::{AdmissionRule, RequestOutcome, longest_return},
        fleet::ServerEntry,
        ids::ServerId,
        quarantine::Admittance,
        routing::RetryPolicy,
    },
    camphorcove_platform::RequestHead,
    http::{Response, StatusCode, Version},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Longest total time that a request waits for its key to change owner; a move usually takes
/// less.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for an ownership update after a server refused a key that it does not own:
/// the leader sends each change to all hosts immediately.
const OWNER_UPDATE_WAIT: Duration = Duration::from_millis(60);

/// No attempt is started with less time than this before the request's deadline.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// Number of attempts that failed before anything was sent, after which the host gives up.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Time without a response, as a multiple of the server's expected response time, after which
/// an idempotent request is retried on another server.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// Lower bound of that time, as a multiple of the route's target latency.
const ATTEMPT_TIMEOUT_SHARE: f64 = 1.25;

/// Attempts made so far for a request.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// Servers to which earlier attempts were made.
    tried: Vec<ServerId>,
    pub(super) sent: u32,
    unsent: u32,
    /// At least one attempt may have run on a server.
    may_have_run: bool,
    /// The next attempt has already been counted against the retry budget.
    pub(super) retry_counted: bool,
    /// The next attempt may be sent, as far as crashes of servers tell.
    admitted: bool,
    /// Place in the queue of this host, while the request waits for room at its server.
    slot_wait: Option<SlotWait>,
    /// Time after which the caller is to return, as planned when the request began to wait.
    planned_return: Option<Duration>,
    /// Total time spent waiting for the key to change owner.
    waited: Duration,
    /// Response of the last attempt that ended with a server error.
    last: Option<Response<ResponseBody>>,
}

impl AttemptHistory {
    /// Records an attempt that may have run.
    pub(super) fn record_unknown(&mut self) {
        self.sent += 1;
        self.may_have_run = true;
    }
}

impl RequestHandler {
    /// Tries servers until one answers or no further attempt is allowed.
    pub(super) async fn forward_with_retries(
        self: &Arc<Self>,
        routed: RoutedRequest,
    ) -> Response<ResponseBody> {
        let mut history = AttemptHistory::default();
        loop {
            if self.state.refuses_requests() && !history.may_have_run {
                let retry_after = Some(STOP_RETRY_AFTER);
                return self.give_up(&routed, history, Refusal::Stopping, retry_after);
            }
            let time_left = routed.call.expires_at.since(self.state.now());
            if time_left < MIN_ATTEMPT_TIME {
                return self.give_up(&routed, history, Refusal::TooLate, None);
            }
            if routed.origin == RequestOrigin::Caller && self.state.lacks_servers() {
                return self.relay(&routed, history).await;
            }
            let admittance = match history.admitted {
                true => Admittance::Open,
                false => self.admit(&routed),
            };
            match admittance {
                Admittance::Open => history.admitted = true,
                Admittance::Wait(wait) => {
                    sleep(wait).await;
                    continue;
                }
                Admittance::Quarantined(left) => {
                    return self.give_up(&routed, history, Refusal::Quarantined, Some(left));
                }
            }
            let query = PickQuery {
                service: &routed.service,
                key: routed.key,
                tried: &history.tried,
                rule: AdmissionRule {
                    target_latency: routed.rule.target_latency,
                    time_left,
                    rank_limit: routed.rank_limit,
                    is_hot_key: false,
                },
                rank: routed.rule.rank,
                is_waiting: history.planned_return.is_some(),
                plans_returns: routed.plans_returns,
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
                    let can_wait = reason == PickRefusal::Overloaded;
                    let wait = match (history.planned_return, can_wait) {
                        (_, false) => None,
                        (Some(_), true) => history.slot_wait.take(),
                        (None, true) => {
                            let bytes = routed.call.body.len();
                            self.state.begin_slot_wait(query, bytes)
                        }
                    };
                    let retry_after = match history.planned_return {
                        Some(planned) if can_wait => planned.min(longest_return(time_left)),
                        Some(_) | None => retry_after,
                    };
                    if let Some(wait) = wait
                        && self.await_slot(&routed, &wait).await
                    {
                        history.planned_return = Some(retry_after);
                        history.slot_wait = Some(wait);
                        continue;
                    }
                    let refusal = match reason {
                        PickRefusal::NoKey => Refusal::Malformed,
                        PickRefusal::Overloaded => Refusal::Overloaded,
                        PickRefusal::HotKey => Refusal::HotKey,
                        PickRefusal::Limited => Refusal::Limited,
                        PickRefusal::Paused => Refusal::Paused,
                        PickRefusal::TooLate => Refusal::TooLate,
                        PickRefusal::NoServer
                        | PickRefusal::OwnerUnresponsive
                        | PickRefusal::OwnerEvacuated
                        | PickRefusal::NoOwner => Refusal::Unavailable,
                    };
                    return self.give_up(&routed, history, refusal, Some(retry_after));
                }
            };
            history.slot_wait = None;
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
            // waits there, and another one would only make the queue longer. While it is paused, no
            // retry could be sent.
            let may_retry = || {
                let owner_takes_none = routed.key.is_some()
                    && (self.has_queue(&entry.id) || self.state.is_paused(&entry));
                !self.state.is_stopping() && !owner_takes_none && self.may_retry(&routed, sent)
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
                send_until: self
                    .state
                    .stop
                    .last_start()
                    .filter(|_| !history.may_have_run),
            };
            history.admitted = false;
            let sent_at = self.state.now();
            let sending = send_call(pool, target, permit, &routed.call, attempt_timeout);
            let outcome = sending.await;
            if matches!(outcome, CallOutcome::ConnectionLost(_)) {
                self.check_for_crash(&routed, &entry, sent_at).await;
            }
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
                history.record_unknown();
                // A server may crash while it sends the rest of a long response.
                if !failed && matches!(response.body(), ResponseBody::Buffered(_)) {
                    self.record_answer(routed);
                }
                // The caller would take the status for the promise that it has not run, which this answer
                // does not give.
                if !idempotent && promises_not_run(response.status()) {
                    self.log_failed_attempt(routed, &entry, "answer may have run");
                    return Some(self.give_up(
                        routed,
                        std::mem::take(history),
                        Refusal::AnswerLost,
                        None,
                    ));
                }
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
                if let (StatusCode::MISDIRECTED_REQUEST, Some(key)) = (status, routed.key) {
                    self.state
                        .counters
                        .not_owned
                        .fetch_add(1, Ordering::Relaxed);
                    let time_left = routed.call.expires_at.since(self.state.now());
                    if !self
                        .await_owner(history, OWNER_UPDATE_WAIT.min(time_left))
                        .await
                    {
                        self.state.record_not_owner(&routed.service, key, &entry);
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
            CallOutcome::Unknown(reason) | CallOutcome::ConnectionLost(reason) => {
                history.record_unknown();
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
                history.record_unknown();
                history.retry_counted = true;
                self.log_failed_attempt(routed, &entry, "silent for longer than usual");
            }
            CallOutcome::TimedOut => {
                history.record_unknown();
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

    /// Waits until the request is to try its server again; `false` if the wait has ended or the caller
    /// has disconnected.
    async fn await_slot(&self, routed: &RoutedRequest, wait: &SlotWait) -> bool {
        let caller_left = async {
            match routed.caller.clone() {
                Some(mut caller) => while caller.changed().await.is_ok() {},
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = caller_left => false,
            woken = wait.woken() => woken,
        }
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
    pub(super) fn may_retry(&self, routed: &RoutedRequest, sent: u32) -> bool {
        sent < routed.attempts
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

    pub(super) fn retry_after(&self) -> Duration {
        camphorcove_core::dispatch::retry_after(None, self.state.random_fraction())
    }

    /// Ends the request without a successful response: forwards the last server error if there
    /// is one, otherwise logs and counts the refusal.
    pub(super) fn give_up(
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
            let inputs = routed
                .key
                .and_then(|key| self.state.admission_inputs(&routed.service, key));
            log::info!(
                request = request_id(&head),
                route = routed.rule.name.as_str(),
                service = routed.service.as_str(),
                key:? = routed.key,
                rank:% = routed.rule.rank,
                rank_limit:? = routed.rank_limit,
                inputs:? = inputs,
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
        self.state.count_refusal(refusal.label(), routed.rule.rank);
        refusal_response(refusal, retry_after)
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

pub(super) fn forward_response(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    strip_connection_headers(response.headers_mut());
    // In an answer of an earlier version, a body of unknown length would end with the connection to the
    // caller, whether it is complete or not.
    *response.version_mut() = Version::HTTP_11;
    response
}

/// Whether callers take the status for the promise that their request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
