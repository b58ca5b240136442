//! Which server gets a request, and whether it gets one at all.

mod admission;
mod call_window;
mod server_choice;
mod server_gauge;

pub use {
    admission::{Admission, AdmissionRule, comeback},
    call_window::{CallWindow, HostCount},
    server_choice::{Candidate, choose_server},
    server_gauge::{AnswerKind, GaugeReading, ServerGauge, ToldLoad},
};
