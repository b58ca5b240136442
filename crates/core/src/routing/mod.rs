//! From a request's host and path to a service: the routing side of a configuration.

mod route_rule;
mod route_table;
mod split_wheel;

pub use {
    route_rule::{CallerLimits, RepeatRule, RouteRule, ServiceRule, SplitPart},
    route_table::{RouteTable, TableError},
    split_wheel::SplitWheel,
};
