//! Selection of the service for a request by its host and path, as configured.

mod route_review;
mod route_rule;
mod route_table;
mod weighted_round_robin;

pub use {
    route_review::{ReviewNote, ReviewPlace, review_routes},
    route_rule::{
        CallerLimits, RetryPolicy, RouteRank, RouteRule, ServiceRule, SplitPart, WarmupRule,
    },
    route_table::{RouteTable, RouteTableError, route_faults},
    weighted_round_robin::WeightedRoundRobin,
};
