//! Requests that this host hands to other hosts, as it reaches no servers itself.
//!
//! A request takes one such hop at most: a host that gets it from another one sends it to a server
//! or refuses it.

use {
    super::{
        Refusal, RequestHandler,
        request_attempts::{AttemptHistory, MIN_ATTEMPT_TIME, forward_response},
        request_handler::RoutedRequest,
    },
    crate::{
        forward::{RelayOutcome, ResponseBody},
        peers::RelayGrant,
        state::LogTopic,
    },
    camphorcove_core::{routing::RetryPolicy, time::BootTime},
    http::Response,
    std::{net::SocketAddr, sync::atomic::Ordering},
};

/// Most hosts that one request is handed to, one after the other.
const MAX_RELAY_HOSTS: usize = 3;

/// Requests handed to other hosts at the same time. It bounds the responses in memory.
pub(super) const MAX_RELAYS: usize = 128;

/// Time for an idempotent request at another host, as a multiple of the route's target latency,
/// after which the next host gets it.
const HOST_TIMEOUT_FACTOR: f64 = 1.5;

impl RequestHandler {
    /// Hands a request to other hosts, until one gives a response or no other may try.
    pub(super) async fn relay(
        &self,
        routed: &RoutedRequest,
        mut history: AttemptHistory,
    ) -> Response<ResponseBody> {
        let hosts = self.state.choose_relay_peers(MAX_RELAY_HOSTS);
        let secret = self.state.owners().map(|(owners, _)| owners.secret.clone());
        let (Some(secret), Ok(_permit)) = (secret, self.relays.try_acquire()) else {
            return self.give_up(routed, history, Refusal::Unavailable, None);
        };
        let idempotent = routed.rule.retry == RetryPolicy::Idempotent;
        let count = hosts.len();
        for (at, host) in hosts.into_iter().enumerate() {
            let now = self.state.now();
            if routed.call.expires_at.since(now) < MIN_ATTEMPT_TIME {
                return self.give_up(routed, history, Refusal::TooLate, None);
            }
            let allowed = history.sent == 0
                || std::mem::take(&mut history.retry_counted)
                || self.may_retry(routed, history.sent);
            if !allowed {
                return self.give_up(routed, history, Refusal::Overloaded, None);
            }
            let grant = RelayGrant {
                attempts: routed.attempts.saturating_sub(history.sent).max(1),
                config_version: self.state.config_version(),
            };
            let answer_by = match idempotent && at + 1 < count {
                true => self.host_answer_time(routed, now),
                false => routed.call.expires_at,
            };
            self.state.counters.relayed.fetch_add(1, Ordering::Relaxed);
            let sending =
                self.relay_client
                    .send(host, &routed.call, grant, secret.as_bytes(), answer_by);
            match sending.await {
                RelayOutcome::Answered(response) => {
                    self.log_relay(routed, host, "answered");
                    self.state.counters.answered.fetch_add(1, Ordering::Relaxed);
                    return forward_response(response);
                }
                RelayOutcome::NotRun(retry_after) => {
                    self.log_relay(routed, host, "refused");
                    return self.give_up(routed, history, Refusal::Overloaded, retry_after);
                }
                RelayOutcome::Elsewhere(reason) => {
                    self.log_relay(routed, host, &reason);
                    self.state.leave_out_relay_peer(host);
                }
                RelayOutcome::Unknown(reason) => {
                    self.log_relay(routed, host, &reason);
                    history.record_unknown();
                    if !idempotent {
                        return self.give_up(routed, history, Refusal::AnswerLost, None);
                    }
                }
                RelayOutcome::TimedOut => {
                    self.log_relay(routed, host, "no answer in time");
                    history.record_unknown();
                    if !idempotent {
                        return self.give_up(routed, history, Refusal::TimedOut, None);
                    }
                    self.state.leave_out_relay_peer(host);
                }
            }
        }
        self.give_up(routed, history, Refusal::Unavailable, None)
    }

    /// When the next host gets an idempotent request.
    fn host_answer_time(&self, routed: &RoutedRequest, now: BootTime) -> BootTime {
        let time = routed.rule.target_latency.mul_f64(HOST_TIMEOUT_FACTOR);
        let latest = routed.call.expires_at;
        (now + time).min(latest)
    }

    fn log_relay(&self, routed: &RoutedRequest, host: SocketAddr, outcome: &str) {
        if let Some(left_out) = self.state.may_log(LogTopic::Relay) {
            log::info!(
                request = routed.call.id.to_str().unwrap_or("?"),
                service = routed.service.as_str(),
                to:% = host,
                outcome,
                left_out;
                "request handed to another host"
            );
        }
    }
}
