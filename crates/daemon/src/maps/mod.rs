//! Distribution of routing maps, configuration and host liveness between hosts.
//!
//! Hosts poll each other: relays poll the controllers, and other hosts poll a relay. The
//! polling host counts the validity in an answer from before it sent the poll, so along any
//! path from the controller a copy never outlives the copy that it was made from.

mod config_watch;
mod controller_hints;
mod host_table;
mod map_context;
mod map_store;
mod poll_client;
mod poll_handler;
mod poll_scheduler;
mod reachability_probe;
mod relay_selection;
mod shard_loads;

pub use {
    config_watch::ConfigWatch,
    controller_hints::ControllerHints,
    host_table::{HostTable, digest},
    map_context::{LocalHost, MapContext},
    map_store::{ConfigStore, MapStore, TimedMap},
    poll_client::{LOAD_INTERVAL, PollClient, PollMode},
    poll_handler::answer_poll,
    poll_scheduler::PollScheduler,
    reachability_probe::probe_pollers,
    relay_selection::{is_relay, upstream_relays, zone_relays},
    shard_loads::ShardLoads,
};
