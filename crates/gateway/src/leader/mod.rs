//! This host as the leader, or as one that may become it.

mod candidacy;
mod host_table;
mod leader_actor;
mod leader_handlers;
mod leader_messages;
mod leader_reports;
mod order_sender;
mod owner_store;
mod takeover;

pub use {
    candidacy::Candidacy,
    host_table::HostTable,
    leader_actor::LeaderActor,
    leader_messages::{
        DigestReceived, OwnerChangeReceived, OwnersRead, ReportReceived, ResendRequested, Resign,
        Tick,
    },
    owner_store::OwnerStore,
};
