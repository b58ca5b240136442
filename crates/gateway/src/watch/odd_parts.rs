//! Parts of the store's answers that cannot be read.

use camphorcove_platform::ObjectListing;

/// Logs once that answers about a kind have parts which cannot be read, until a list has none.
#[derive(Debug, Default)]
pub struct OddParts {
    has_unnamed: bool,
    has_gap: bool,
}

impl OddParts {
    /// Logs what cannot be read in a list, and that an incomplete list is complete again.
    pub fn report_list(&mut self, kind: &str, listing: &ObjectListing) {
        match &listing.gap {
            Some(gap) if !self.has_gap => {
                log::warn!(kind, revision:% = listing.version, objects = listing.objects.len(), reason:% = gap; "list of store objects is incomplete, keeping the known ones that it lacks");
            }
            None if self.has_gap => {
                log::info!(kind, revision:% = listing.version; "list of store objects is complete again");
            }
            _ => {}
        }
        self.has_gap = listing.gap.is_some();
        match &listing.unnamed {
            Some(reason) => self.report_unnamed(kind, reason),
            None => self.has_unnamed = false,
        }
    }

    /// Whether the last list that was read lacks objects.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Logs that parts of an answer name no object.
    pub fn report_unnamed(&mut self, kind: &str, reason: &str) {
        if !self.has_unnamed {
            log::warn!(kind, reason; "ignoring parts of store answers that name no object");
        }
        self.has_unnamed = true;
    }
}
