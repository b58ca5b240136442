//! Routing maps: which server owns a shard, and which host forwards to a server.

mod map_version;
mod routing_map;

pub use {
    map_version::MapVersion,
    routing_map::{RoutingMap, ServerEntry, ServerPhase, ShardEntry},
};
