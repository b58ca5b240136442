//! Commands that list, verify and export the audit trail.

use {
    super::api::Api,
    crate::{
        args::{AuditCommand, VerifyArgs},
        error::{AuditFaultsSnafu, CliError, InvalidInputSnafu, JsonSnafu, ReadFileSnafu},
        output::{Printer, replace_control_chars, table, truncate_cell, utc_text},
    },
    camphorcove_core::audit::{AuditRecord, ChainFault, verify_chain},
    camphorcove_net::{
        config::AuditPage,
        operator::{QueryMap, VerifyReport},
    },
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Maximum number of records in one request.
const PAGE_SIZE: u64 = 500;

/// Runs an `audit` command.
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
    limit: u64,
) -> Result<(), CliError> {
    let end = from.saturating_add(limit);
    let mut records: Vec<AuditRecord> = Vec::new();
    let mut next = Some(from);
    while let Some(number) = next.filter(|number| *number < end) {
        let page = page(api, stream, number, end - number).await?;
        records.extend(page.records);
        next = page.next;
    }
    printer.print(&records, |records| {
        let rows = records.iter().map(record_row);
        let header = ["number", "time", "actor", "action", "reason"];
        table(&header, rows.collect())
    })
}

async fn page(api: &Api, stream: &str, from: u64, limit: u64) -> Result<AuditPage, CliError> {
    let query = QueryMap::default()
        .with("stream", stream)
        .with("from", from)
        .with("limit", limit.min(PAGE_SIZE));
    api.get("/v1/audit", query).await
}

fn record_row(record: &AuditRecord) -> Vec<String> {
    vec![
        record.number.to_string(),
        utc_text(record.wall_millis),
        record.actor.clone(),
        truncate_cell(&serde_json::to_string(&record.action).unwrap_or_default()),
        record.reason.clone(),
    ]
}

async fn export(api: &Api, printer: Printer, stream: &str) -> Result<(), CliError> {
    let mut next = Some(1);
    while let Some(number) = next {
        let page = page(api, stream, number, PAGE_SIZE).await?;
        let mut text = Vec::new();
        for record in &page.records {
            serde_json::to_writer(&mut text, record).context(JsonSnafu)?;
            text.push(b'\n');
        }
        printer.print_raw(&text)?;
        next = page.next;
    }
    Ok(())
}

async fn verify(api: &Api, printer: Printer, args: &VerifyArgs) -> Result<(), CliError> {
    let reports = match &args.stream {
        Some(stream) => vec![verify_stream(api, stream, args).await?],
        None => {
            let streams: Vec<String> = api.get("/v1/audit/streams", QueryMap::default()).await?;
            let mut reports = Vec::new();
            for stream in streams {
                let report = match verify_stream(api, &stream, args).await {
                    Err(error) if error.concerns_one_object() => unreadable(stream, &error),
                    verified => verified?,
                };
                reports.push(report);
            }
            reports
        }
    };
    print_reports(printer, &reports)
}

/// Reads a stream page by page and verifies it in the client: for a stream of
/// several years, a single request would exceed the request time limit.
async fn verify_stream(
    api: &Api,
    stream: &str,
    args: &VerifyArgs,
) -> Result<VerifyReport, CliError> {
    let mut records = Vec::new();
    let mut next = Some(1);
    while let Some(number) = next {
        let page = page(api, stream, number, PAGE_SIZE).await?;
        records.extend(page.records);
        next = page.next;
    }
    Ok(verify_records(stream.to_owned(), &records, args))
}

/// Report of a stream whose object cannot be read; the other streams are verified all the same.
fn unreadable(stream: String, error: &CliError) -> VerifyReport {
    VerifyReport {
        stream,
        report: verify_chain(&[], &[]),
        texts: vec![format!("cannot be read: {error}")],
    }
}

fn verify_records(stream: String, records: &[AuditRecord], args: &VerifyArgs) -> VerifyReport {
    let report = verify_chain(records, &args.anchors);
    VerifyReport {
        stream,
        texts: report.faults.iter().map(ChainFault::to_string).collect(),
        report,
    }
}

/// Verifies an exported file without contacting a host.
pub fn verify_file(file: &Path, args: &VerifyArgs) -> Result<VerifyReport, CliError> {
    let text = fs::read(file).context(ReadFileSnafu { path: file })?;
    let name = file.display().to_string();
    let records = parse_lines(&name, &text)?;
    Ok(verify_records(name, &records, args))
}

fn parse_lines(name: &str, text: &[u8]) -> Result<Vec<AuditRecord>, CliError> {
    let mut records = Vec::new();
    for (index, line) in text.split(|byte| *byte == b'\n').enumerate() {
        if line.is_empty() {
            continue;
        }
        let record = serde_json::from_slice(line).map_err(|error| {
            let problem = format!("{name}:{}: not an audit record: {error}", index + 1);
            InvalidInputSnafu { problem }.build()
        })?;
        records.push(record);
    }
    Ok(records)
}

/// Prints verification reports; fails if one of them lists faults.
pub fn print_reports(printer: Printer, reports: &[VerifyReport]) -> Result<(), CliError> {
    printer.print(&reports, |reports| {
        let mut lines = Vec::new();
        for report in *reports {
            lines.push(summary(report));
            lines.extend(
                report
                    .texts
                    .iter()
                    .map(|text| format!("  {}", replace_control_chars(text))),
            );
        }
        lines
    })?;
    let count = reports.iter().map(|report| report.texts.len()).sum();
    match count {
        0 => Ok(()),
        count => AuditFaultsSnafu { count }.fail(),
    }
}

/// Line with the number of records and faults, and the last record for `--anchor`.
fn summary(report: &VerifyReport) -> String {
    let last = report.report.last.map_or_else(
        || "no records".to_owned(),
        |last| format!("last {}:{}", last.number, last.hash),
    );
    let (records, faults) = (report.report.records, report.texts.len());
    format!(
        "{}: {records} records, {faults} faults, {last}",
        replace_control_chars(&report.stream)
    )
}
