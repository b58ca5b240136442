//! Actions a scope's machine asks for.

use {
    super::{OrderId, ServerOrder},
    crate::{
        election::PromiseRequest,
        ids::{HostId, ObjectVersion, ServerId},
        map::RoutingMap,
        scope::ScopeState,
        time::BootTime,
    },
    std::sync::Arc,
};

value_type!(
    /// Number of a write, unique in a machine's life.
    WriteId(u64)
);

/// An action a scope's machine asks for.
#[derive(Clone, Debug)]
pub enum ScopeAction {
    /// Read the scope object.
    ReadScope,
    /// Write the scope object if its version is `expected` (`None`: if absent).
    WriteScope {
        /// Echoed in the answer.
        write: WriteId,
        /// Version the object must have.
        expected: Option<ObjectVersion>,
        /// New content.
        state: Box<ScopeState>,
    },
    /// Ask an elector (perhaps this host itself) for a promise.
    AskPromise {
        /// Elector.
        elector: HostId,
        /// Question.
        request: PromiseRequest,
    },
    /// Send an order to a server, with a deadline converted to the server's clock.
    SendOrder {
        /// Server.
        server: ServerId,
        /// Echoed in the answer.
        order: OrderId,
        /// The order.
        body: ServerOrder,
        /// The server must drop the order after this time.
        valid_until: BootTime,
    },
    /// Publish a map, or prolong the validity of the same version.
    PublishMap {
        /// The map.
        map: Arc<RoutingMap>,
        /// End of its validity on this host's clock.
        valid_until: BootTime,
    },
    /// Send the host a [`HandoverOffered`](super::ScopeEvent::HandoverOffered).
    OfferHandover {
        /// Proposed successor.
        host: HostId,
    },
    /// This host is no longer the controller.
    SteppedDown,
}
