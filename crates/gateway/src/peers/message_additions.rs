//! Facts in reports and digests that builds up to e2bad10 do not know.

use {
    crate::state::{SharedLimit, WarmupReport},
    bincode::{Decode, Encode},
    camphorcove_core::{
        dispatch::{KeyShare, ServiceDemand, ZoneTransfer},
        fleet::EvacuationList,
        ids::ZoneName,
    },
};

/// Addition to a [`Report`](super::Report).
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ReportAddition {
    /// Availability zone of the host.
    pub zone: Option<ZoneName>,
    /// Zones to be emptied, if the host knows a newer list than the leader's digests show.
    pub evacuations: Option<EvacuationList>,
    /// Requests for cold servers since the last report.
    pub warmups: Vec<WarmupReport>,
    /// Requests by service since the last report.
    pub demand: Vec<ServiceDemand>,
}

/// Addition to a [`Digest`](super::Digest).
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DigestAddition {
    /// Zones to be emptied; `None` if the leader does not follow them.
    pub evacuations: Option<EvacuationList>,
    /// Cold servers, and what all hosts may send them.
    pub warmups: Vec<SharedLimit>,
    /// Keys whose requests are more than their owners can take.
    pub key_shares: Vec<KeyShare>,
    /// Requests that leave their availability zone.
    pub transfers: Vec<ZoneTransfer>,
}
