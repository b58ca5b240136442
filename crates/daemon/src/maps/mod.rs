//! Routing maps, configuration and live hosts, as this host knows them.
//!
//! Hosts poll each other. An answer's validity counts from before the poll was
//! sent, so validity nests along any path from the controller.

mod config_watch;
mod controller_hints;
mod host_table;
mod map_context;
mod map_store;
mod poll_client;
mod poll_director;
mod poll_handler;
mod reach_probe;
mod relay_choice;
mod shard_loads;

pub use {
    config_watch::ConfigWatch,
    controller_hints::ControllerHints,
    host_table::{HostTable, digest},
    map_context::{HostSelf, MapContext},
    map_store::{ConfigStore, HeldMap, MapStore},
    poll_client::{LOAD_INTERVAL, PollClient, PollMode},
    poll_director::PollDirector,
    poll_handler::answer_poll,
    reach_probe::probe_pollers,
    relay_choice::{is_relay, upstream_relays, zone_relays},
    shard_loads::ShardLoads,
};
