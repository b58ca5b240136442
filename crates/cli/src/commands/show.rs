//! Commands that show the configuration, servers, owners, moves and routes.

use {
    super::api::Api,
    crate::{
        args::{ExplainArgs, KeyArgs},
        error::CliError,
        output::{Printer, replace_control_chars, table, text_or_dash},
    },
    camphorcove_core::ids::{ConfigVersion, ServiceName},
    camphorcove_net::operator::{
        ExplainReport, ExplainRequest, MoveStatus, OwnerReport, QueryMap, ServerStatus,
    },
};

/// Prints the configuration file of a version, or the one in force.
pub async fn config_text(
    api: &Api,
    printer: Printer,
    version: Option<ConfigVersion>,
) -> Result<(), CliError> {
    let mut query = QueryMap::default();
    if let Some(version) = version {
        query = query.with("version", version);
    }
    let text = api.get_text("/v1/config", query).await?;
    printer.print_raw(&text)
}

/// Lists the servers of one service or of all.
pub async fn servers(
    api: &Api,
    printer: Printer,
    service: Option<&ServiceName>,
) -> Result<(), CliError> {
    let mut query = QueryMap::default();
    if let Some(service) = service {
        query = query.with("service", service);
    }
    let servers: Vec<ServerStatus> = api.get("/v1/servers", query).await?;
    printer.print(&servers, |servers| server_lines(servers))
}

fn server_lines(servers: &[ServerStatus]) -> Vec<String> {
    let header = [
        "service",
        "server",
        "address",
        "zone",
        "phase",
        "drained",
        "shards",
        "forwarder",
        "load",
    ];
    let rows = servers.iter().map(|server| {
        let load = server.load.as_ref().map(|load| {
            let ejected = if load.ejected { ", ejected" } else { "" };
            format!(
                "{} in flight, {} queued{ejected}",
                load.in_flight, load.queued
            )
        });
        let phase = server
            .phase
            .map(|phase| format!("{phase:?}").to_lowercase());
        vec![
            server.service.to_string(),
            server.server.to_string(),
            server.address.to_string(),
            server.zone.to_string(),
            text_or_dash(phase.as_ref()),
            if server.drained { "yes" } else { "no" }.to_owned(),
            server.shards.to_string(),
            text_or_dash(server.forwarder.as_ref()),
            text_or_dash(load.as_ref()),
        ]
    });
    table(&header, rows.collect())
}

/// Shows which server owns a key.
pub async fn owner(api: &Api, printer: Printer, args: &KeyArgs) -> Result<(), CliError> {
    let query = QueryMap::default()
        .with("service", &args.service)
        .with("key", &args.key);
    let report: OwnerReport = api.get("/v1/owner", query).await?;
    printer.print(&report, owner_lines)
}

fn owner_lines(report: &OwnerReport) -> Vec<String> {
    let moving = if report.moving { "yes" } else { "no" };
    let rows = [
        ("service", report.service.to_string()),
        ("key", report.key.clone()),
        ("shard", report.shard.to_string()),
        ("owner", text_or_dash(report.owner.as_ref())),
        ("address", text_or_dash(report.address.as_ref())),
        ("token", report.token.clone()),
        ("forwarder", text_or_dash(report.forwarder.as_ref())),
        ("pinned to", text_or_dash(report.pinned.as_ref())),
        ("moving", moving.to_owned()),
        (
            "map",
            format!("{}, valid for {} ms", report.map, report.valid_ms),
        ),
    ];
    let rows = rows
        .into_iter()
        .map(|(name, value)| vec![name.to_owned(), value]);
    table(&["field", "value"], rows.collect())
}

/// Lists shard moves in progress.
pub async fn moves(api: &Api, printer: Printer) -> Result<(), CliError> {
    let moves: Vec<MoveStatus> = api.get("/v1/moves", QueryMap::default()).await?;
    printer.print(&moves, |moves| {
        let rows = moves.iter().map(|status| {
            vec![
                status.service.to_string(),
                status.shard.to_string(),
                text_or_dash(status.from.as_ref()),
                text_or_dash(status.to.as_ref()),
                text_or_dash(status.reason.as_ref()),
            ]
        });
        table(
            &["service", "shard", "from", "to", "reason"],
            rows.collect(),
        )
    })
}

/// Explains where a request would be routed, or why it would be refused.
pub async fn explain(api: &Api, printer: Printer, args: ExplainArgs) -> Result<(), CliError> {
    let request = ExplainRequest {
        method: args.method,
        host: args.host,
        target: args.target,
        headers: args.headers.into_iter().collect(),
    };
    let report: ExplainReport = api.post("/v1/explain", &request).await?;
    printer.print(&report, |report| {
        let mut lines = vec![format!("as host {} sees it:", report.host)];
        lines.extend(report.steps.iter().map(|step| replace_control_chars(step)));
        lines
    })
}
