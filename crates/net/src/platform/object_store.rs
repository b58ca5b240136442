//! The object API as the router uses it.

use {
    super::StoreError,
    bytes::Bytes,
    camphorcove_core::ids::{HostId, ObjectVersion, ZoneName},
    std::{fmt, future::Future, sync::Arc, time::Duration},
};

/// Key of a platform object: path segments separated by `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey(Arc<str>);

impl ObjectKey {
    /// Key from its text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(text.as_ref().into())
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(ObjectVersion),
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version.
    pub version: ObjectVersion,
    /// Content.
    pub value: Bytes,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Changed object.
    pub key: ObjectKey,
    /// Its new version.
    pub version: ObjectVersion,
}

/// Result of a watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchResult {
    /// Position to watch from next.
    pub position: u64,
    /// Changes since the given position; empty after the wait ended.
    pub events: Vec<WatchEvent>,
}

/// A host on the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedHost {
    /// Host.
    pub id: HostId,
    /// Address of its peer port.
    pub peer: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The platform is about to take it away.
    pub leaving: bool,
}

/// The platform's object API. Calls time out by themselves.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn get(
        &self,
        key: &ObjectKey,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes an object if the condition holds.
    fn put(
        &self,
        key: &ObjectKey,
        condition: PutCondition,
        value: Bytes,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Lists keys with a prefix, in order.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(ObjectKey, ObjectVersion)>, StoreError>> + Send;

    /// Waits up to `wait` for changes of keys with a prefix after `position`.
    fn watch(
        &self,
        prefix: &str,
        position: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Reads the list of the region's live and leaving hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, StoreError>> + Send;
}
