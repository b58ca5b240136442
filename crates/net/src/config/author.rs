//! Who makes a change and why.

/// Who makes a change and why; both go into the audit record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// Operator's key id, or the host that acts.
    pub actor: String,
    /// Reason given.
    pub reason: String,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_millis: u64,
}

impl Author {
    /// Author of a change made now.
    pub fn now(actor: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            actor: actor.into(),
            reason: reason.into(),
            wall_millis: crate::clock::wall_millis(),
        }
    }
}
