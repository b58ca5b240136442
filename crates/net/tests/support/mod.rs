//! An in-memory platform with scripted failures, and a sample configuration.

use {
    bytes::Bytes,
    camphorcove_core::ids::ObjectVersion,
    camphorcove_net::platform::{
        ListedHost, ObjectKey, ObjectStore, PutCondition, StoreError, StoredObject, WatchResult,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Outcome of a write, as scripted by a test.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Takes effect, and its response arrives.
    Normal,
    /// Takes effect, but its response is lost.
    AnswerLost,
    /// The request is lost: the write does not take effect, and no response arrives.
    RequestLost,
    /// The platform refuses the write because of an outage.
    Outage,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<ObjectKey, StoredObject>,
    version: u64,
    write_outcomes: VecDeque<(String, WriteOutcome)>,
    writes: Vec<String>,
}

/// An in-memory platform. Clones share its objects.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
}

#[allow(dead_code)]
impl MemoryStore {
    /// Sets the outcome of the next write to a key with this prefix. Outcomes set for the
    /// same prefix apply to its writes in order.
    pub fn set_outcome(&self, prefix: &str, write_outcome: WriteOutcome) {
        let mut inner = self.inner.lock().unwrap();
        inner
            .write_outcomes
            .push_back((prefix.into(), write_outcome));
    }

    /// Keys of all attempted writes, in order, failed ones included.
    pub fn writes(&self) -> Vec<String> {
        self.inner.lock().unwrap().writes.clone()
    }

    /// Replaces an object without a condition, as another writer would.
    pub fn overwrite(&self, key: &str, value: impl Into<Bytes>) {
        let mut inner = self.inner.lock().unwrap();
        inner.version += 1;
        let version = ObjectVersion(inner.version);
        let value = value.into();
        let object = StoredObject { version, value };
        inner.objects.insert(ObjectKey::new(key), object);
    }

    /// Removes an object directly; the object API has no removal.
    pub fn remove(&self, key: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.objects.remove(&ObjectKey::new(key));
    }

    /// Keys and sizes of all objects.
    pub fn sizes(&self) -> Vec<(String, usize)> {
        let inner = self.inner.lock().unwrap();
        let sizes = inner.objects.iter();
        sizes
            .map(|(key, object)| (key.to_string(), object.value.len()))
            .collect()
    }
}

impl Inner {
    fn write(
        &mut self,
        key: &ObjectKey,
        condition: PutCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError> {
        let current = self.objects.get(key).map(|object| object.version);
        let holds = match condition {
            PutCondition::Absent => current.is_none(),
            PutCondition::Version(version) => current == Some(version),
        };
        if !holds {
            let key = key.to_string();
            return Err(StoreError::Conflict { key, current });
        }
        if value.len() > 1_000_000 {
            let reason = "value too large".into();
            return Err(StoreError::Rejected { reason });
        }
        self.version += 1;
        let version = ObjectVersion(self.version);
        self.objects
            .insert(key.clone(), StoredObject { version, value });
        Ok(version)
    }

    fn next_outcome(&mut self, key: &ObjectKey) -> WriteOutcome {
        let matching = |(prefix, _): &(String, WriteOutcome)| key.as_str().starts_with(prefix);
        let index = self.write_outcomes.iter().position(matching);
        index
            .and_then(|index| self.write_outcomes.remove(index))
            .map_or(WriteOutcome::Normal, |(_, write_outcome)| write_outcome)
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        tokio::task::yield_now().await;
        Ok(self.inner.lock().unwrap().objects.get(key).cloned())
    }

    async fn put(
        &self,
        key: &ObjectKey,
        condition: PutCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner.lock().unwrap();
        inner.writes.push(key.to_string());
        let reason = "scripted".to_owned();
        match inner.next_outcome(key) {
            WriteOutcome::Normal => inner.write(key, condition, value),
            WriteOutcome::AnswerLost => {
                let _ = inner.write(key, condition, value);
                Err(StoreError::Unknown { reason })
            }
            WriteOutcome::RequestLost => Err(StoreError::Unknown { reason }),
            WriteOutcome::Outage => Err(StoreError::Unavailable { reason }),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(ObjectKey, ObjectVersion)>, StoreError> {
        tokio::task::yield_now().await;
        let inner = self.inner.lock().unwrap();
        let matching = inner.objects.iter();
        let matching = matching.filter(|(key, _)| key.as_str().starts_with(prefix));
        Ok(matching
            .map(|(key, object)| (key.clone(), object.version))
            .collect())
    }

    async fn watch(&self, _: &str, position: u64, _: Duration) -> Result<WatchResult, StoreError> {
        let events = Vec::new();
        Ok(WatchResult { position, events })
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(Vec::new())
    }
}

/// A valid region file. A different `weight` gives a different content.
#[allow(dead_code)]
pub fn region_text(weight: u32) -> String {
    format!(
        r#"region = "stockholm"
zones = ["a", "b"]

[[services]]
name = "ledig"
path_prefix = "/ledig"
key = {{ from = "path", segment = 1 }}
shards = 64

[[services.servers]]
id = "l1"
address = "127.0.0.1:7101"
zone = "a"
weight = {weight}
slots = 3
connections = 120

[[services.servers]]
id = "l2"
address = "127.0.0.1:7102"
zone = "b"
slots = 3
connections = 120
"#
    )
}
