//! Writes results to stdout, as text or JSON.

use {
    crate::error::CliError,
    comfy_table::{Table, presets},
    serde::Serialize,
    std::io::{self, Write},
};

/// Writes results in the format chosen by `--json`.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    json: bool,
}

impl Printer {
    /// Prints JSON if `json`, else human-readable text.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a value as JSON, or as the text that `lines` renders from it.
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

    /// Prints bytes unchanged, also with `--json`.
    pub fn print_raw(self, text: &[u8]) -> Result<(), CliError> {
        let mut out = io::stdout().lock();
        out.write_all(text)?;
        out.flush()?;
        Ok(())
    }
}

/// Renders a table, one line per row. Control characters in cells are replaced.
pub fn table(header: &[&str], rows: Vec<Vec<String>>) -> Vec<String> {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.iter().map(|title| title.to_uppercase()));
    for row in rows {
        table.add_row(row.iter().map(|cell| replace_control_chars(cell)));
    }
    table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect()
}

/// Text of an optional value; `-` for `None`.
pub fn text_or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), T::to_string)
}

/// Replaces control characters: text from a host could contain terminal escape
/// sequences.
pub fn replace_control_chars(text: &str) -> String {
    let replaced = text
        .chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c });
    replaced.collect()
}

/// Maximum length in characters of a cell whose content is of unbounded length.
const MAX_CELL_CHARS: usize = 100;

/// Truncates a text to [`MAX_CELL_CHARS`] for a table cell.
pub fn truncate_cell(text: &str) -> String {
    if text.chars().count() <= MAX_CELL_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_CELL_CHARS).collect();
    format!("{start}...")
}
