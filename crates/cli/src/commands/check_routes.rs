//! Check of a configuration of the platform before it is sent.

use {
    crate::{
        args::CheckRoutesArgs,
        conf::JsonPositions,
        error::{CliError, InvalidInputSnafu, ReadFileSnafu, StoreSnafu},
        output::{Printer, replace_control_chars},
    },
    camphorcove_platform::{
        CONFIG_KIND, CONFIG_NAME, ConfigDifference, FindingGrade, StoreClient, StoreError,
        check_configuration, diff_configurations,
    },
    serde::Serialize,
    serde_json::Value,
    snafu::{OptionExt, ResultExt},
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Longest time for a connection to the store, and for its answer; an operator waits for it.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct RoutesReport {
    file: String,
    errors: usize,
    warnings: usize,
    findings: Vec<FindingRow>,
    /// `None` if there was nothing to compare with.
    differences: Option<Vec<DifferenceRow>>,
}

#[derive(Serialize)]
struct FindingRow {
    grade: String,
    place: String,
    line: usize,
    column: usize,
    problem: String,
}

#[derive(Serialize)]
struct DifferenceRow {
    place: String,
    old: Option<String>,
    new: Option<String>,
}

/// Checks a file and compares it with another version.
pub fn run(args: &CheckRoutesArgs, printer: Printer) -> Result<(), CliError> {
    let (text, spec) = read_json(&args.file)?;
    let has_retry_budget = match &args.settings {
        Some(settings) => Some(read_retry_budget(settings)?),
        None => None,
    };
    let known = match (&args.against, args.store) {
        (Some(file), _) => Some(read_json(file)?.1),
        (None, Some(store)) => Some(read_in_force(store)?),
        (None, None) => None,
    };
    let positions = JsonPositions::new(&text);
    let mut report = RoutesReport {
        file: args.file.display().to_string(),
        errors: 0,
        warnings: 0,
        findings: Vec::new(),
        differences: known.map(|known| {
            let differences = diff_configurations(&known, &spec);
            differences.into_iter().map(difference_row).collect()
        }),
    };
    for finding in check_configuration(&spec, has_retry_budget) {
        match finding.grade {
            FindingGrade::Error => report.errors += 1,
            FindingGrade::Warning => report.warnings += 1,
        }
        let (line, column) = positions.find(&finding.place);
        report.findings.push(FindingRow {
            grade: finding.grade.to_string(),
            place: finding.place,
            line,
            column,
            problem: finding.problem,
        });
    }
    printer.print(&report, text_lines)?;
    let (errors, warnings) = (report.errors, report.warnings);
    if errors == 0 && (warnings == 0 || !args.strict) {
        return Ok(());
    }
    let problem = format!("the configuration has {errors} errors and {warnings} warnings");
    InvalidInputSnafu { problem }.fail()
}

fn text_lines(report: &RoutesReport) -> Vec<String> {
    let file = &report.file;
    let mut lines = Vec::new();
    for row in &report.findings {
        let FindingRow {
            grade,
            place,
            line,
            column,
            problem,
        } = row;
        let line = format!("{file}:{line}:{column}: {grade}: {place}: {problem}");
        lines.push(replace_control_chars(&line));
    }
    for row in report.differences.iter().flatten() {
        let place = &row.place;
        let line = match (&row.old, &row.new) {
            (Some(old), Some(new)) => format!("~ {place}: {old} -> {new}"),
            (Some(old), None) => format!("- {place}: {old}"),
            (None, Some(new)) => format!("+ {place}: {new}"),
            (None, None) => continue,
        };
        lines.push(replace_control_chars(&line));
    }
    if report.differences.as_ref().is_some_and(Vec::is_empty) {
        lines.push("no differences".to_owned());
    }
    let (errors, warnings) = (report.errors, report.warnings);
    lines.push(format!("{file}: {errors} errors, {warnings} warnings"));
    lines
}

fn difference_row(difference: ConfigDifference) -> DifferenceRow {
    DifferenceRow {
        place: difference.place,
        old: difference.old,
        new: difference.new,
    }
}

fn read_json(file: &Path) -> Result<(String, Value), CliError> {
    let text = fs::read_to_string(file).context(ReadFileSnafu { path: file })?;
    match serde_json::from_str(&text) {
        Ok(spec) => Ok((text, spec)),
        Err(reason) => {
            let (name, line, column) = (file.display(), reason.line(), reason.column());
            let problem = format!("{name}:{line}:{column}: not JSON: {reason}");
            InvalidInputSnafu { problem }.fail()
        }
    }
}

/// Whether the settings of a host let it retry requests at all.
fn read_retry_budget(file: &Path) -> Result<bool, CliError> {
    let text = fs::read_to_string(file).context(ReadFileSnafu { path: file })?;
    let table: toml::Table = match text.parse() {
        Ok(table) => table,
        Err(reason) => {
            let problem = format!("{}: {reason}", file.display());
            return InvalidInputSnafu { problem }.fail();
        }
    };
    let mut total = 0.0;
    for key in ["repeat_ratio", "repeat_slack"] {
        let value = table.get(key);
        let number = value.and_then(|value| {
            let whole = value.as_integer().map(|whole| whole as f64);
            value.as_float().or(whole)
        });
        let problem = format!("{}: {key} is missing or no number", file.display());
        total += number.context(InvalidInputSnafu { problem })?;
    }
    Ok(total > 0.0)
}

fn read_in_force(store: SocketAddr) -> Result<Value, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let client = StoreClient::new(store, CONNECT_LIMIT);
    let reading = client.get(CONFIG_KIND, CONFIG_NAME, CALL_LIMIT);
    let stored = runtime.block_on(reading).context(StoreSnafu)?;
    match stored.fault {
        Some(reason) => Err(StoreError::Unreadable { reason }).context(StoreSnafu),
        None => Ok(stored.content),
    }
}
