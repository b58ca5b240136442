//! Table of results.

use {
    crate::error::{BenchError, WriteFailedSnafu},
    comfy_table::{Table, presets::ASCII_MARKDOWN},
    snafu::ResultExt,
    std::{path::PathBuf, time::Duration},
};

/// Options for the output of results besides standard output.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct OutputOptions {
    /// Also writes the results to this file, as CSV.
    #[arg(long)]
    pub csv: Option<PathBuf>,
}

/// Results in rows and named columns.
#[derive(Clone, Debug)]
pub struct ResultTable {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl ResultTable {
    /// Creates a table without rows.
    pub fn new(columns: &[&'static str]) -> Self {
        Self {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row, which must have one cell per column.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the table in Markdown.
    pub fn text(&self) -> String {
        let mut table = Table::new();
        table.load_style(ASCII_MARKDOWN);
        table.set_header(&self.columns);
        table.add_rows(&self.rows);
        table.to_string()
    }

    /// Returns the table as CSV with a header line.
    pub fn csv(&self) -> String {
        let mut text = self.columns.join(",");
        text.push('\n');
        for row in &self.rows {
            let cells: Vec<String> = row.iter().map(|cell| csv_cell(cell)).collect();
            text.push_str(&cells.join(","));
            text.push('\n');
        }
        text
    }

    /// Prints the table and writes the CSV file if the options name one.
    pub fn print_and_save(&self, options: &OutputOptions) -> Result<(), BenchError> {
        println!("{}", self.text());
        let Some(path) = &options.csv else {
            return Ok(());
        };
        std::fs::write(path, self.csv()).context(WriteFailedSnafu {
            path: path.display().to_string(),
        })
    }
}

/// Quotes a cell if it contains a comma, a quotation mark or a line break.
fn csv_cell(cell: &str) -> String {
    if cell.contains([',', '"', '\n']) {
        return format!("\"{}\"", cell.replace('"', "\"\""));
    }
    cell.to_owned()
}

/// Formats a duration in milliseconds with two decimals, for columns that end in `_ms`.
pub fn format_millis(duration: Duration) -> String {
    format!("{:.2}", duration.as_secs_f64() * 1_000.0)
}
