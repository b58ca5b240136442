//! Numbered result codes of requests.
//!
//! Every answer of the router carries a code and says whether the request ran.
//! `docs/result-codes.md` is the public list; a test compares it with this one.

mod execution;
mod result_code;

pub use {execution::Execution, result_code::ResultCode};
