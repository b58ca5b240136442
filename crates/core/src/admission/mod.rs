//! Admission to one server: slots, a bounded queue and deadlines.

mod queue_order;
mod server_gate;

pub use {
    queue_order::QueueOrder,
    server_gate::{GateLimits, GateOffer, GateTurn, GateWaiter, ServerGate},
};
