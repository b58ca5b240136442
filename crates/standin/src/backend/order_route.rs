//! Handles orders of the controller to grant, renew or release shards.

use {
    super::{backend_state::BackendState, request_route::is_past_deadline},
    crate::http::{ConnectionAborted, Reply, json_reply, read_json},
    camphorcove_core::{
        control::{ServerOrder, ServerReply, ServerResult},
        ids::Epoch,
    },
    camphorcove_net::clock::BootClock,
    http::Request,
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Applies an order; answers a release only after running requests for its shards ended.
pub(super) async fn route(
    state: &Arc<BackendState>,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    state.wait_while_frozen().await;
    let headers = request.headers().clone();
    let order: ServerOrder = match read_json(request).await? {
        Ok(order) => order,
        Err(reply) => return Ok(reply),
    };
    // The server may have been frozen while the body was read.
    state.wait_while_frozen().await;
    let service = order_service(&order);
    if is_past_deadline(state, &headers) {
        return Ok(reply(state, service, ServerResult::Expired));
    }
    let checked = !state.settings().unchecked;
    let result = {
        let mut content = state.lock();
        let table = content.grant_tables.entry(service.into()).or_default();
        table.apply(&order, BootClock.now(), checked)
    };
    if let ServerOrder::Release { shards, .. } = &order {
        let shards: Vec<u32> = shards.iter().map(|grant| grant.shard.0).collect();
        wait_for_runs(state, service, &shards).await;
        state.wait_while_frozen().await;
    }
    Ok(reply(state, service, result))
}

/// Waits until no request for the shards is running, because a release is answered
/// only then.
async fn wait_for_runs(state: &BackendState, service: &str, shards: &[u32]) {
    let mut ended = state.run_ended.subscribe();
    loop {
        ended.borrow_and_update();
        if !is_running(state, service, shards) || ended.changed().await.is_err() {
            return;
        }
    }
}

fn is_running(state: &BackendState, service: &str, shards: &[u32]) -> bool {
    let content = state.lock();
    let mut running = content.running.keys();
    running.any(|(name, shard)| name == service && shards.contains(shard))
}

fn reply(state: &BackendState, service: &str, result: ServerResult) -> Reply {
    let epoch = {
        let content = state.lock();
        let table = content.grant_tables.get(service);
        table.map_or(Epoch(0), |table| table.epoch())
    };
    json_reply(&ServerReply {
        result,
        epoch,
        report: state.report(),
    })
}

fn order_service(order: &ServerOrder) -> &str {
    match order {
        ServerOrder::Grant { service, .. }
        | ServerOrder::Renew { service, .. }
        | ServerOrder::Release { service, .. } => service.as_str(),
    }
}
