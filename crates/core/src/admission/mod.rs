//! Admission to one server: slots, a bounded queue and deadlines.

mod admission_queue;
mod queue_order;

pub use {
    admission_queue::{
        AdmissionDecision, AdmissionLimits, AdmissionQueue, QueueStep, QueuedRequest,
    },
    queue_order::QueueOrder,
};
