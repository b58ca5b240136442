//! State of this host, shared by its tasks.

mod admission_tracking;
mod body_budget;
mod change_log;
mod config_copy;
mod config_tracking;
mod evacuation_tracking;
mod fleet_tracking;
mod fleet_update;
mod host_counters;
mod host_state;
mod leaving_tracking;
mod limit_tracking;
mod load_report;
mod log_rate_limiter;
mod owner_refusals;
mod pause_tracking;
mod placement_counts;
mod planned_stop;
mod reach_tracking;
mod refusal_counts;
mod relay_peers;
mod seen_versions;
mod server_pick;
mod slot_waits;
mod store_contact;
mod store_feed;
mod suspect_news;
mod suspect_tracking;
mod warmup_tracking;
mod zone_tracking;

pub use {
    body_budget::{BodyBudget, BodyReservation},
    change_log::{ChangeLog, VersionedChange},
    config_copy::ConfigCopy,
    evacuation_tracking::EvacuationStatus,
    fleet_tracking::ListScope,
    fleet_update::FleetUpdate,
    host_counters::HostCounters,
    host_state::HostState,
    leaving_tracking::LeavingServer,
    limit_tracking::SharedLimit,
    load_report::{LimitReport, LoadReport, ReportScope, ServerHash, ServerLoad, WarmupReport},
    log_rate_limiter::{LogRateLimiter, LogTopic},
    planned_stop::PlannedStop,
    seen_versions::{SeenVersions, StoreKind, VersionSpan},
    server_pick::{PickQuery, PickRefusal, ServerPermit, ServerPick},
    slot_waits::{SlotWait, WAIT_BUCKETS_MS, WaitTimes},
    store_contact::StoreContact,
    store_feed::StoreFeed,
    suspect_news::SuspectNews,
    zone_tracking::{SendCause, ServerCapacity, ZoneSends},
};
