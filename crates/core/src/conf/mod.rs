//! The declarative file of a region: services, servers and rules.

mod region_config;
mod service_config;
mod span;

pub use {
    region_config::{OperatorOrders, RegionConfig},
    service_config::{
        DedupMode, FencingMode, KeySource, PlacementGoal, RequestClass, RequestLimits, RoutingMode,
        ServerConfig, ServiceConfig,
    },
    span::{SpanError, TimeSpan},
};
