//! Requests that crash the servers which run them.
//!
//! One crash does not tell which request caused it: others run beside it, and servers end by
//! themselves. A request is quarantined once servers have crashed under it several times in
//! sequence and no other request explains it; one that any server answers is no longer suspected.

mod crash_report;
mod request_fingerprint;
mod suspect_table;

pub use {
    crash_report::{CrashId, CrashReport},
    request_fingerprint::{FingerprintError, RequestFingerprint},
    suspect_table::{Admittance, SharedSuspect, SuspectTable},
};
