//! Configuration of a region, and standing orders of operators.

use {
    super::ServiceConfig,
    crate::ids::{RegionName, ServerId, ServiceName, ZoneName},
};

/// Configuration of a region. It is always applied as a whole.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// Name of the region.
    pub region: RegionName,
    /// Names of the availability zones that servers may be in.
    pub zones: Vec<ZoneName>,
    /// Services of the region.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
}

/// Operator orders that stay in force until they are withdrawn.
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
    /// Drained servers, which receive no new work.
    pub drained: Vec<(ServiceName, ServerId)>,
    /// Pinned keys: the shard of each key stays on the given server.
    pub pins: Vec<(ServiceName, String, ServerId)>,
}
