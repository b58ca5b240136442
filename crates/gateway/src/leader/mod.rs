//! Leader election, and the work of the leader.
//!
//! One host at a time leads. It decides which server owns which keys, keeps this assignment
//! in the platform's store and sends changes and load digests to all other hosts.

mod candidacy;
mod host_table;
mod leader_actor;
mod leader_handlers;
mod leader_messages;
mod leader_reports;
mod leader_terms;
mod limit_table;
mod memory_check;
mod order_sender;
mod owner_store;
mod owner_update;
mod panic_guard;
mod takeover;
mod warmup_table;
mod zone_planning;

pub use {
    candidacy::Candidacy,
    host_table::HostTable,
    leader_actor::LeaderActor,
    leader_messages::{
        DigestReceived, ElectorChangeReceived, OwnerChangeReceived, OwnersRead, ReportReceived,
        ResendRequested, Resign, ShareSuspects, Tick,
    },
    owner_store::{OwnerStore, WriteOutcome},
};
