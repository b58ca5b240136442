//! Numeric ids and versions.

value_type!(
    /// Number of a shard: one of the equal hash ranges that divide a service's keys.
    ShardId(u32)
);
value_type!(
    /// Number of a controller's term in a scope; it rises with each takeover.
    Epoch(u64)
);
value_type!(
    /// Version of the applied configuration; 0 means that none is applied.
    ConfigVersion(u64)
);
value_type!(
    /// Version of an object stored on the platform, as the platform numbers it.
    ObjectVersion(u64)
);
