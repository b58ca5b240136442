//! Errors of reading and changing the configuration.

use {
    crate::platform::StoreError,
    camphorcove_core::{
        conf::{ChangeFault, Fault},
        ids::ConfigVersion,
    },
    snafu::Snafu,
};

/// Error of reading or changing the configuration or the audit records.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RepoError {
    /// The configuration file is invalid; nothing changed.
    #[snafu(display("the file has {} faults", faults.len()))]
    Invalid {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The configuration is valid, but a rule forbids the change from the version in
    /// force; nothing changed.
    #[snafu(display("the change breaks {} rules", faults.len()))]
    Forbidden {
        /// All broken rules.
        faults: Vec<ChangeFault>,
    },
    /// The version in force is not the expected one; nothing changed.
    #[snafu(display("version {current} is in force, not the expected version {expected}"))]
    VersionMismatch {
        /// Version that the request expected to be in force.
        expected: ConfigVersion,
        /// Version in force; 0 means none.
        current: ConfigVersion,
    },
    /// A concurrent change took effect first at each attempt; nothing changed.
    #[snafu(display("other changes came first {attempts} times; nothing changed"))]
    Contended {
        /// Number of attempts.
        attempts: u32,
    },
    /// The content, the list of orders or a key is too large; nothing changed.
    #[snafu(display("{what} has {size} bytes, more than the limit of {limit}"))]
    TooLarge {
        /// Name of the value, for the message.
        what: &'static str,
        /// Size of the value, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// There is no such service, server, version or audit stream; nothing changed.
    #[snafu(display("{what} {name:?} is not known"))]
    NotFound {
        /// Kind of object that was looked up, such as "server".
        what: &'static str,
        /// Name that was looked up.
        name: String,
    },
    /// Another key of the same shard is pinned to another server; nothing changed.
    #[snafu(display("key {other:?} is in the same shard and pinned to server {server}"))]
    PinClash {
        /// Key that is already pinned.
        other: String,
        /// Server to which that key is pinned.
        server: String,
    },
    /// A stored object is missing, unreadable or has unexpected content.
    #[snafu(display("object {key} is damaged: {reason}"))]
    Damaged {
        /// Storage key of the object.
        key: String,
        /// Description of the damage.
        reason: String,
    },
    /// The object store failed or refused a request; nothing changed.
    #[snafu(display("nothing changed: {source}"), context(false))]
    Store {
        /// Error of the object store.
        source: StoreError,
    },
    /// The response to the update of the head was lost, and reading the head back did
    /// not show whether the update took effect.
    #[snafu(display(
        "the change to version {version} may or may not have taken effect: {source}; repeating it is safe"
    ))]
    OutcomeUnknown {
        /// Version that the change would produce.
        version: ConfigVersion,
        /// Error of the object store at the last attempt.
        source: StoreError,
    },
}
