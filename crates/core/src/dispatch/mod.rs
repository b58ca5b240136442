//! Dispatch of requests: choice of a server, admission control and the retry limit.

mod admission;
mod connection_limit;
mod key_gates;
mod key_share;
mod limit_control;
mod limit_gate;
mod pause_table;
mod rank_limit;
mod request_rate;
mod retry_window;
mod return_plan;
mod server_choice;
mod server_gauge;
mod server_reach;
mod wait_queue;
mod warmup_gate;
mod warmup_limit;
mod work_time;
mod zone_transfer;

use admission::bounded_retry_after;

pub use {
    admission::{Admission, AdmissionRule, retry_after},
    connection_limit::ConnectionLimit,
    key_gates::{KeyAdmission, KeyGates},
    key_share::KeyShare,
    limit_control::LimitControl,
    limit_gate::{AdmittedShare, LimitGate, LimitedRequests},
    pause_table::{PauseTable, retry_after_pause},
    rank_limit::{RankGate, RankLimit, RankLimits},
    request_rate::{RateError, RequestRate},
    retry_window::{HostCount, RetryWindow},
    return_plan::{ReturnPlan, ReturnQuery, ReturnReason, ReturnTarget, longest_return},
    server_choice::{Candidate, choose_server},
    server_gauge::{GaugeReading, NamedLimit, ReportedLoad, RequestOutcome, ServerGauge},
    server_reach::{ReachCheck, ServerReach},
    wait_queue::{WaitQueue, WaitTicket},
    warmup_gate::WarmupGate,
    warmup_limit::WarmupLimit,
    work_time::WorkTime,
    zone_transfer::{ServiceDemand, ZoneTransfer},
};
