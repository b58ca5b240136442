//! Audit records, chained by hash.
//!
//! A record travels inside the object whose change it describes, so that no
//! accepted change exists without its record. Older records are archived as
//! immutable objects.

mod audit_record;
mod chain;

pub use {
    audit_record::{AuditAction, AuditRecord, HashError, RecordHash},
    chain::{ChainAnchor, ChainFault, ChainReport, verify_chain},
};
