//! The configuration head: the object that names the version in force.

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

/// Storage key of the configuration head.
pub const HEAD_KEY: &str = "config/head";

/// Value of `config/head`, stored as JSON: the version in force, the hash of its
/// content, the orders in force and the audit record of the last change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigHead {
    /// Configuration version; always equal to the number of `record`.
    pub version: ConfigVersion,
    /// SHA-256 of the configuration content, in hex.
    pub content: String,
    /// SHA-256 hashes of the parts into which the content is split, in order.
    pub parts: Vec<String>,
    /// Operators' orders in force.
    pub orders: OperatorOrders,
    /// Record of the change that produced this version.
    pub record: AuditRecord,
}

/// A head with the version of its object, which makes an update conditional.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredHead {
    pub(super) object_version: ObjectVersion,
    pub(super) head: ConfigHead,
}

impl ConfigHead {
    pub(super) fn key() -> ObjectKey {
        ObjectKey::new(HEAD_KEY)
    }

    /// Encodes the head; fails if it exceeds the value limit of the platform.
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
            object_version: object.version,
            head,
        })
    }
}

/// Version of the head; 0 if there is none yet.
pub(super) fn version_of(base: Option<&StoredHead>) -> ConfigVersion {
    base.map_or(ConfigVersion(0), |stored| stored.head.version)
}

/// Hash of the head's audit record; the default hash if there is no head yet.
pub(super) fn record_hash(base: Option<&StoredHead>) -> RecordHash {
    base.map_or(RecordHash::default(), |stored| stored.head.record.hash())
}
