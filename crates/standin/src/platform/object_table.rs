//! Versioned objects in memory.

use {bytes::Bytes, camphorcove_net::platform::wire::KeyVersion, std::collections::BTreeMap};

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Objects by key. All writes share one counter, so that the version of an object
/// is also its position in the sequence of changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ObjectTable {
    objects: BTreeMap<String, (u64, Bytes)>,
    position: u64,
}

impl ObjectTable {
    /// Number of the latest write.
    pub fn position(&self) -> u64 {
        self.position
    }

    pub fn get(&self, key: &str) -> Option<&(u64, Bytes)> {
        self.objects.get(key)
    }

    /// Writes an object and returns its version. If the condition does not hold, the
    /// error is the current version, `None` if the object does not exist.
    pub fn put(
        &mut self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<u64, Option<u64>> {
        let current = self.get(key).map(|(version, _)| *version);
        let expected = match condition {
            WriteCondition::Absent => None,
            WriteCondition::Version(version) => Some(version),
        };
        if current != expected {
            return Err(current);
        }
        self.position += 1;
        self.objects.insert(key.into(), (self.position, value));
        Ok(self.position)
    }

    /// Keys with a prefix that were written after `position`, in key order.
    pub fn list(&self, prefix: &str, position: u64) -> Vec<KeyVersion> {
        let mut entries = Vec::new();
        for (key, (version, _)) in self.objects.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if *version > position {
                entries.push((key.clone(), *version));
            }
        }
        entries
    }
}
