//! The planned stop.

mod stop_signal;
mod stop_sequence;

pub use {
    stop_sequence::{StopOutcome, StopSequence},
    stop_signal::StopSignal,
};
