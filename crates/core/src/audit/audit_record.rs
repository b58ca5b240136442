//! Audit records and their hashes.

use {
    sha2::{Digest, Sha256},
    snafu::{OptionExt, Snafu, ensure},
    std::fmt,
};

/// SHA-256 hash of a record's bincode encoding, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub struct RecordHash(pub [u8; 32]);

/// Error for a text that is not a record hash.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected a hash of 64 hexadecimal digits"))]
pub struct HashError;

impl std::str::FromStr for RecordHash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        ensure!(text.len() == 64 && digits, HashSnafu);
        let mut hash = Self::default();
        for (byte, index) in hash.0.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&text[index..index + 2], 16)
                .ok()
                .context(HashSnafu)?;
        }
        Ok(hash)
    }
}

impl serde::Serialize for RecordHash {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for RecordHash {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl fmt::Display for RecordHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Action that an audit record describes.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AuditAction {
    /// A configuration was applied.
    Apply {
        /// Configuration version before.
        before: u64,
        /// Configuration version after.
        after: u64,
        /// SHA-256 of the configuration that was applied, in hex.
        content: String,
        /// Orders withdrawn because their server is no longer configured.
        withdrawn: Vec<String>,
    },
    /// An operator gave or withdrew an order, such as drain or pin.
    Order {
        /// Configuration version before.
        before: u64,
        /// Configuration version after.
        after: u64,
        /// SHA-256 of the configuration in hex; an order does not change it.
        content: String,
        /// Text of the order.
        order: String,
    },
    /// A controller took over the control of a scope.
    Takeover {
        /// Term of the previous controller.
        before: u64,
        /// Term of the new controller.
        after: u64,
    },
    /// A controller resigned from its term.
    Resigned {
        /// Term that the controller resigned from.
        epoch: u64,
    },
    /// The electors of a scope changed.
    Electors {
        /// Names of the new electors.
        electors: Vec<String>,
    },
    /// Shards changed owner. One record covers all changes that are made at once.
    Ownership {
        /// One line for all shards with the same change: shard ranges, old owner, new owner,
        /// fencing token and reason.
        moves: Vec<String>,
    },
    /// Operator requests were refused. One record can sum up the refusals of a period.
    Refused {
        /// Reasons for the refusals, with the number of requests if the record covers several.
        reason: String,
    },
    /// An earlier configuration was applied again.
    Rollback {
        /// Configuration version before.
        before: u64,
        /// Configuration version after.
        after: u64,
        /// SHA-256 of the configuration that was applied, in hex.
        content: String,
        /// Version that was applied again.
        target: u64,
        /// Orders withdrawn because their server is no longer configured.
        withdrawn: Vec<String>,
    },
    /// An operator changed the log level of a host.
    LevelChanged {
        /// Host whose log level changed.
        host: String,
        /// Level before.
        before: String,
        /// Level after.
        after: String,
    },
    /// An operator confirmed that the old hosts of a scope have stopped.
    LossConfirmed {
        /// Scope whose loss was confirmed.
        scope: String,
        /// Epoch that the confirmation applies to.
        epoch: u64,
    },
}

/// A record of one change, linked to the record before it by hash.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct AuditRecord {
    /// Sequence number within the audit stream, from 1 without gaps.
    pub number: u64,
    /// Unix time in milliseconds. For readers only; no decision depends on it.
    pub wall_millis: u64,
    /// Key id of the operator, or name of the host, that made the change.
    pub actor: String,
    /// The change that was made.
    pub action: AuditAction,
    /// Reason given for the change.
    pub reason: String,
    /// Hash of the preceding record; all zeros for the first one.
    pub previous: RecordHash,
}

impl AuditRecord {
    /// Computes the hash over all fields, including [`Self::previous`].
    pub fn hash(&self) -> RecordHash {
        let encoded = bincode::encode_to_vec(self, bincode::config::standard())
            .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
        RecordHash(Sha256::digest(&encoded).into())
    }
}
