//! Tables for people and JSON for scripts.

mod printer;

pub use printer::{Printer, optional, plain, table};
