//! Control port of the backend stand-in: reads and changes its settings, and serves
//! its records.

use {
    super::backend_state::BackendState,
    crate::http::{
        ConnectionAborted, HttpHandler, Reply, json_reply, merge_json, read_json, text_reply,
    },
    camphorcove_net::platform::wire::query_value,
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Handler for requests on the control port.
#[derive(Debug)]
pub(super) struct ControlHandler(pub Arc<BackendState>);

impl HttpHandler for ControlHandler {
    type Permit = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Reply, ConnectionAborted> {
        let state = &self.0;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/control/settings") => Ok(json_reply(&state.settings())),
            (&Method::PATCH, "/control/settings") => patch_settings(state, request).await,
            (&Method::GET, "/control/ledger") => Ok(json_reply(&state.lock().ledger.entries())),
            (&Method::GET, "/control/stats") => Ok(json_reply(&state.lock().stats)),
            (&Method::GET, "/control/intervals") => {
                let service = query_value(request.uri().query(), "service").unwrap_or_default();
                Ok(json_reply(&state.intervals(&service)))
            }
            (&Method::POST, "/control/restart") => {
                state.restart();
                Ok(text_reply(StatusCode::OK, ""))
            }
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "no such control")),
        }
    }
}

async fn patch_settings(
    state: &BackendState,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    let patch = match read_json(request).await? {
        Ok(patch) => patch,
        Err(reply) => return Ok(reply),
    };
    let reply = match merge_json(&state.settings(), patch) {
        Ok(settings) => {
            state.settings.send_replace(settings);
            text_reply(StatusCode::OK, "")
        }
        Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
    };
    Ok(reply)
}
