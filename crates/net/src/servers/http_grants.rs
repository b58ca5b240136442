//! Sends orders to backend servers over HTTP.

use {
    super::{GrantProtocol, ServerTime, TimestampedReply},
    crate::http::{ExchangeError, HttpClient},
    bytes::Bytes,
    camphorcove_core::{
        control::{ServerFailure, ServerOrder},
        headers,
        ids::ServiceName,
    },
    http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Path on a backend server to which orders are posted.
pub const ORDER_PATH: &str = "/camphorcove/order";

/// Sends orders as JSON over persistent connections, without retries.
///
/// A retry could deliver an order after the grant it belongs to has ended.
#[derive(Clone, Debug, Default)]
pub struct HttpGrants {
    client: HttpClient,
}

impl GrantProtocol for HttpGrants {
    async fn send(
        &self,
        address: SocketAddr,
        order: &ServerOrder,
        deadline: Option<ServerTime>,
        timeout: Duration,
    ) -> Result<TimestampedReply, ServerFailure> {
        let request = order_request(order, deadline).ok_or(ServerFailure::NotSent)?;
        let reply = self
            .client
            .exchange(address, request, timeout)
            .await
            .map_err(|error| to_server_failure(address, &error))?;
        parse_reply(&reply).ok_or_else(|| invalid_reply(address, &reply))
    }
}

fn order_request(
    order: &ServerOrder,
    deadline: Option<ServerTime>,
) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(order).ok()?;
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(ORDER_PATH)
        .header(CONTENT_TYPE, "application/json")
        .header(headers::SERVER_SERVICE, order_service(order).as_str());
    if let Some(deadline) = deadline {
        builder = builder.header(headers::SERVER_DEADLINE, deadline.0);
    }
    builder.body(Full::new(body.into())).ok()
}

fn order_service(order: &ServerOrder) -> &ServiceName {
    match order {
        ServerOrder::Grant { service, .. }
        | ServerOrder::Renew { service, .. }
        | ServerOrder::Release { service, .. } => service,
    }
}

/// Parses a reply; `None` unless it has status 200, a clock reading and a valid body.
fn parse_reply(reply: &Response<Bytes>) -> Option<TimestampedReply> {
    if reply.status() != StatusCode::OK {
        return None;
    }
    let clock = reply.headers().get(headers::SERVER_CLOCK)?;
    let clock = clock.to_str().ok()?.parse().ok()?;
    Some(TimestampedReply {
        reply: serde_json::from_slice(reply.body()).ok()?,
        clock: ServerTime(clock),
    })
}

fn to_server_failure(address: SocketAddr, error: &ExchangeError) -> ServerFailure {
    log::debug!("order to backend server {address} failed: {error}");
    match error {
        ExchangeError::NotSent { .. } => ServerFailure::NotSent,
        ExchangeError::NoReply { .. } => ServerFailure::NoReply,
    }
}

/// An invalid reply does not show whether the server carried the order out, so it
/// counts as no reply.
fn invalid_reply(address: SocketAddr, reply: &Response<Bytes>) -> ServerFailure {
    log::debug!(
        "invalid reply to an order from backend server {address}: status {}",
        reply.status()
    );
    ServerFailure::NoReply
}
