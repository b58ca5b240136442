//! Tables for people and JSON for scripts.

mod printer;
mod wall_time;

pub use {
    printer::{Printer, optional, plain, shorten, table},
    wall_time::utc_text,
};
