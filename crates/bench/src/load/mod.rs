//! Open-loop load generator.

mod caller;
mod key_sampler;
mod load_options;
mod load_run;
mod service_load;

pub use {
    caller::Caller,
    key_sampler::KeySampler,
    load_options::{Arrivals, LoadOptions, LoadPlan},
    load_run::{LoadResult, run},
    service_load::ServiceLoad,
};
