//! Configuration of a region: its services and servers, read from a TOML file and validated.

mod change_rule;
mod config_diff;
mod cross_check;
mod fault;
mod fault_sink;
mod region_config;
mod region_reader;
mod route;
mod service_config;
mod service_reader;
mod setting_info;
mod span;
mod table_reader;

pub use {
    change_rule::{ChangeFault, check_change, check_stored_scope},
    config_diff::diff,
    fault::{Fault, FaultKind, nearest_name},
    region_config::{OperatorOrders, RegionConfig},
    region_reader::{parse, parse_stored, render},
    service_config::{
        DedupMode, FencingMode, KeySource, PlacementGoal, RequestClass, RequestLimits, RoutingMode,
        ServerConfig, ServiceConfig,
    },
    setting_info::{METHODS, SETTINGS, SettingInfo, SettingKind, SettingTable},
    span::{SpanError, TimeSpan},
};
