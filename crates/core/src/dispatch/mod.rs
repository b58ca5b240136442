//! Dispatch of requests: choice of a server, admission control and the retry limit.

mod admission;
mod request_rate;
mod retry_window;
mod server_choice;
mod server_gauge;

pub use {
    admission::{Admission, AdmissionRule, retry_after},
    request_rate::{RateError, RequestRate},
    retry_window::{HostCount, RetryWindow},
    server_choice::{Candidate, choose_server},
    server_gauge::{GaugeReading, ReportedLoad, RequestOutcome, ServerGauge},
};
