//! Results as tables and as CSV.

mod call_tally;
mod table;

pub use {
    call_tally::{CallOutcome, CallTally},
    table::{OutputOptions, ResultTable, millis},
};
