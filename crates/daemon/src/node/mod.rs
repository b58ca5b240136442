//! Assembly of the daemon from its parts.

mod key_files;
mod node_view;
mod run_node;

pub use {
    key_files::{read_operator_keys, read_peer_key},
    node_view::NodeView,
    run_node::run_node,
};
