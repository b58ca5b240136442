//! Collects the faults of one file.

use {
    super::{Fault, FaultKind, fault::quote_short},
    std::ops::Range,
};

/// Maximum number of faults reported for one file. Keeps a binary file from flooding the terminal.
const FAULT_LIMIT: usize = 200;

/// Collects the faults of one file and converts byte offsets into lines and columns.
pub(super) struct FaultSink<'a> {
    file: &'a str,
    text: &'a str,
    /// Faults with the byte offset of each.
    faults: Vec<(usize, Fault)>,
}

/// Contents of a fault without its position.
pub(super) struct FaultDetail {
    pub(super) kind: FaultKind,
    pub(super) found: Option<String>,
    pub(super) allowed: String,
    pub(super) nearest: Option<String>,
}

impl<'a> FaultSink<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            faults: Vec::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Text of the file at a byte range, shortened.
    pub(super) fn source(&self, span: &Range<usize>) -> String {
        quote_short(self.text.get(span.clone()).unwrap_or_default())
    }

    /// Records a fault at a byte range. Faults beyond [`FAULT_LIMIT`] are dropped.
    pub(super) fn push(&mut self, span: &Range<usize>, key: &str, detail: FaultDetail) {
        if self.faults.len() >= FAULT_LIMIT {
            return;
        }
        let (line, column) = self.position(span.start);
        let fault = Fault {
            file: self.file.to_owned(),
            line,
            column,
            key: key.to_owned(),
            kind: detail.kind,
            found: detail.found,
            allowed: detail.allowed,
            nearest: detail.nearest,
        };
        self.faults.push((span.start, fault));
    }

    /// Returns the faults in the order of the file.
    pub(super) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|(start, _)| *start);
        self.faults.into_iter().map(|(_, fault)| fault).collect()
    }

    /// Line and column of a byte offset, both counted from 1; the column is in characters.
    fn position(&self, offset: usize) -> (usize, usize) {
        let mut end = offset.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &self.text[..end];
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }
}
