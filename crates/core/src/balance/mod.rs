//! Load balancing: chooses a server for requests that any server of a service may take.

mod load_tracker;
mod server_choice;

pub use {
    load_tracker::{LoadReport, LoadTracker},
    server_choice::{ServerCandidate, choose_server},
};
