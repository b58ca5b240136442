//! Routes that list, export and verify the audit trail.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminReply, AdminResult, json_reply, malformed},
        repo_failure::repo_failure,
    },
    camphorcove_core::audit::{ChainAnchor, ChainFault},
    camphorcove_net::{
        config::AuditPage,
        operator::{ApiError, VerifyReport},
        platform::ObjectStore,
    },
};

/// Maximum number of records in one response; a client requests the next page with
/// the record number that the response names.
const PAGE_LIMIT: u64 = 500;

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    pub(super) async fn audit_streams(&self) -> AdminResult {
        let streams = self.audit.streams().await.map_err(repo_failure)?;
        json_reply(&streams)
    }

    pub(super) async fn audit_list(&self, call: &AdminCall) -> AdminResult {
        json_reply(&self.read_page(call).await?)
    }

    /// Exports records as JSON, one per line. The records are those numbered `from` to
    /// `from + limit - 1`, so a client continues at `from + limit` even if some are
    /// missing.
    pub(super) async fn audit_export(&self, call: &AdminCall) -> AdminResult {
        let mut text = String::new();
        for record in self.read_page(call).await?.records {
            let line = serde_json::to_string(&record)
                .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
            text.push_str(&line);
            text.push('\n');
        }
        Ok(AdminReply::Text(text))
    }

    pub(super) async fn audit_verify(&self, call: &AdminCall) -> AdminResult {
        let stream = call.required("stream")?;
        let anchors: Vec<ChainAnchor> =
            call.query.get("anchor").map_or(Ok(Vec::new()), |text| {
                text.split(',').map(parse_anchor).collect()
            })?;
        let report = self
            .audit
            .verify(stream, &anchors)
            .await
            .map_err(repo_failure)?;
        json_reply(&VerifyReport {
            stream: stream.to_owned(),
            texts: report.faults.iter().map(ChainFault::to_string).collect(),
            report,
        })
    }

    /// Reads the page of records that the query parameters select.
    async fn read_page(&self, call: &AdminCall) -> Result<AuditPage, ApiError> {
        let stream = call.required("stream")?;
        let from = call.optional::<u64>("from")?.unwrap_or(1);
        let limit = call.optional::<u64>("limit")?.unwrap_or(PAGE_LIMIT);
        let limit = limit.min(PAGE_LIMIT);
        self.audit
            .read(stream, from, limit)
            .await
            .map_err(repo_failure)
    }
}

/// Parses an anchor of the form `NUMBER:HASH`.
fn parse_anchor(text: &str) -> Result<ChainAnchor, ApiError> {
    let parsed = text.split_once(':').and_then(|(number, hash)| {
        Some(ChainAnchor {
            number: number.parse().ok()?,
            hash: hash.parse().ok()?,
        })
    });
    parsed.ok_or_else(|| malformed(format!("anchor {text:?} is not NUMBER:HASH")))
}
