//! Choice of a server for requests that any server may take.

mod load_cell;
mod server_choice;

pub use {
    load_cell::{LoadCell, LoadReport},
    server_choice::{ServerCandidate, choose_server},
};
