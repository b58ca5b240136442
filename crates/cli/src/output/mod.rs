//! Human-readable tables, and JSON for scripts.

mod printer;
mod wall_time;

pub use {
    printer::{Printer, replace_control_chars, table, text_or_dash, truncate_cell},
    wall_time::utc_text,
};
