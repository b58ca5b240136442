//! The author of a change, as named in audit records.

/// Who makes a change, why and when, as stated in the audit record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// Key id of the operator, or the id of the host if no operator is involved.
    pub actor: String,
    /// Reason stated for the change; may be empty.
    pub reason: String,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_millis: u64,
}

impl Author {
    /// Creates the author of a change made at the current wall time.
    pub fn now(actor: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            actor: actor.into(),
            reason: reason.into(),
            wall_millis: crate::clock::wall_millis(),
        }
    }
}
