//! Reads audit streams: archived records and those in the mutable object.
//!
//! A scope's stream has the name of its service. The names of the other streams
//! are reserved in configuration files.

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
        ids::ServiceName,
        scope::ScopeState,
    },
    futures_util::{StreamExt, TryStreamExt, stream},
    snafu::{OptionExt, ensure},
    std::collections::BTreeSet,
};

/// Archived records read at once; keeps the platform's read rate moderate.
const READ_PARALLEL: usize = 8;

/// Highest record number that is believed, so that a forged number cannot make a
/// read endless: several centuries of changes at 1,500 a day.
const NUMBER_LIMIT: u64 = 1_000_000_000;

/// Part of an audit stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AuditPage {
    /// Records in order.
    pub records: Vec<AuditRecord>,
    /// Number to continue from; `None` at the end of the stream.
    pub next: Option<u64>,
}

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
        for (key, _) in self.store.list(SCOPE_PREFIX).await? {
            names.extend(key.as_str().strip_prefix(SCOPE_PREFIX).map(str::to_owned));
        }
        for (key, _) in self.store.list("audit/").await? {
            if let Some((stream, _)) = split_key(key.as_str()) {
                names.insert(stream.to_owned());
            }
        }
        Ok(names.into_iter().collect())
    }

    /// Records of a stream whose numbers are in a window of `count` from `from`.
    ///
    /// Missing records are left out here and found by [`Self::verify`].
    pub async fn read(&self, name: &str, from: u64, count: u64) -> Result<AuditPage, RepoError> {
        // The mutable object is read first: a record that leaves it afterwards
        // has been archived before.
        let current = self.current(name).await?;
        let last = match current.last() {
            Some(record) => record.number,
            None => self.last_archived(name).await?,
        };
        let (what, found) = ("audit stream", last > 0);
        ensure!(found, NotFoundSnafu { what, name });
        let (key, reason) = (name, "the number of the last record cannot be right");
        ensure!(last <= NUMBER_LIMIT, DamagedSnafu { key, reason });
        let end = from.saturating_add(count).min(last.saturating_add(1));
        let reads = (from.max(1)..end).map(|number| {
            let held = current
                .iter()
                .find(|record| record.number == number)
                .cloned();
            async move {
                match held {
                    Some(record) => Ok(Some(record)),
                    None => self.archived(name, number).await,
                }
            }
        });
        let read: Vec<Option<AuditRecord>> = stream::iter(reads)
            .buffered(READ_PARALLEL)
            .try_collect()
            .await?;
        Ok(AuditPage {
            records: read.into_iter().flatten().collect(),
            next: (end <= last).then_some(end),
        })
    }

    /// Verifies a whole stream. `anchors` are numbers and hashes noted earlier.
    pub async fn verify(
        &self,
        name: &str,
        anchors: &[ChainAnchor],
    ) -> Result<ChainReport, RepoError> {
        let page = self.read(name, 1, u64::MAX).await?;
        Ok(verify_chain(&page.records, anchors))
    }

    /// Number of the last archived record, for a stream without its mutable object.
    async fn last_archived(&self, name: &str) -> Result<u64, RepoError> {
        let keys = self.store.list(&format!("audit/{name}/")).await?;
        let numbers = keys.iter().filter_map(|(key, _)| {
            let (stream, number) = split_key(key.as_str())?;
            (stream == name).then_some(number)
        });
        Ok(numbers.max().unwrap_or(0))
    }

    async fn archived(&self, name: &str, number: u64) -> Result<Option<AuditRecord>, RepoError> {
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

    /// Records in the mutable object of a stream.
    async fn current(&self, name: &str) -> Result<Vec<AuditRecord>, RepoError> {
        let key = match name {
            CONFIG_STREAM => ConfigHead::key(),
            OPERATOR_STREAM => stream_key(),
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

/// Stream and number of an archived record's key.
fn split_key(key: &str) -> Option<(&str, u64)> {
    let (stream, number) = key.strip_prefix("audit/")?.rsplit_once('/')?;
    Some((stream, number.parse().ok()?))
}

/// Reads the scope object of a service.
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

/// Prefix of scope objects.
const SCOPE_PREFIX: &str = "scope/";

fn scope_key(service: &str) -> ObjectKey {
    ObjectKey::new(format!("{SCOPE_PREFIX}{service}"))
}

/// First byte of the encoding of a scope object.
const SCOPE_FORMAT: u8 = 1;

/// Largest memory a decoded scope object may claim, in bytes.
const SCOPE_LIMIT: usize = 64 << 20;

/// Decodes a scope object as the daemon's `control` module encodes it.
fn decode_scope(value: &[u8]) -> Option<ScopeState> {
    let body = value.strip_prefix(&[SCOPE_FORMAT])?;
    let config = bincode::config::standard().with_limit::<SCOPE_LIMIT>();
    let (scope, length) = bincode::decode_from_slice(body, config).ok()?;
    (length == body.len()).then_some(scope)
}
