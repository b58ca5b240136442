//! Audit records, chained by hash.
//!
//! A record is stored in the same object as the change that it describes, so that every accepted
//! change has its record. Older records are archived as immutable objects.

mod audit_record;
mod chain;

pub use {
    audit_record::{AuditAction, AuditRecord, HashError, RecordHash},
    chain::{ChainAnchor, ChainFault, ChainReport, verify_chain},
};
