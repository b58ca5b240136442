//! Commands that set the log level of a host or confirm that hosts are lost.

use {
    super::api::Api,
    crate::{error::CliError, output::Printer},
    camphorcove_core::ids::ServiceName,
    camphorcove_net::operator::{ConfirmRequest, LevelRequest, QueryMap, StatusReport},
    serde_json::Value,
};

/// Changes the log level of the host that responds. Its id is sent along, so that a
/// retry on another host is refused.
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
    let response: Value = api.post("/v1/log-level", &request).await?;
    printer.print(&response, |response| {
        let (host, level) = (&request.host, &request.level);
        let mut lines = vec![format!("host {host}: log level {level}")];
        if response["recorded"] == false {
            lines.push("the audit record could not be written".to_owned());
        }
        lines
    })
}

/// Confirms that the old controller and electors of a service have stopped. It has an
/// effect only for a successor without a majority of electors.
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
    let response: Value = api.post("/v1/confirm-lost", &request).await?;
    printer.print(&response, |response| {
        let service = &request.service;
        vec![format!(
            "confirmed for {service}, audit record {}",
            response["record"]
        )]
    })
}
