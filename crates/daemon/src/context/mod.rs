//! What the parts of the request path share.

mod request_context;
mod request_counters;

pub use {
    request_context::{RequestContext, RequestTuning},
    request_counters::RequestCounters,
};
