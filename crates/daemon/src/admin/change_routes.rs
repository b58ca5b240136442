//! Routes that read and change the configuration.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminReply, AdminResult, check_reason, json_reply},
        repo_failure::repo_failure,
    },
    camphorcove_core::{
        conf::{RegionConfig, check_change, diff, parse, parse_stored},
        ids::ConfigVersion,
    },
    camphorcove_net::{
        config::{Author, ChangeOutcome, RepoError, run_blocking},
        operator::{ApiCode, ApiError, CheckReport, DiffReport, OrderRequest, RollbackRequest},
        platform::ObjectStore,
    },
};

/// File name in reported faults if the request does not name the file.
const DEFAULT_FILE: &str = "file";

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    pub(super) async fn config_text(&self, call: &AdminCall) -> AdminResult {
        let version = call.optional::<ConfigVersion>("version")?;
        let text = self.context.repo.content(version).await;
        text.map(AdminReply::Text).map_err(repo_failure)
    }

    pub(super) async fn check(&self, call: &AdminCall) -> AdminResult {
        let config = read_file(call).await?;
        let servers = config.services.iter().map(|service| service.servers.len());
        json_reply(&CheckReport {
            services: config.services.len(),
            servers: servers.sum(),
        })
    }

    pub(super) async fn diff(&self, call: &AdminCall) -> AdminResult {
        let new = read_file(call).await?;
        let head = self.context.repo.head().await.map_err(repo_failure)?;
        let Some(head) = head else {
            return json_reply(&DiffReport {
                version: ConfigVersion(0),
                lines: diff(None, &new),
                rules: Vec::new(),
            });
        };
        let version = head.version;
        let text = self.context.repo.content(Some(version)).await;
        let text = text.map_err(repo_failure)?;
        let report = run_blocking(move || {
            let old = parse_stored(&text)?;
            Ok(DiffReport {
                version,
                lines: diff(Some(&old), &new),
                rules: check_change(&old, &new).err().unwrap_or_default(),
            })
        });
        let damaged = |reason: String| ApiError::new(ApiCode::Damaged, reason);
        json_reply(&report.await.map_err(damaged)?)
    }

    /// Applies a configuration file. Like every change, the request names the version
    /// it is based on, so that repeating it after a lost response cannot undo a later
    /// change by another operator.
    pub(super) async fn apply(&self, call: &AdminCall) -> AdminResult {
        let expect = call.parsed::<ConfigVersion>("expect")?;
        let author = author(call, call.query.get("reason").unwrap_or_default())?;
        read_file(call).await?;
        let text = call.text()?;
        let outcome = self.context.repo.apply(text, Some(expect), &author).await;
        log_and_reply("apply", &author, outcome)
    }

    pub(super) async fn rollback(&self, call: &AdminCall) -> AdminResult {
        let request: RollbackRequest = call.json()?;
        let author = author(call, &request.reason)?;
        let expect = Some(request.expect);
        let outcome = self
            .context
            .repo
            .rollback(request.target, expect, &author)
            .await;
        log_and_reply("rollback", &author, outcome)
    }

    pub(super) async fn order(&self, call: &AdminCall) -> AdminResult {
        let request: OrderRequest = call.json()?;
        let author = author(call, &request.reason)?;
        let expect = Some(request.expect);
        let outcome = self
            .context
            .repo
            .order(&request.order, expect, &author)
            .await;
        log_and_reply("order", &author, outcome)
    }
}

/// Parses the configuration file in the request body.
async fn read_file(call: &AdminCall) -> Result<RegionConfig, ApiError> {
    let file = call.query.get("file").unwrap_or(DEFAULT_FILE).to_owned();
    let text = call.text()?.to_owned();
    let config = run_blocking(move || parse(&file, &text)).await;
    config.map_err(|faults| repo_failure(RepoError::Invalid { faults }))
}

/// Returns the operator and the reason for the audit record.
pub(super) fn author(call: &AdminCall, reason: &str) -> Result<Author, ApiError> {
    check_reason(reason)?;
    Ok(Author::now(&call.actor, reason))
}

/// Logs the outcome of a change and returns the response.
fn log_and_reply(
    operation: &str,
    author: &Author,
    outcome: Result<ChangeOutcome, RepoError>,
) -> AdminResult {
    match outcome {
        Ok(outcome) => {
            let ChangeOutcome {
                version, changed, ..
            } = &outcome;
            log::info!(
                "{operation} by {}: version {version}, changed: {changed}",
                author.actor
            );
            json_reply(&outcome)
        }
        Err(error) => {
            log::warn!("{operation} by {} failed: {error}", author.actor);
            Err(repo_failure(error))
        }
    }
}
