//! Admission control for one server: running slots, a bounded queue and deadline checks.

mod admission_queue;
mod queue_order;

pub use {
    admission_queue::{
        AdmissionDecision, AdmissionLimits, AdmissionQueue, QueueStep, QueuedRequest,
    },
    queue_order::QueueOrder,
};
