//! Order in which waiting requests of one class get a slot.

/// Order in which waiting requests of the same class get a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// First in, first out. The default because under overload it refuses requests sooner than
    /// [`Self::NewestFirst`] and completes about as many in time.
    #[default]
    OldestFirst,
    /// Last in, first out.
    NewestFirst,
}
