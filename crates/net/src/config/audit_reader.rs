//! Reads and verifies audit streams.
//!
//! The newest records of a stream are part of a mutable object; older ones are
//! archived as one immutable object each. There is one stream for configuration
//! changes, one for other operator actions, and one for each scope (the shard
//! ownership of one service), named after the service. The names of the first two
//! are reserved, so no service can have them.

use {
    super::{
        ConfigHead, RepoError,
        archive::{archive_key, decode_record},
        config_head::StoredHead,
        head_update::CONFIG_STREAM,
        operator_stream::{OPERATOR_STREAM, operator_stream_key},
        repo_error::*,
    },
    crate::platform::{ObjectKey, ObjectStore},
    camphorcove_core::{
        audit::{AuditRecord, ChainAnchor, ChainReport, verify_chain},
        ids::ServiceName,
        scope::ScopeState,
    },
    futures_util::{StreamExt, TryStreamExt, stream},
    snafu::{OptionExt, ensure},
    std::collections::BTreeSet,
};

/// Number of archived records read concurrently; limits the read rate on the platform.
const READ_CONCURRENCY: usize = 8;

/// Highest record number that is accepted, so that a forged number cannot make a
/// read endless. At 1,500 changes a day it is reached after several centuries.
const MAX_RECORD_NUMBER: u64 = 1_000_000_000;

/// Consecutive records of an audit stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AuditPage {
    /// Records in ascending order of their numbers.
    pub records: Vec<AuditRecord>,
    /// Number with which the next read starts; `None` at the end of the stream.
    pub next: Option<u64>,
}

/// Reads audit streams from the platform's object store.
#[derive(Clone, Debug)]
pub struct AuditReader<S> {
    store: S,
}

impl<S: ObjectStore> AuditReader<S> {
    /// Creates a reader of the streams in `store`.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Returns the names of all streams in alphabetical order.
    pub async fn streams(&self) -> Result<Vec<String>, RepoError> {
        let mut names = BTreeSet::new();
        if self.store.get(&ConfigHead::key()).await?.is_some() {
            names.insert(CONFIG_STREAM.to_owned());
        }
        if self.store.get(&operator_stream_key()).await?.is_some() {
            names.insert(OPERATOR_STREAM.to_owned());
        }
        for (key, _) in self.store.list(SCOPE_PREFIX).await? {
            names.extend(key.as_str().strip_prefix(SCOPE_PREFIX).map(str::to_owned));
        }
        for (key, _) in self.store.list("audit/").await? {
            if let Some((stream, _)) = parse_archive_key(key.as_str()) {
                names.insert(stream.to_owned());
            }
        }
        Ok(names.into_iter().collect())
    }

    /// Reads the records of a stream with the numbers `from` to `from + count - 1`.
    ///
    /// Records that are missing in the archive are skipped; [`Self::verify`]
    /// reports them.
    pub async fn read(&self, name: &str, from: u64, count: u64) -> Result<AuditPage, RepoError> {
        // The mutable object is read before the archive: a record is archived
        // before it is removed from the mutable object, so no record is missed.
        let current = self.current_records(name).await?;
        let last = match current.last() {
            Some(record) => record.number,
            None => self.last_archived_number(name).await?,
        };
        let (what, found) = ("audit stream", last > 0);
        ensure!(found, NotFoundSnafu { what, name });
        let (key, reason) = (name, "the number of the last record cannot be right");
        ensure!(last <= MAX_RECORD_NUMBER, DamagedSnafu { key, reason });
        let end = from.saturating_add(count).min(last.saturating_add(1));
        let reads = (from.max(1)..end).map(|number| {
            let current_record = current
                .iter()
                .find(|record| record.number == number)
                .cloned();
            async move {
                match current_record {
                    Some(record) => Ok(Some(record)),
                    None => self.archived_record(name, number).await,
                }
            }
        });
        let read: Vec<Option<AuditRecord>> = stream::iter(reads)
            .buffered(READ_CONCURRENCY)
            .try_collect()
            .await?;
        Ok(AuditPage {
            records: read.into_iter().flatten().collect(),
            next: (end <= last).then_some(end),
        })
    }

    /// Verifies the hash chain of a whole stream. `anchors` are record hashes that
    /// were noted earlier outside the stream; they reveal a stream that was cut off
    /// or rewritten.
    pub async fn verify(
        &self,
        name: &str,
        anchors: &[ChainAnchor],
    ) -> Result<ChainReport, RepoError> {
        let page = self.read(name, 1, u64::MAX).await?;
        Ok(verify_chain(&page.records, anchors))
    }

    /// Number of the last archived record, or 0 if there is none. Used for a stream
    /// whose mutable object is missing.
    async fn last_archived_number(&self, name: &str) -> Result<u64, RepoError> {
        let keys = self.store.list(&format!("audit/{name}/")).await?;
        let numbers = keys.iter().filter_map(|(key, _)| {
            let (stream, number) = parse_archive_key(key.as_str())?;
            (stream == name).then_some(number)
        });
        Ok(numbers.max().unwrap_or(0))
    }

    async fn archived_record(
        &self,
        name: &str,
        number: u64,
    ) -> Result<Option<AuditRecord>, RepoError> {
        let key = archive_key(name, number);
        let Some(stored) = self.store.get(&key).await? else {
            return Ok(None);
        };
        let record = decode_record(&stored.value).filter(|record| record.number == number);
        let record = record.context(DamagedSnafu {
            key: key.to_string(),
            reason: "the archived audit record is unreadable or has another number",
        })?;
        Ok(Some(record))
    }

    /// Reads the records in the mutable object of a stream; empty if it is missing.
    async fn current_records(&self, name: &str) -> Result<Vec<AuditRecord>, RepoError> {
        let key = match name {
            CONFIG_STREAM => ConfigHead::key(),
            OPERATOR_STREAM => operator_stream_key(),
            service => scope_key(service),
        };
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

/// Splits the key of an archived record into stream name and record number.
fn parse_archive_key(key: &str) -> Option<(&str, u64)> {
    let (stream, number) = key.strip_prefix("audit/")?.rsplit_once('/')?;
    Some((stream, number.parse().ok()?))
}

/// Reads the stored scope object of a service; `None` if it does not exist.
pub(super) async fn read_scope<S: ObjectStore>(
    store: &S,
    service: &ServiceName,
) -> Result<Option<ScopeState>, RepoError> {
    let key = scope_key(service.as_str());
    let Some(object) = store.get(&key).await? else {
        return Ok(None);
    };
    let scope = decode_scope(&object.value).context(DamagedSnafu {
        key: key.to_string(),
        reason: "the scope object is unreadable",
    })?;
    Ok(Some(scope))
}

/// Prefix of the keys of scope objects.
const SCOPE_PREFIX: &str = "scope/";

fn scope_key(service: &str) -> ObjectKey {
    ObjectKey::new(format!("{SCOPE_PREFIX}{service}"))
}

/// Format version: the first byte of an encoded scope object.
const SCOPE_FORMAT_VERSION: u8 = 1;

/// Limit for the memory that decoding a scope object may allocate, in bytes.
const SCOPE_DECODE_LIMIT: usize = 64 << 20;

/// Decodes a scope object in the format that the daemon's `control` module writes.
fn decode_scope(value: &[u8]) -> Option<ScopeState> {
    let body = value.strip_prefix(&[SCOPE_FORMAT_VERSION])?;
    let config = bincode::config::standard().with_limit::<SCOPE_DECODE_LIMIT>();
    let (scope, length) = bincode::decode_from_slice(body, config).ok()?;
    (length == body.len()).then_some(scope)
}
