//! Messages between a controller and its electors.

use crate::ids::{Epoch, HostId, ServiceName};

/// Asks an elector to support a controller.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct PromiseRequest {
    /// Service whose scope the request is for.
    pub service: ServiceName,
    /// Term that the scope object assigns to the controller.
    pub epoch: Epoch,
    /// Host that asks for the promise.
    pub controller: HostId,
    /// Distinguishes the processes that have run under the same host id.
    pub nonce: u64,
    /// Term whose controller resigned in the scope object; a promise to it is no longer binding.
    pub resigned: Option<Epoch>,
}

/// An elector's answer to a [`PromiseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PromiseReply {
    /// The elector supports no other controller for `PROMISE_TTL`.
    Promised,
    /// The elector gave no promise.
    Refused {
        /// Rule that forbids the promise.
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
    /// It has not read the scope object since it started, or started so recently that a promise
    /// of its previous process may still be binding.
    Abstains,
    /// Its promise to another controller has not expired.
    PromisedElsewhere,
    /// Another process holds the term.
    OtherHolder,
}
