//! Failures of configuration changes.

use {
    crate::platform::StoreError,
    camphorcove_core::{
        conf::{ChangeFault, Fault},
        ids::ConfigVersion,
    },
    snafu::Snafu,
};

/// Why a configuration could not be read or changed.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RepoError {
    /// The file has faults; nothing changed.
    #[snafu(display("the file has {} faults", faults.len()))]
    Invalid {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The file is valid, but the change is not allowed; nothing changed.
    #[snafu(display("the change breaks {} rules", faults.len()))]
    Forbidden {
        /// All broken rules.
        faults: Vec<ChangeFault>,
    },
    /// Another version than the expected one is in force; nothing changed.
    #[snafu(display("version {current} is in force, not the expected version {expected}"))]
    VersionMismatch {
        /// Version the caller expected.
        expected: ConfigVersion,
        /// Version in force; 0 means none.
        current: ConfigVersion,
    },
    /// Other operators changed the configuration each time; nothing changed.
    #[snafu(display("other changes came first {attempts} times; nothing changed"))]
    Contended {
        /// Attempts made.
        attempts: u32,
    },
    /// The content or the orders are too large; nothing changed.
    #[snafu(display("{what} has {size} bytes, more than the limit of {limit}"))]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Its size.
        size: usize,
        /// The limit.
        limit: usize,
    },
    /// The service, server, key or version is not known; nothing changed.
    #[snafu(display("{what} {name:?} is not known"))]
    NotFound {
        /// Kind of the thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// Another key of the shard is pinned to another server; nothing changed.
    #[snafu(display("key {other:?} is in the same shard and pinned to server {server}"))]
    PinClash {
        /// The other key.
        other: String,
        /// Its server.
        server: String,
    },
    /// A stored object is damaged.
    #[snafu(display("object {key} is damaged: {reason}"))]
    Damaged {
        /// Object.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// The platform failed; nothing changed.
    #[snafu(display("nothing changed: {source}"), context(false))]
    Store {
        /// Platform's failure.
        source: StoreError,
    },
    /// The platform did not answer and the outcome could not be read back.
    #[snafu(display(
        "the change to version {version} may or may not have taken effect: {source}; repeating it is safe"
    ))]
    OutcomeUnknown {
        /// Version the change would have.
        version: ConfigVersion,
        /// Platform's failure.
        source: StoreError,
    },
}
