//! Commands that act on a host or on a scope.

use {
    super::api::Api,
    crate::{error::CliError, output::Printer},
    camphorcove_core::ids::ServiceName,
    camphorcove_net::operator::{ConfirmRequest, LevelRequest, QueryMap, StatusReport},
    serde_json::Value,
};

/// Changes the log level of the answering host.
pub async fn log_level(
    api: &Api,
    printer: Printer,
    level: String,
    reason: String,
) -> Result<(), CliError> {
    let status: StatusReport = api.get("/v1/status", QueryMap::default()).await?;
    let host = status.host.clone();
    let request = LevelRequest {
        host,
        level,
        reason,
    };
    let answer: Value = api.post("/v1/log-level", &request).await?;
    printer.print(&answer, |answer| {
        let (host, level) = (&request.host, &request.level);
        let mut lines = vec![format!("host {host}: log level {level}")];
        if answer["recorded"] == false {
            lines.push("the audit record could not be written".to_owned());
        }
        lines
    })
}

/// Confirms that the old hosts of a scope have stopped.
pub async fn confirm_lost(
    api: &Api,
    printer: Printer,
    service: ServiceName,
    epoch: u64,
    reason: String,
) -> Result<(), CliError> {
    let request = ConfirmRequest {
        service,
        epoch,
        reason,
    };
    let answer: Value = api.post("/v1/confirm-lost", &request).await?;
    printer.print(&answer, |answer| {
        let service = &request.service;
        vec![format!(
            "confirmed for {service}, audit record {}",
            answer["record"]
        )]
    })
}
