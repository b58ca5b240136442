//! Hosts, raw callers and scripted servers for the request path's tests.

#![allow(dead_code, unused_imports, missing_docs)]

mod caller;
mod fake_server;
mod node;

pub use {
    caller::{Answer, RawCaller, call, get},
    fake_server::{Act, FakeServer, SeenRequest, ok_reply},
    node::{Cluster, MapSpec, Node, host, service},
};
