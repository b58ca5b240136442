//! Commands that show the state of hosts and services.

use {
    super::api::Api,
    crate::{
        error::CliError,
        output::{Printer, replace_control_chars, table, text_or_dash},
    },
    camphorcove_net::operator::{QueryMap, ServiceStatus, StatusReport},
};

/// Shows the state of hosts and services.
pub async fn status(api: &Api, printer: Printer) -> Result<(), CliError> {
    let report: StatusReport = api.get("/v1/status", QueryMap::default()).await?;
    printer.print(&report, status_lines)
}

/// Lists all services with their routing state.
pub async fn services(api: &Api, printer: Printer) -> Result<(), CliError> {
    let services: Vec<ServiceStatus> = api.get("/v1/services", QueryMap::default()).await?;
    printer.print(&services, |services| service_lines(services))
}

fn status_lines(report: &StatusReport) -> Vec<String> {
    let platform = report.platform;
    let platform = platform.map_or_else(|| "unavailable".to_owned(), |version| version.to_string());
    let mut lines = vec![
        format!("answered by host {}", report.host),
        format!("configuration {} (platform: {platform})", report.config),
        String::new(),
    ];
    lines.extend(host_lines(report));
    push_section(&mut lines, service_lines(&report.services));
    if !report.roles.is_empty() {
        push_section(&mut lines, role_lines(report));
    }
    let orders = report
        .drained
        .iter()
        .map(|server| format!("drained: {}", replace_control_chars(server)));
    let pins = report
        .pins
        .iter()
        .map(|pin| format!("pinned: {}", replace_control_chars(pin)));
    push_section(&mut lines, orders.chain(pins).collect());
    let refusals = report.refusals.iter().filter(|(_, count)| **count > 0);
    let refusals = refusals.map(|(reason, count)| format!("refused requests: {reason}: {count}"));
    push_section(&mut lines, refusals.collect());
    lines
}

/// Appends lines after an empty line, unless there are none.
fn push_section(lines: &mut Vec<String>, added: Vec<String>) {
    if !added.is_empty() {
        lines.push(String::new());
        lines.extend(added);
    }
}

fn host_lines(report: &StatusReport) -> Vec<String> {
    let rows = report.hosts.iter().map(|host| {
        vec![
            host.host.to_string(),
            text_or_dash(host.zone.as_ref()),
            text_or_dash(host.peer.as_ref()),
            text_or_dash(host.config.as_ref()),
        ]
    });
    table(&["host", "zone", "peer", "configuration"], rows.collect())
}

fn role_lines(report: &StatusReport) -> Vec<String> {
    let rows = report.roles.iter().map(|role| {
        vec![
            role.service.to_string(),
            role.role.clone(),
            role.epoch.to_string(),
            format!("{} ms", role.remaining_ms),
        ]
    });
    table(&["service", "role", "epoch", "remaining"], rows.collect())
}

fn service_lines(services: &[ServiceStatus]) -> Vec<String> {
    let header = [
        "service",
        "routing",
        "controller",
        "map",
        "valid",
        "servers",
        "shards",
        "unowned",
        "moving",
    ];
    let rows = services.iter().map(|service| {
        let servers = service.servers.iter();
        let servers: Vec<String> = servers
            .map(|(phase, count)| format!("{count} {phase}"))
            .collect();
        vec![
            service.service.to_string(),
            service.routing.clone(),
            text_or_dash(service.controller.as_ref()),
            text_or_dash(service.map.as_ref()),
            format!("{} ms", service.valid_ms),
            servers.join(", "),
            service.shards.to_string(),
            service.unowned.to_string(),
            service.moving.to_string(),
        ]
    });
    table(&header, rows.collect())
}
