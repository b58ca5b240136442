//! Version order of routing maps.

use {crate::ids::Epoch, std::fmt};

/// Version of a routing map, ordered by the controller's term and then by a counter within it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct MapVersion {
    /// Term of the controller that published the map.
    pub epoch: Epoch,
    /// Counter within the term.
    pub revision: u64,
}

impl fmt::Display for MapVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}
