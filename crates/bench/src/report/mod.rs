//! Call statistics, and results as Markdown tables and CSV files.

mod call_stats;
mod table;

pub use {
    call_stats::{CallOutcome, CallStats},
    table::{OutputOptions, ResultTable, format_millis},
};
