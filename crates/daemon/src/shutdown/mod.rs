//! The planned stop.

mod stop_sequence;
mod stop_signal;

pub use {
    stop_sequence::{StopOutcome, StopSequence},
    stop_signal::StopSignal,
};
