//! Commands of the audit trail.

use {
    super::api::Api,
    crate::{
        args::{AuditCommand, VerifyArgs},
        error::{AuditFaultsSnafu, CliError, ReadFileSnafu, SettingsSnafu},
        output::{Printer, plain, table},
    },
    camphorcove_core::audit::{AuditRecord, ChainFault, verify_chain},
    camphorcove_net::operator::{QueryMap, VerifyReport},
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Records asked for at once by an export.
const EXPORT_PAGE: usize = 500;

/// Runs a command of the audit trail.
pub async fn run(api: &Api, printer: Printer, command: AuditCommand) -> Result<(), CliError> {
    match command {
        AuditCommand::Streams => {
            let streams: Vec<String> = api.get("/v1/audit/streams", QueryMap::default()).await?;
            printer.print(&streams, Vec::clone)
        }
        AuditCommand::List {
            stream,
            from,
            limit,
        } => list(api, printer, &stream, from, limit).await,
        AuditCommand::Verify(args) => verify(api, printer, &args).await,
        AuditCommand::Export { stream } => export(api, printer, &stream).await,
    }
}

async fn list(
    api: &Api,
    printer: Printer,
    stream: &str,
    from: u64,
    limit: usize,
) -> Result<(), CliError> {
    let mut records: Vec<AuditRecord> = Vec::new();
    while records.len() < limit {
        let next = records.last().map_or(from, |record| record.number + 1);
        let wanted = EXPORT_PAGE.min(limit - records.len());
        let page: Vec<AuditRecord> = api.get("/v1/audit", page(stream, next, wanted)).await?;
        let complete = page.len() < wanted;
        records.extend(page);
        if complete {
            break;
        }
    }
    printer.print(&records, |records| {
        let rows = records.iter().map(record_row);
        table(
            &["number", "time (ms)", "actor", "action", "reason"],
            rows.collect(),
        )
    })
}

fn page(stream: &str, from: u64, limit: usize) -> QueryMap {
    QueryMap::default()
        .with("stream", stream)
        .with("from", from)
        .with("limit", limit)
}

fn record_row(record: &AuditRecord) -> Vec<String> {
    vec![
        record.number.to_string(),
        record.wall_millis.to_string(),
        record.actor.clone(),
        serde_json::to_string(&record.action).unwrap_or_default(),
        record.reason.clone(),
    ]
}

async fn export(api: &Api, printer: Printer, stream: &str) -> Result<(), CliError> {
    let mut next = 1;
    loop {
        let text = api
            .get_text("/v1/audit/export", page(stream, next, EXPORT_PAGE))
            .await?;
        printer.print_raw(&text)?;
        let records = parse_lines("the answer", &text)?;
        match records.last() {
            Some(last) if records.len() == EXPORT_PAGE => next = last.number + 1,
            _ => return Ok(()),
        }
    }
}

async fn verify(api: &Api, printer: Printer, args: &VerifyArgs) -> Result<(), CliError> {
    let reports = match &args.stream {
        Some(stream) => vec![verify_stream(api, stream, args).await?],
        None => {
            let streams: Vec<String> = api.get("/v1/audit/streams", QueryMap::default()).await?;
            let mut reports = Vec::new();
            for stream in streams {
                reports.push(verify_stream(api, &stream, args).await?);
            }
            reports
        }
    };
    finish(printer, &reports)
}

async fn verify_stream(
    api: &Api,
    stream: &str,
    args: &VerifyArgs,
) -> Result<VerifyReport, CliError> {
    let anchors = args.anchors.iter();
    let anchors: Vec<String> = anchors
        .map(|anchor| format!("{}:{}", anchor.number, anchor.hash))
        .collect();
    let mut query = QueryMap::default().with("stream", stream);
    if !anchors.is_empty() {
        query = query.with("anchor", anchors.join(","));
    }
    api.get("/v1/audit/verify", query).await
}

/// Verifies an exported file without a host.
pub fn verify_file(file: &Path, args: &VerifyArgs) -> Result<VerifyReport, CliError> {
    let text = fs::read(file).context(ReadFileSnafu { path: file })?;
    let name = file.display().to_string();
    let records = parse_lines(&name, &text)?;
    let report = verify_chain(&records, &args.anchors);
    Ok(VerifyReport {
        stream: name,
        texts: report.faults.iter().map(ChainFault::to_string).collect(),
        report,
    })
}

fn parse_lines(name: &str, text: &[u8]) -> Result<Vec<AuditRecord>, CliError> {
    let mut records = Vec::new();
    for (index, line) in text.split(|byte| *byte == b'\n').enumerate() {
        if line.is_empty() {
            continue;
        }
        let record = serde_json::from_slice(line).map_err(|error| {
            let what = format!("{name}:{}: not an audit record: {error}", index + 1);
            SettingsSnafu { what }.build()
        })?;
        records.push(record);
    }
    Ok(records)
}

/// Prints reports; fails if one has faults.
pub fn finish(printer: Printer, reports: &[VerifyReport]) -> Result<(), CliError> {
    printer.print(&reports, |reports| {
        let mut lines = Vec::new();
        for report in *reports {
            lines.push(summary(report));
            lines.extend(report.texts.iter().map(|text| format!("  {}", plain(text))));
        }
        lines
    })?;
    let count = reports.iter().map(|report| report.texts.len()).sum();
    match count {
        0 => Ok(()),
        count => AuditFaultsSnafu { count }.fail(),
    }
}

fn summary(report: &VerifyReport) -> String {
    let last = report.report.last.map_or_else(
        || "no records".to_owned(),
        |last| format!("last {}:{}", last.number, last.hash),
    );
    let (records, faults) = (report.report.records, report.texts.len());
    format!(
        "{}: {records} records, {faults} faults, {last}",
        plain(&report.stream)
    )
}
