//! A region's whole configuration.

use {
    super::ServiceConfig,
    crate::ids::{RegionName, ServerId, ServiceName, ZoneName},
};

/// A region's whole configuration, applied as one.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// Region.
    pub region: RegionName,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Services.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
}

/// Orders of operators that stay in force until they are withdrawn.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct OperatorOrders {
    /// Servers that take no new work.
    pub drained: Vec<(ServiceName, ServerId)>,
    /// Keys whose shard is held at a server.
    pub pins: Vec<(ServiceName, String, ServerId)>,
}
