//! Requests that leave the availability zone in which they arrive.

use {
    super::AdmittedShare,
    crate::ids::{ServiceName, ZoneName},
    bincode::{Decode, Encode},
};

/// Requests for a service that one host has had since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceDemand {
    /// Service.
    pub service: ServiceName,
    /// Number of requests, refused ones included.
    pub requests: u32,
}

/// Share of a zone's requests for a service that goes to servers of another zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneTransfer {
    /// Service.
    pub service: ServiceName,
    /// Zone in which the requests arrive.
    pub from: ZoneName,
    /// Zone whose servers get them.
    pub to: ZoneName,
    /// Share of the requests.
    pub share: AdmittedShare,
}
