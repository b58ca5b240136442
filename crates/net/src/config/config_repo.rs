//! Reads and changes the configuration in the platform's object store.

use {
    super::{
        AuditPage, AuditReader, Author, ConfigHead, OperatorOrder, RepoError,
        archive::{archive_key, decode_record},
        change_plan::ChangeRequest,
        config_head::{StoredHead, version_of},
        content::{content_hash, download, find_parts, upload},
        head_update::{CONFIG_STREAM, UpdateResult, replace_head},
        repo_error::*,
        run_blocking::run_blocking,
    },
    crate::{
        peer::ConfigSnapshot,
        platform::{ObjectStore, StoreError},
    },
    camphorcove_core::{
        audit::{AuditAction, AuditRecord},
        conf::{RegionConfig, parse, parse_stored},
        ids::ConfigVersion,
    },
    snafu::{OptionExt, ensure},
};

/// Number of attempts at a change while concurrent changes take effect first. Only a
/// change without an expected version is attempted more than once.
const CHANGE_ATTEMPTS: u32 = 8;

/// Result of a change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChangeOutcome {
    /// Version in force after the change.
    pub version: ConfigVersion,
    /// False if the content or the order was already in force.
    pub changed: bool,
    /// Orders that were removed because their server is no longer configured.
    pub withdrawn: Vec<String>,
}

/// The configuration in the platform's object store, with its versions and audit
/// records.
#[derive(Clone, Debug)]
pub struct ConfigRepo<S> {
    store: S,
}

impl<S: ObjectStore> ConfigRepo<S> {
    /// Creates a repository on `store`.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Object store of the platform.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Loads the configuration in force; `None` if no configuration was ever applied.
    ///
    /// Damaged content is reported as [`StoreError::Rejected`].
    pub async fn load(&self) -> Result<Option<ConfigSnapshot>, StoreError> {
        match self.load_checked().await {
            Ok(snapshot) => Ok(snapshot),
            Err(RepoError::Store { source }) => Err(source),
            Err(error) => Err(StoreError::Rejected {
                reason: error.to_string(),
            }),
        }
    }

    /// Reads the head in force; `None` if no configuration was ever applied.
    pub async fn head(&self) -> Result<Option<ConfigHead>, RepoError> {
        Ok(self.stored_head().await?.map(|stored| stored.head))
    }

    /// Reads the text of a version; `version` is `None` for the version in force.
    pub async fn content(&self, version: Option<ConfigVersion>) -> Result<String, RepoError> {
        let stored = self.stored_head().await?;
        let (what, name) = ("configuration version", "0");
        let head = stored.context(NotFoundSnafu { what, name })?.head;
        match version {
            Some(version) if version != head.version => {
                let hash = self.content_hash_of(&head, version).await?;
                let parts = find_parts(&self.store, &hash).await?;
                download(&self.store, &hash, &parts).await
            }
            _ => download(&self.store, &head.content, &head.parts).await,
        }
    }

    /// Reads the audit records of up to `count` versions, starting with `from`.
    pub async fn history(&self, from: ConfigVersion, count: u64) -> Result<AuditPage, RepoError> {
        let reader = AuditReader::new(self.store.clone());
        reader.read(CONFIG_STREAM, from.0, count).await
    }

    /// Applies a configuration file.
    ///
    /// If the content is already in force, nothing changes and `expected` is not
    /// checked, so a request may be repeated after its response was lost.
    pub async fn apply(
        &self,
        content: &str,
        expected: Option<ConfigVersion>,
        author: &Author,
    ) -> Result<ChangeOutcome, RepoError> {
        let text = content.to_owned();
        let config = run_blocking(move || parse("file", &text)).await;
        let config = config.map_err(|faults| RepoError::Invalid { faults })?;
        let change = ChangeRequest::Apply {
            config: Box::new(config),
            hash: content_hash(content.as_bytes()),
            parts: upload(&self.store, content).await?,
        };
        self.change(&change, expected, author).await
    }

    /// Adds or removes an operator's order. If that would not alter the orders in
    /// force, nothing changes and `expected` is not checked.
    pub async fn order(
        &self,
        order: &OperatorOrder,
        expected: Option<ConfigVersion>,
        author: &Author,
    ) -> Result<ChangeOutcome, RepoError> {
        let change = ChangeRequest::Order(order.clone());
        self.change(&change, expected, author).await
    }

    /// Applies the content of an earlier version as a new version. Orders in force
    /// are kept, except those for servers that the earlier version lacks.
    pub async fn rollback(
        &self,
        target: ConfigVersion,
        expected: Option<ConfigVersion>,
        author: &Author,
    ) -> Result<ChangeOutcome, RepoError> {
        let change = ChangeRequest::Rollback(target);
        self.change(&change, expected, author).await
    }

    /// Makes one change. If `expected` is given, the change is made only on that
    /// version.
    async fn change(
        &self,
        change: &ChangeRequest,
        expected: Option<ConfigVersion>,
        author: &Author,
    ) -> Result<ChangeOutcome, RepoError> {
        for _ in 0..CHANGE_ATTEMPTS {
            let base = self.stored_head().await?;
            let base = base.as_ref();
            let current = version_of(base);
            let planned = self.plan(change, base).await;
            let mismatch = expected.filter(|expected| *expected != current);
            if let (Some(expected), Err(_) | Ok(Some(_))) = (mismatch, &planned) {
                return VersionMismatchSnafu { expected, current }.fail();
            }
            let Some(next) = planned? else {
                return Ok(ChangeOutcome {
                    version: current,
                    changed: false,
                    withdrawn: Vec::new(),
                });
            };
            let withdrawn = next.withdrawn.clone();
            let head = next.into_head(base, author);
            let result = replace_head(&self.store, base, &head).await?;
            if result == UpdateResult::Committed {
                return Ok(ChangeOutcome {
                    version: head.version,
                    changed: true,
                    withdrawn,
                });
            }
        }
        let attempts = CHANGE_ATTEMPTS;
        ContendedSnafu { attempts }.fail()
    }

    /// Hash of the content of a version, taken from the version's audit record.
    pub(super) async fn content_hash_of(
        &self,
        head: &ConfigHead,
        version: ConfigVersion,
    ) -> Result<String, RepoError> {
        match self.record_of(head, version).await?.action {
            AuditAction::Apply { content, .. }
            | AuditAction::Order { content, .. }
            | AuditAction::Rollback { content, .. } => Ok(content),
            _ => DamagedSnafu {
                key: archive_key(CONFIG_STREAM, version.0).to_string(),
                reason: "the audit record does not describe a configuration",
            }
            .fail(),
        }
    }

    async fn record_of(
        &self,
        head: &ConfigHead,
        version: ConfigVersion,
    ) -> Result<AuditRecord, RepoError> {
        if version == head.version {
            return Ok(head.record.clone());
        }
        let (what, name) = ("configuration version", version.to_string());
        ensure!(
            (1..head.version.0).contains(&version.0),
            NotFoundSnafu { what, name }
        );
        let key = archive_key(CONFIG_STREAM, version.0);
        let object = self.store.get(&key).await?;
        let record = object.and_then(|object| decode_record(&object.value));
        record.context(DamagedSnafu {
            key: key.to_string(),
            reason: "the archived audit record is missing or unreadable",
        })
    }

    pub(super) async fn read_config(&self, head: &ConfigHead) -> Result<RegionConfig, RepoError> {
        self.read_content(&head.content, &head.parts).await
    }

    pub(super) async fn read_content(
        &self,
        hash: &str,
        parts: &[String],
    ) -> Result<RegionConfig, RepoError> {
        let text = download(&self.store, hash, parts).await?;
        let config = run_blocking(move || parse_stored(&text)).await;
        config.map_err(|reason| RepoError::Damaged {
            key: format!("config/part/{hash}"),
            reason,
        })
    }

    async fn stored_head(&self) -> Result<Option<StoredHead>, RepoError> {
        let object = self.store.get(&ConfigHead::key()).await?;
        object.as_ref().map(StoredHead::decode).transpose()
    }

    async fn load_checked(&self) -> Result<Option<ConfigSnapshot>, RepoError> {
        let Some(stored) = self.stored_head().await? else {
            return Ok(None);
        };
        let config = self.read_config(&stored.head).await?;
        Ok(Some(ConfigSnapshot {
            version: stored.head.version,
            config,
            orders: stored.head.orders,
        }))
    }
}
