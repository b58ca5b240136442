//! Routing maps and configuration held by this host.

mod map_store;

pub use map_store::{ConfigStore, HeldMap, MapStore};
