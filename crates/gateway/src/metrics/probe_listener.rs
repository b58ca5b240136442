//! HTTP listener for the load balancer's readiness checks and for metrics collectors.

use {
    super::render_metrics,
    crate::state::HostState,
    bytes::Bytes,
    camphorcove_platform::READINESS_PATH,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Longest time for reading a header block, and between requests.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the readiness check and the metrics page on one listener; never returns.
pub async fn serve_probes(state: Arc<HostState>, listener: Arc<TcpListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(reason:% = error; "accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = state.clone();
        let service = service_fn(move |request| {
            let response = respond(&state, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(reason:% = error; "probe connection ended");
            }
        });
    }
}

fn respond(state: &HostState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        READINESS_PATH if state.is_ready() => (StatusCode::OK, Bytes::new()),
        READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        METRICS_PATH => match render_metrics(state) {
            Ok(page) => (StatusCode::OK, Bytes::from(page)),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        },
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
