//! Order in which waiting requests get a slot.

/// Order within one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// The request that has waited longest goes first.
    #[default]
    OldestFirst,
    /// The request that arrived last goes first.
    NewestFirst,
}
