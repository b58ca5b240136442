//! Messages between a controller and its electors.

use crate::ids::{Epoch, HostId, ServiceName};

/// Asks an elector to support a controller.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct PromiseRequest {
    /// Scope.
    pub service: ServiceName,
    /// Term the controller holds in the platform's scope object.
    pub epoch: Epoch,
    /// The controller.
    pub controller: HostId,
    /// Distinguishes processes that ran under the same host id.
    pub nonce: u64,
    /// Term whose controller resigned in the scope object; its promise no longer counts.
    pub resigned: Option<Epoch>,
}

/// Elector's answer.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PromiseReply {
    /// Promised for `PROMISE_TTL` from now.
    Promised,
    /// Not promised.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// Highest term the elector knows.
        known: Epoch,
    },
}

/// Why an elector refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum RefuseReason {
    /// It knows a higher term.
    HigherEpoch,
    /// It has not read the scope object since it started, or started too recently.
    Abstains,
    /// Its promise to another controller has not lapsed.
    PromisedElsewhere,
    /// The term is held by another process.
    OtherHolder,
}
