//! Minimal HTTP/1.1 server used by all stand-ins.

mod http_task;
mod replies;

pub use {
    http_task::{ANY_PORT, ConnectionAborted, HttpHandler, HttpTask, Reply},
    replies::{json_reply, merge_json, read_body, read_json, text_reply},
};
