//! Rows of results.

use {
    crate::error::{BenchError, NotWrittenSnafu},
    comfy_table::{Table, presets::ASCII_MARKDOWN},
    snafu::ResultExt,
    std::{path::PathBuf, time::Duration},
};

/// Where results go besides standard output.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct OutputOptions {
    /// Writes the results to this file as CSV, too.
    #[arg(long)]
    pub csv: Option<PathBuf>,
}

/// Results with named columns.
#[derive(Clone, Debug)]
pub struct ResultTable {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl ResultTable {
    /// Empty table.
    pub fn new(columns: &[&'static str]) -> Self {
        Self {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row with one cell per column.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// The table as text.
    pub fn text(&self) -> String {
        let mut table = Table::new();
        table.load_style(ASCII_MARKDOWN);
        table.set_header(&self.columns);
        table.add_rows(&self.rows);
        table.to_string()
    }

    /// The table as CSV with a header line.
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

    /// Prints the table and writes the CSV file if one is wanted.
    pub fn publish(&self, options: &OutputOptions) -> Result<(), BenchError> {
        println!("{}", self.text());
        let Some(path) = &options.csv else {
            return Ok(());
        };
        std::fs::write(path, self.csv()).context(NotWrittenSnafu {
            path: path.display().to_string(),
        })
    }
}

fn csv_cell(cell: &str) -> String {
    if cell.contains([',', '"', '\n']) {
        return format!("\"{}\"", cell.replace('"', "\"\""));
    }
    cell.to_owned()
}

/// A time in milliseconds, as in columns that end in `_ms`.
pub fn millis(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1_000.0)
}
