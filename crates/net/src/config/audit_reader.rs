//! Reads audit streams: archived records and those in the mutable object.

use {
    super::{
        ConfigHead, RepoError,
        archive::{archive_key, decode_record},
        audit_stream::{OPERATOR_STREAM, stream_key},
        config_head::StoredHead,
        head_update::CONFIG_STREAM,
        repo_error::*,
    },
    crate::platform::{ObjectKey, ObjectStore},
    camphorcove_core::{
        audit::{AuditRecord, ChainAnchor, ChainReport, verify_chain},
        scope::ScopeState,
    },
    futures_util::{StreamExt, TryStreamExt, stream},
    snafu::OptionExt,
    std::collections::{BTreeMap, BTreeSet},
};

/// Archived records read at once; keeps the platform's read rate moderate.
const READ_PARALLEL: usize = 8;

/// Reads audit streams from a platform.
#[derive(Clone, Debug)]
pub struct AuditReader<S> {
    store: S,
}

impl<S: ObjectStore> AuditReader<S> {
    /// Reader of a platform.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Names of all streams.
    pub async fn streams(&self) -> Result<Vec<String>, RepoError> {
        let mut names = BTreeSet::new();
        if self.store.get(&ConfigHead::key()).await?.is_some() {
            names.insert(CONFIG_STREAM.to_owned());
        }
        if self.store.get(&stream_key()).await?.is_some() {
            names.insert(OPERATOR_STREAM.to_owned());
        }
        for (key, _) in self.store.list("scope/").await? {
            names.insert(key.as_str().to_owned());
        }
        for (key, _) in self.store.list("audit/").await? {
            if let Some((stream, _)) = split_key(key.as_str()) {
                names.insert(stream.to_owned());
            }
        }
        Ok(names.into_iter().collect())
    }

    /// Records of a stream with numbers in `from..`, at most `limit`, in order.
    ///
    /// Missing archived records are left out here and found by [`Self::verify`].
    pub async fn read(
        &self,
        name: &str,
        from: u64,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, RepoError> {
        // The mutable object is read first: a record that leaves it afterwards
        // has been archived before.
        let current = self.current(name).await?;
        let archived = self.archived_numbers(name).await?;
        let mut records: BTreeMap<u64, Option<AuditRecord>> =
            archived.into_iter().map(|number| (number, None)).collect();
        for record in current {
            records.insert(record.number, Some(record));
        }
        let (what, found) = ("audit stream", !records.is_empty());
        found.then_some(()).context(NotFoundSnafu { what, name })?;
        let wanted = records.into_iter().filter(|(number, _)| *number >= from);
        let reads = wanted.take(limit).map(|(number, record)| async move {
            match record {
                Some(record) => Ok(record),
                None => self.archived(name, number).await,
            }
        });
        stream::iter(reads)
            .buffered(READ_PARALLEL)
            .try_collect()
            .await
    }

    /// Verifies a whole stream. `anchors` are numbers and hashes noted earlier.
    pub async fn verify(
        &self,
        name: &str,
        anchors: &[ChainAnchor],
    ) -> Result<ChainReport, RepoError> {
        let records = self.read(name, 1, usize::MAX).await?;
        Ok(verify_chain(&records, anchors))
    }

    /// Numbers of the archived records of a stream.
    async fn archived_numbers(&self, name: &str) -> Result<Vec<u64>, RepoError> {
        let keys = self.store.list(&format!("audit/{name}/")).await?;
        let numbers = keys.iter().filter_map(|(key, _)| {
            let (stream, number) = split_key(key.as_str())?;
            (stream == name).then_some(number)
        });
        Ok(numbers.collect())
    }

    async fn archived(&self, name: &str, number: u64) -> Result<AuditRecord, RepoError> {
        let key = archive_key(name, number);
        let stored = self.store.get(&key).await?;
        let record = stored.and_then(|stored| decode_record(&stored.value));
        let record = record.filter(|record| record.number == number);
        record.context(DamagedSnafu {
            key: key.to_string(),
            reason: "the archived audit record is missing, unreadable or has another number",
        })
    }

    /// Records in the mutable object of a stream.
    async fn current(&self, name: &str) -> Result<Vec<AuditRecord>, RepoError> {
        let key = match name {
            CONFIG_STREAM => ConfigHead::key(),
            OPERATOR_STREAM => stream_key(),
            scope => ObjectKey::new(scope),
        };
        if key.as_str() == name && !name.starts_with("scope/") {
            return Ok(Vec::new());
        }
        let Some(object) = self.store.get(&key).await? else {
            return Ok(Vec::new());
        };
        let records = match name {
            CONFIG_STREAM => Some(vec![StoredHead::decode(&object)?.head.record]),
            OPERATOR_STREAM => decode_record(&object.value).map(|record| vec![record]),
            _ => decode_scope(&object.value).map(|scope| scope.records),
        };
        records.context(DamagedSnafu {
            key: key.to_string(),
            reason: "the object is unreadable",
        })
    }
}

/// Stream and number of an archived record's key.
fn split_key(key: &str) -> Option<(&str, u64)> {
    let (stream, number) = key.strip_prefix("audit/")?.rsplit_once('/')?;
    Some((stream, number.parse().ok()?))
}

/// Decodes a scope object, bincode or JSON.
fn decode_scope(value: &[u8]) -> Option<ScopeState> {
    if let Ok(scope) = serde_json::from_slice(value) {
        return Some(scope);
    }
    let decoded = bincode::decode_from_slice(value, bincode::config::standard());
    let (scope, length) = decoded.ok()?;
    (length == value.len()).then_some(scope)
}
