//! Planned stop of the process: hand roles over, finish requests, then exit.

mod stop_sequence;
mod stop_signal;

pub use {
    stop_sequence::{StopOutcome, StopSequence},
    stop_signal::StopSignal,
};
