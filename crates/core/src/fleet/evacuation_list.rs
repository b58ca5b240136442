//! Availability zones that are to be emptied.

use {
    crate::ids::{StoreVersion, ZoneName},
    bincode::{Decode, Encode},
    std::collections::BTreeSet,
};

/// All zones whose servers are to get nothing, as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationList {
    /// Version of the newest change; a list with a newer version replaces this one.
    pub version: StoreVersion,
    /// Zones.
    pub zones: BTreeSet<ZoneName>,
}
