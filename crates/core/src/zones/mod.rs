//! Traffic between availability zones: which share of a zone's requests goes to servers of other
//! zones, and which zone a request goes to.

mod answer_watch;
mod transfer_planner;
mod transfer_split;
mod transfer_table;
mod utilization_limit;
mod zone_capacity;
mod zone_choice;
mod zone_demand;
mod zone_load;

use {
    transfer_split::{SpareZone, split_excess},
    zone_demand::ZoneDemand,
    zone_load::{ZoneLoad, ZoneRole},
};

pub use {
    answer_watch::{AnswerWatch, WatchedServer},
    transfer_planner::TransferPlanner,
    transfer_table::{RequestZone, TransferTable},
    utilization_limit::utilization_limit,
    zone_capacity::{ServiceCapacity, ZoneCapacity},
    zone_choice::choose_zone_server,
};
