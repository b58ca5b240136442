//! Configuration storage in the platform's object store, and the audit records.
//!
//! `config/head` is the only mutable object of the configuration. It refers to the
//! content by hash and contains the audit record of the change that produced it, so
//! one conditional update commits a change together with its record. The content
//! and the earlier records are immutable objects.

mod archive;
mod audit_reader;
mod author;
mod change_plan;
mod config_head;
mod config_repo;
mod content;
mod head_update;
mod operator_stream;
mod order;
mod repo_error;
mod run_blocking;

pub use {
    archive::{archive_key, archive_record, decode_record, encode_record},
    audit_reader::{AuditPage, AuditReader},
    author::Author,
    config_head::{ConfigHead, HEAD_KEY},
    config_repo::{ChangeOutcome, ConfigRepo},
    content::{CONTENT_LIMIT, content_hash},
    operator_stream::{OPERATOR_STREAM, append_operator_record},
    order::OperatorOrder,
    repo_error::RepoError,
    run_blocking::run_blocking,
};

/// Maximum size of a value written to the platform, in bytes. The platform's limit
/// is 1 MB; the difference is a margin for the platform's own framing.
pub const VALUE_LIMIT: usize = 960_000;
