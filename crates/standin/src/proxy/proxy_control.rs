//! Control port of the proxy: reads and changes its faults, and serves its counters.

use {
    super::proxy_state::ProxyState,
    crate::http::{
        ConnectionAborted, HttpHandler, Reply, json_reply, merge_json, read_json, text_reply,
    },
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    std::sync::Arc,
};

impl HttpHandler for ProxyState {
    type Permit = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Reply, ConnectionAborted> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/settings") => {
                let settings = self.settings.borrow().clone();
                Ok(json_reply(&settings))
            }
            (&Method::PATCH, "/control/settings") => patch_settings(&self, request).await,
            (&Method::GET, "/control/stats") => Ok(json_reply(&self.stats())),
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "no such control")),
        }
    }
}

async fn patch_settings(
    state: &ProxyState,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    let patch = match read_json(request).await? {
        Ok(patch) => patch,
        Err(reply) => return Ok(reply),
    };
    let settings = state.settings.borrow().clone();
    let reply = match merge_json(&settings, patch) {
        Ok(settings) => {
            state.settings.send_replace(settings);
            text_reply(StatusCode::OK, "")
        }
        Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
    };
    Ok(reply)
}
