//! Shared handles, settings and counters of the request path.

mod request_context;
mod request_counters;

pub use {
    request_context::{RequestContext, RequestTuning},
    request_counters::RequestCounters,
};
