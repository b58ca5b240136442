//! In-process hosts, raw callers and scripted servers for tests of the request path.

#![allow(dead_code, unused_imports, missing_docs)]

mod caller;
mod fake_server;
mod node;

pub use {
    caller::{Answer, RawCaller, call, get},
    fake_server::{FakeServer, ReceivedRequest, ServerAction, ok_reply},
    node::{Cluster, MapSpec, Node, host, service},
};
