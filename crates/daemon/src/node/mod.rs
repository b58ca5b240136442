//! Startup of the daemon: creates its components, connects them and runs them.

mod key_files;
mod node_view;
mod run_node;

pub use {
    key_files::{read_operator_keys, read_peer_key},
    node_view::NodeView,
    run_node::run_node,
};
