//! Writes results to stdout.

use {
    crate::error::CliError,
    comfy_table::{Table, presets},
    serde::Serialize,
    std::io::{self, Write},
};

/// Writes results as JSON or as text.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    json: bool,
}

impl Printer {
    /// Printer for JSON or for people.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a value as JSON, or the lines that describe it.
    pub fn print<T: Serialize>(
        self,
        value: &T,
        lines: impl FnOnce(&T) -> Vec<String>,
    ) -> Result<(), CliError> {
        let mut out = io::stdout().lock();
        if self.json {
            let text = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
            writeln!(out, "{text}")?;
            return Ok(());
        }
        for line in lines(value) {
            writeln!(out, "{line}")?;
        }
        Ok(())
    }

    /// Prints text as it is.
    pub fn print_raw(self, text: &[u8]) -> Result<(), CliError> {
        let mut out = io::stdout().lock();
        out.write_all(text)?;
        out.flush()?;
        Ok(())
    }
}

/// Lines of a table.
pub fn table(header: &[&str], rows: Vec<Vec<String>>) -> Vec<String> {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.iter().map(|title| title.to_uppercase()));
    for row in rows {
        table.add_row(row.iter().map(|cell| plain(cell)));
    }
    table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect()
}

/// Text of an optional value.
pub fn optional<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), T::to_string)
}

/// Replaces control characters, which could change the terminal's state.
pub fn plain(text: &str) -> String {
    let replaced = text
        .chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c });
    replaced.collect()
}

/// Longest text of a cell whose content has no bound, in characters.
const CELL_LIMIT: usize = 100;

/// Shortens a text for a table.
pub fn shorten(text: &str) -> String {
    if text.chars().count() <= CELL_LIMIT {
        return text.to_owned();
    }
    let start: String = text.chars().take(CELL_LIMIT).collect();
    format!("{start}...")
}
