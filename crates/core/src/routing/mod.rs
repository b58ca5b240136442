//! From a request's host and path to a service: the routing side of a configuration.

mod route_rule;
mod route_table;
mod weighted_round_robin;

pub use {
    route_rule::{CallerLimits, RetryPolicy, RouteRule, ServiceRule, SplitPart},
    route_table::{RouteTable, RouteTableError},
    weighted_round_robin::WeightedRoundRobin,
};
