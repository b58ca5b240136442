//! Small HTTP/1.1 server that all stand-ins share.

mod http_task;
mod replies;

pub use {
    http_task::{ANY_PORT, ConnectionCut, HttpHandler, HttpTask, Reply},
    replies::{json_reply, merge_json, read_body, read_json, text_reply},
};
