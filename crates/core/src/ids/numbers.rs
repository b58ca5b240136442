//! Numbered ids and versions.

value_type!(
    /// A hash range of a service's keys.
    ShardId(u32)
);
value_type!(
    /// A controller's term in a scope; rises with each takeover.
    Epoch(u64)
);
value_type!(
    /// A version of the applied configuration; 0 means none.
    ConfigVersion(u64)
);
value_type!(
    /// A version of a platform object, as the platform numbers it.
    ObjectVersion(u64)
);
