//! Actions that a scope's machine requests from the daemon.

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
    /// Identifies a write of the scope object; unique within a machine.
    WriteId(u64)
);

/// An action that a scope's machine requests from the daemon.
#[derive(Clone, Debug)]
pub enum ScopeAction {
    /// Read the scope object.
    ReadScope,
    /// Write the scope object if its version is `expected`, or create it if that is `None`.
    WriteScope {
        /// Id that the event with the answer must carry.
        write: WriteId,
        /// Version that the object must still have.
        expected: Option<ObjectVersion>,
        /// Complete new content of the object.
        state: Box<ScopeState>,
    },
    /// Ask an elector (perhaps this host itself) for a promise.
    RequestPromise {
        /// Host to ask.
        elector: HostId,
        /// Message to send to the elector.
        request: PromiseRequest,
    },
    /// Send an order to a server, with `valid_until` converted to the server's clock.
    SendOrder {
        /// Server that receives the order.
        server: ServerId,
        /// Id that the event with the answer must carry.
        order: OrderId,
        /// Grant, renewal or release to send.
        body: ServerOrder,
        /// The server must reject the order after this time.
        valid_until: BootTime,
    },
    /// Publish a map, or extend the validity of the version published last.
    PublishMap {
        /// Map to publish to the hosts.
        map: Arc<RoutingMap>,
        /// End of its validity on this host's clock.
        valid_until: BootTime,
    },
    /// Send the host a [`HandoverOffered`](super::ScopeEvent::HandoverOffered).
    OfferHandover {
        /// Host that should become the next controller.
        host: HostId,
    },
    /// This host is no longer the controller or a candidate.
    SteppedDown,
}
