//! Which server gets a request, and whether it gets one at all.

mod admission;
mod retry_window;
mod server_choice;
mod server_gauge;

pub use {
    admission::{Admission, AdmissionRule, retry_after},
    retry_window::{HostCount, RetryWindow},
    server_choice::{Candidate, choose_server},
    server_gauge::{AnswerKind, GaugeReading, ReportedLoad, ServerGauge},
};
