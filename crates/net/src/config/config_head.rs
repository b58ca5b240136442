//! Content of `config/head`.

use {
    super::{RepoError, VALUE_LIMIT, repo_error::*},
    crate::platform::{ObjectKey, StoredObject},
    bytes::Bytes,
    camphorcove_core::{
        audit::{AuditRecord, RecordHash},
        conf::OperatorOrders,
        ids::{ConfigVersion, ObjectVersion},
    },
    snafu::ensure,
};

/// Key of the configuration head.
pub const HEAD_KEY: &str = "config/head";

/// Content of `config/head`, stored as JSON.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigHead {
    /// Version; equal to the number of the audit record.
    pub version: ConfigVersion,
    /// SHA-256 of the content, in hex.
    pub content: String,
    /// Hashes of the content's parts, in order.
    pub parts: Vec<String>,
    /// Orders in force.
    pub orders: OperatorOrders,
    /// Record of the change that produced this version.
    pub record: AuditRecord,
}

/// A head with the platform's version of its object.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredHead {
    pub(super) object: ObjectVersion,
    pub(super) head: ConfigHead,
}

impl ConfigHead {
    pub(super) fn key() -> ObjectKey {
        ObjectKey::new(HEAD_KEY)
    }

    /// Encodes the head, refusing one that the platform would not store.
    pub(super) fn encode(&self) -> Result<Bytes, RepoError> {
        let value = serde_json::to_vec(self)
            .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
        let (what, size, limit) = ("the list of orders", value.len(), VALUE_LIMIT);
        ensure!(size <= limit, TooLargeSnafu { what, size, limit });
        Ok(value.into())
    }
}

impl StoredHead {
    pub(super) fn decode(object: &StoredObject) -> Result<Self, RepoError> {
        let damaged = |reason: String| RepoError::Damaged {
            key: HEAD_KEY.into(),
            reason,
        };
        let head: ConfigHead =
            serde_json::from_slice(&object.value).map_err(|error| damaged(error.to_string()))?;
        if head.record.number != head.version.0 {
            return Err(damaged(format!(
                "version {} carries audit record {}",
                head.version, head.record.number
            )));
        }
        Ok(Self {
            object: object.version,
            head,
        })
    }
}

/// Version of a head that may be absent.
pub(super) fn version_of(base: Option<&StoredHead>) -> ConfigVersion {
    base.map_or(ConfigVersion(0), |stored| stored.head.version)
}

/// Hash of the record of a head that may be absent.
pub(super) fn record_hash(base: Option<&StoredHead>) -> RecordHash {
    base.map_or(RecordHash::default(), |stored| stored.head.record.hash())
}
