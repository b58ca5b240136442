//! The platform's object API, as a trait with its data types.

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
    /// Creates a key; the text is not validated.
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

/// Precondition of a write, checked by the platform atomically with the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// The object must not exist.
    Absent,
    /// The object must exist with this version.
    Version(ObjectVersion),
}

/// Content of an object at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version to name in the condition of the next write.
    pub version: ObjectVersion,
    /// Content, opaque to the platform.
    pub value: Bytes,
}

/// A change reported by a watch.
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
    /// Position to pass to the next watch call.
    pub position: u64,
    /// Changes after the position passed in; empty if none came within the wait.
    pub events: Vec<WatchEvent>,
}

/// Entry of the platform's host list. The list may lag behind the hosts' actual state.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedHost {
    /// Id of the host.
    pub id: HostId,
    /// Address of the host's peer port.
    pub peer: std::net::SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// The platform's object API. Implementations enforce their own timeouts.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn get(
        &self,
        key: &ObjectKey,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes an object if the condition holds and returns its new version.
    ///
    /// [`StoreError::Unknown`] means that the write may still take effect.
    fn put(
        &self,
        key: &ObjectKey,
        condition: PutCondition,
        value: Bytes,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Lists the keys with a prefix and their versions, in key order.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(ObjectKey, ObjectVersion)>, StoreError>> + Send;

    /// Waits up to `wait` for changes after `position` to objects whose keys have the prefix.
    fn watch(
        &self,
        prefix: &str,
        position: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Reads the platform's list of the region's hosts, leaving hosts included.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, StoreError>> + Send;
}
