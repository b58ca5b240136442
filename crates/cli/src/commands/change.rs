//! Commands that compare or change the configuration.

use {
    super::{api::Api, local::read_config, wait::wait_for},
    crate::{
        args::{ApplyArgs, ChangeArgs, KeyArgs, PinArgs, RollbackArgs, ServerArgs},
        error::{CliError, CurrentVersionUnknownSnafu},
        output::{Printer, replace_control_chars},
    },
    camphorcove_core::ids::ConfigVersion,
    camphorcove_net::{
        config::OperatorOrder,
        operator::{
            ApplyReport, DiffReport, OrderRequest, QueryMap, RollbackRequest, StatusReport,
        },
    },
    snafu::OptionExt,
    std::path::Path,
};

/// Shows the differences between the configuration in force and a file.
pub async fn diff(api: &Api, printer: Printer, file: &Path) -> Result<(), CliError> {
    let (text, _) = read_config(file)?;
    let query = QueryMap::default().with("file", file.display());
    let report: DiffReport = api.post_raw("/v1/config/diff", query, text.into()).await?;
    printer.print(&report, |report| {
        let mut lines: Vec<String> = report
            .lines
            .iter()
            .map(|line| replace_control_chars(line))
            .collect();
        if lines.is_empty() {
            lines.push(format!("no differences from version {}", report.version));
        }
        lines.extend(
            report
                .rules
                .iter()
                .map(|rule| format!("not allowed: {rule}")),
        );
        lines
    })
}

/// Replaces the configuration in force by a file.
pub async fn apply(api: &Api, printer: Printer, args: &ApplyArgs) -> Result<(), CliError> {
    let (text, _) = read_config(&args.file)?;
    let expect = expected_version(api, &args.change).await?;
    let query = QueryMap::default()
        .with("file", args.file.display())
        .with("expect", expect)
        .with("reason", &args.change.reason);
    let report: ApplyReport = api.post_raw("/v1/config/apply", query, text.into()).await?;
    print_change(printer, &report)?;
    wait_for(api, report.version, &args.wait).await
}

/// Applies the content of an earlier version as a new version.
pub async fn rollback(api: &Api, printer: Printer, args: &RollbackArgs) -> Result<(), CliError> {
    let request = RollbackRequest {
        target: args.version,
        expect: expected_version(api, &args.change).await?,
        reason: args.change.reason.clone(),
    };
    let report: ApplyReport = api.post("/v1/config/rollback", &request).await?;
    print_change(printer, &report)?;
    wait_for(api, report.version, &args.wait).await
}

/// Drains a server: its shards move away and it gets no new work.
pub async fn drain(api: &Api, printer: Printer, args: ServerArgs) -> Result<(), CliError> {
    let (service, server) = (args.service, args.server);
    order(
        api,
        printer,
        OperatorOrder::Drain { service, server },
        &args.change,
    )
    .await
}

/// Undoes a drain, so that the server gets new work again.
pub async fn undrain(api: &Api, printer: Printer, args: ServerArgs) -> Result<(), CliError> {
    let (service, server) = (args.service, args.server);
    order(
        api,
        printer,
        OperatorOrder::Undrain { service, server },
        &args.change,
    )
    .await
}

/// Pins the shard of a key to a server.
pub async fn pin(api: &Api, printer: Printer, args: PinArgs) -> Result<(), CliError> {
    let request = OperatorOrder::Pin {
        service: args.service,
        key: args.key,
        server: args.server,
    };
    order(api, printer, request, &args.change).await
}

/// Removes the pin from the shard of a key.
pub async fn unpin(
    api: &Api,
    printer: Printer,
    args: KeyArgs,
    change: &ChangeArgs,
) -> Result<(), CliError> {
    let (service, key) = (args.service, args.key);
    order(api, printer, OperatorOrder::Unpin { service, key }, change).await
}

async fn order(
    api: &Api,
    printer: Printer,
    order: OperatorOrder,
    change: &ChangeArgs,
) -> Result<(), CliError> {
    let request = OrderRequest {
        order,
        expect: expected_version(api, change).await?,
        reason: change.reason.clone(),
    };
    let report: ApplyReport = api.post("/v1/orders", &request).await?;
    print_change(printer, &report)
}

/// Version that must be in force for the change to be accepted. It is read once,
/// before the first attempt, so that a retry on another host cannot apply the
/// change on top of a later version.
async fn expected_version(api: &Api, change: &ChangeArgs) -> Result<ConfigVersion, CliError> {
    if let Some(version) = change.expect {
        return Ok(version);
    }
    let status: StatusReport = api.get("/v1/status", QueryMap::default()).await?;
    status.platform.context(CurrentVersionUnknownSnafu)
}

fn print_change(printer: Printer, report: &ApplyReport) -> Result<(), CliError> {
    printer.print(report, |report| {
        let ApplyReport {
            version,
            changed,
            withdrawn,
        } = report;
        let mut lines = vec![match changed {
            true => format!("version {version} accepted"),
            false => format!("nothing to change; version {version} is in force"),
        }];
        let withdrawn = withdrawn.iter().map(|order| replace_control_chars(order));
        lines.extend(withdrawn.map(|order| format!("order withdrawn: {order}")));
        lines
    })
}
