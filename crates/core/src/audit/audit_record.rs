//! One audit record.

use {
    sha2::{Digest, Sha256},
    snafu::{OptionExt, Snafu, ensure},
    std::fmt,
};

/// SHA-256 of a record's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub struct RecordHash(pub [u8; 32]);

/// Text that is not a record hash.
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

/// What changed.
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
        /// Version before.
        before: u64,
        /// Version after.
        after: u64,
        /// SHA-256 of the content, in hex.
        content: String,
        /// Orders withdrawn because their server is no longer configured.
        withdrawn: Vec<String>,
    },
    /// An operator's order, such as drain or pin.
    Order {
        /// Version before.
        before: u64,
        /// Version after.
        after: u64,
        /// SHA-256 of the content, which the order leaves as it is.
        content: String,
        /// The order as text.
        order: String,
    },
    /// A controller took over a scope.
    Takeover {
        /// Term before.
        before: u64,
        /// Term after.
        after: u64,
    },
    /// A controller gave up its term.
    Resigned {
        /// The term.
        epoch: u64,
    },
    /// The electors of a scope changed.
    Electors {
        /// New electors.
        electors: Vec<String>,
    },
    /// Shards changed owner, one record for a batch.
    Ownership {
        /// One line a move: shard, old owner, new owner, token, reason.
        moves: Vec<String>,
    },
    /// Requests of operators were refused; one record sums up a period.
    Refused {
        /// Why, with the number of requests.
        reason: String,
    },
    /// An earlier content was applied again.
    Rollback {
        /// Version before.
        before: u64,
        /// Version after.
        after: u64,
        /// SHA-256 of the content, in hex.
        content: String,
        /// Version whose content was applied.
        target: u64,
        /// Orders withdrawn because their server is no longer configured.
        withdrawn: Vec<String>,
    },
    /// An operator changed the log level of a host.
    LevelChanged {
        /// Host.
        host: String,
        /// Level before.
        before: String,
        /// Level after.
        after: String,
    },
    /// An operator confirmed that the old hosts of a scope have stopped.
    LossConfirmed {
        /// Scope.
        scope: String,
        /// Epoch the confirmation is for.
        epoch: u64,
    },
}

/// One audit record.
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
    /// Number in its stream, from 1 without gaps.
    pub number: u64,
    /// Wall-clock time in milliseconds since 1970; for people, never for decisions.
    pub wall_millis: u64,
    /// Operator's key id, or the host that acted.
    pub actor: String,
    /// What changed.
    pub action: AuditAction,
    /// Reason given.
    pub reason: String,
    /// Hash of the record before; zeros for the first.
    pub previous: RecordHash,
}

impl AuditRecord {
    /// Hash over all fields, the previous hash included.
    pub fn hash(&self) -> RecordHash {
        let encoded = bincode::encode_to_vec(self, bincode::config::standard())
            .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
        RecordHash(Sha256::digest(&encoded).into())
    }
}
