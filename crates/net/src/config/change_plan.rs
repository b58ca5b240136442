//! Computes the version that a requested change produces.

use {
    super::{
        Author, ConfigHead, ConfigRepo, OperatorOrder, RepoError,
        audit_reader::read_scope,
        config_head::{StoredHead, record_hash, version_of},
        content::find_parts,
        order::remove_dangling_orders,
        repo_error::*,
    },
    crate::platform::ObjectStore,
    camphorcove_core::{
        audit::{AuditAction, AuditRecord},
        conf::{OperatorOrders, RegionConfig, check_change, check_stored_scope},
        ids::ConfigVersion,
    },
    snafu::{OptionExt, ensure},
};

/// A configuration change requested by an operator.
pub(super) enum ChangeRequest {
    /// Apply configuration content whose parts have already been uploaded.
    Apply {
        config: Box<RegionConfig>,
        hash: String,
        parts: Vec<String>,
    },
    /// Add or remove an operator's order, such as a drain or a pin.
    Order(OperatorOrder),
    /// Apply the content of an earlier version.
    Rollback(ConfigVersion),
}

/// The next configuration version, before it is written.
pub(super) struct NextVersion {
    content: String,
    parts: Vec<String>,
    orders: OperatorOrders,
    action: AuditAction,
    pub(super) withdrawn: Vec<String>,
}

impl<S: ObjectStore> ConfigRepo<S> {
    /// Computes the version that follows `base`, the head in force; `None` if the
    /// change is already in force.
    pub(super) async fn plan(
        &self,
        change: &ChangeRequest,
        base: Option<&StoredHead>,
    ) -> Result<Option<NextVersion>, RepoError> {
        match change {
            ChangeRequest::Apply {
                config,
                hash,
                parts,
            } => self.plan_apply(base, config, hash, parts).await,
            ChangeRequest::Order(order) => self.plan_order(base, order).await,
            ChangeRequest::Rollback(target) => self.plan_rollback(base, *target).await,
        }
    }

    async fn plan_apply(
        &self,
        base: Option<&StoredHead>,
        config: &RegionConfig,
        hash: &str,
        parts: &[String],
    ) -> Result<Option<NextVersion>, RepoError> {
        if base.is_some_and(|base| base.head.content == hash) {
            return Ok(None);
        }
        let old = match base {
            Some(base) => Some(self.read_config(&base.head).await?),
            None => None,
        };
        self.check_rules(old.as_ref(), config).await?;
        let mut orders = base.map_or_else(OperatorOrders::default, |base| base.head.orders.clone());
        let withdrawn = remove_dangling_orders(&mut orders, config);
        let before = version_of(base).0;
        Ok(Some(NextVersion {
            content: hash.to_owned(),
            parts: parts.to_vec(),
            orders,
            action: AuditAction::Apply {
                before,
                after: before + 1,
                content: hash.to_owned(),
                withdrawn: withdrawn.clone(),
            },
            withdrawn,
        }))
    }

    async fn plan_order(
        &self,
        base: Option<&StoredHead>,
        order: &OperatorOrder,
    ) -> Result<Option<NextVersion>, RepoError> {
        let (what, name) = ("configuration version", "0");
        let head = &base.context(NotFoundSnafu { what, name })?.head;
        let config = self.read_config(head).await?;
        let orders = order.apply(&config, &head.orders)?;
        if orders == head.orders {
            return Ok(None);
        }
        Ok(Some(NextVersion {
            content: head.content.clone(),
            parts: head.parts.clone(),
            orders,
            action: AuditAction::Order {
                before: head.version.0,
                after: head.version.0 + 1,
                content: head.content.clone(),
                order: order.to_string(),
            },
            withdrawn: Vec::new(),
        }))
    }

    async fn plan_rollback(
        &self,
        base: Option<&StoredHead>,
        target: ConfigVersion,
    ) -> Result<Option<NextVersion>, RepoError> {
        let (what, name) = ("configuration version", target.to_string());
        let head = &base.context(NotFoundSnafu { what, name })?.head;
        let content = self.content_hash_of(head, target).await?;
        if content == head.content {
            return Ok(None);
        }
        let parts = find_parts(self.store(), &content).await?;
        let config = self.read_content(&content, &parts).await?;
        let old = self.read_config(head).await?;
        self.check_rules(Some(&old), &config).await?;
        let mut orders = head.orders.clone();
        let withdrawn = remove_dangling_orders(&mut orders, &config);
        let action = AuditAction::Rollback {
            before: head.version.0,
            after: head.version.0 + 1,
            content: content.clone(),
            target: target.0,
            withdrawn: withdrawn.clone(),
        };
        Ok(Some(NextVersion {
            content,
            parts,
            orders,
            action,
            withdrawn,
        }))
    }

    /// Checks the rules for changes between versions. An added service is also
    /// checked against the scope object of an earlier service with the same name,
    /// which outlives that service.
    async fn check_rules(
        &self,
        old: Option<&RegionConfig>,
        new: &RegionConfig,
    ) -> Result<(), RepoError> {
        let mut faults = old
            .map_or(Ok(()), |old| check_change(old, new))
            .err()
            .unwrap_or_default();
        for service in &new.services {
            let mut known = old.iter().flat_map(|old| &old.services);
            if known.any(|other| other.name == service.name) {
                continue;
            }
            let Some(scope) = read_scope(self.store(), &service.name).await? else {
                continue;
            };
            faults.extend(check_stored_scope(service, &scope));
        }
        ensure!(faults.is_empty(), ForbiddenSnafu { faults });
        Ok(())
    }
}

impl NextVersion {
    /// Builds the head that replaces `base`.
    pub(super) fn into_head(self, base: Option<&StoredHead>, author: &Author) -> ConfigHead {
        let version = ConfigVersion(version_of(base).0 + 1);
        ConfigHead {
            version,
            content: self.content,
            parts: self.parts,
            orders: self.orders,
            record: AuditRecord {
                number: version.0,
                wall_millis: author.wall_millis,
                actor: author.actor.clone(),
                action: self.action,
                reason: author.reason.clone(),
                previous: record_hash(base),
            },
        }
    }
}
