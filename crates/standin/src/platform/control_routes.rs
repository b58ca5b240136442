//! Control requests of the platform stand-in: faults, host list and call counts. They
//! share the port with the platform protocol.

use {
    super::platform_state::PlatformState,
    crate::http::{ConnectionAborted, Reply, json_reply, read_json, text_reply},
    camphorcove_net::platform::CallKind,
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    std::collections::BTreeMap,
};

/// Path prefix of control requests; faults do not affect them.
pub(super) const CONTROL_PATH: &str = "/control/";

pub(super) async fn route(
    state: &PlatformState,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/control/faults") => Ok(json_reply(&state.faults())),
        (&Method::PUT, "/control/faults") => match read_json(request).await? {
            Ok(faults) => {
                state.set_faults(faults);
                Ok(text_reply(StatusCode::OK, ""))
            }
            Err(reply) => Ok(reply),
        },
        (&Method::PUT, "/control/hosts") => match read_json(request).await? {
            Ok(hosts) => {
                state.lock().hosts.set(hosts);
                Ok(text_reply(StatusCode::OK, ""))
            }
            Err(reply) => Ok(reply),
        },
        (&Method::GET, "/control/calls") => Ok(json_reply(&call_table(state))),
        _ => Ok(text_reply(StatusCode::NOT_FOUND, "no such control")),
    }
}

/// Number of calls received, by kind.
fn call_table(state: &PlatformState) -> BTreeMap<&'static str, u64> {
    let kinds = CallKind::ALL.into_iter();
    kinds
        .map(|kind| (kind.name(), state.calls.calls(kind)))
        .collect()
}
