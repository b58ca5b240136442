//! Request ids that must not run twice.

mod dedup_coverage;
mod id_window;

pub use {
    dedup_coverage::{DedupCoverage, home_of},
    id_window::{IdVerdict, IdWindow},
};
