//! HTTP server of the operator API.

use {
    super::{AdminCall, AdminService, OperatorView, admin_call::AdminReply},
    bytes::Bytes,
    camphorcove_net::{
        clock::wall_millis,
        config::CONTENT_LIMIT,
        operator::{
            ApiCode, ApiError, QueryMap, RefusalReason, RequestLine, RequestSignature, body_hash,
        },
        platform::ObjectStore,
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        time::{sleep, timeout},
    },
};

/// Maximum number of concurrent connections; further ones wait in the listen backlog.
const CONNECTION_LIMIT: usize = 256;

/// Maximum size of a request body, in bytes: that of a configuration, with a margin
/// for the JSON around an order.
const BODY_LIMIT: usize = CONTENT_LIMIT + 64 * 1024;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum wait for requests in flight when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, so that a lasting error does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type Reply = Response<Full<Bytes>>;

/// Serves the operator API until `stop` becomes true, then closes the listener and
/// waits for requests in flight.
pub async fn serve_admin<S: ObjectStore, V: OperatorView>(
    service: Arc<AdminService<S, V>>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let store = service.context.repo.store().clone();
    let actor = service.context.view.host().to_string();
    tokio::select! {
        () = accept_connections(&service, &listener, &graceful) => {}
        () = service.refusals.run(&store, &actor) => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
    drop(listener);
    if timeout(STOP_TIMEOUT, graceful.shutdown()).await.is_err() {
        log::warn!("stop timeout reached with operator requests still in flight");
    }
    service.refusals.flush(&store, &actor).await;
}

/// Accepts connections forever and serves each one in a task of its own.
async fn accept_connections<S: ObjectStore, V: OperatorView>(
    service: &Arc<AdminService<S, V>>,
    listener: &TcpListener,
    graceful: &GracefulShutdown,
) {
    let permits = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("failed to accept an operator connection: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let connection = graceful.watch(http_connection(service.clone(), stream));
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = connection.await {
                log::debug!("operator connection failed: {error}");
            }
        });
    }
}

/// Returns the future that serves one HTTP/1.1 connection.
fn http_connection<S: ObjectStore, V: OperatorView>(
    service: Arc<AdminService<S, V>>,
    stream: TcpStream,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send {
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(handle(&service, request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handler)
}

/// Handles one request. The metrics are served without a signature, for scrapers.
async fn handle<S: ObjectStore, V: OperatorView>(
    service: &AdminService<S, V>,
    request: Request<Incoming>,
) -> Reply {
    if request.method() == Method::GET && request.uri().path() == "/metrics" {
        return text_reply(service.context.view.metrics());
    }
    let result = match authenticate(service, request).await {
        Ok(call) => service.dispatch(&call).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(AdminReply::Json(body)) => reply(StatusCode::OK, "application/json", body),
        Ok(AdminReply::Text(text)) => text_reply(text),
        Err(error) => error_reply(&error),
    }
}

/// Authenticates a request: checks the signature before reading the body, then
/// compares the body with the signed hash.
async fn authenticate<S: ObjectStore, V: OperatorView>(
    service: &AdminService<S, V>,
    request: Request<Incoming>,
) -> Result<AdminCall, ApiError> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let target = head
        .uri
        .path_and_query()
        .map_or(path.as_str(), |target| target.as_str());
    let line = RequestLine {
        method: head.method.as_str(),
        target,
    };
    let signed = RequestSignature::read(&head.headers)
        .and_then(|signed| {
            service
                .context
                .authenticator
                .accept(&signed, line, wall_millis())?;
            Ok(signed)
        })
        .map_err(|reason| refuse(service, reason))?;
    let body = read_body(body).await?;
    if body_hash(&body) != signed.body {
        return Err(refuse(service, RefusalReason::WrongBody));
    }
    let query = QueryMap::parse(head.uri.query().unwrap_or_default());
    let query = query.ok_or_else(|| ApiError::new(ApiCode::Malformed, "malformed query"))?;
    Ok(AdminCall {
        actor: signed.key,
        method: head.method,
        path,
        query,
        body,
    })
}

/// Counts a refusal, queues it for the audit trail and returns the error response.
fn refuse<S: ObjectStore, V: OperatorView>(
    service: &AdminService<S, V>,
    reason: RefusalReason,
) -> ApiError {
    service.context.authenticator.count(reason);
    service.refusals.add(reason);
    ApiError::new(reason.code(), reason.code().meaning())
}

/// Reads the request body within the limits for size and time.
async fn read_body(body: Incoming) -> Result<Bytes, ApiError> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, BODY_LIMIT).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let text = format!("the body has more than {BODY_LIMIT} bytes");
            Err(ApiError::new(ApiCode::BodyTooLarge, text))
        }
        Ok(Err(error)) => Err(ApiError::new(ApiCode::Malformed, error.to_string())),
        Err(_) => Err(ApiError::new(
            ApiCode::Malformed,
            "the body did not arrive in time",
        )),
    }
}

fn error_reply(error: &ApiError) -> Reply {
    let status = ApiCode::of_number(error.code)
        .and_then(|code| StatusCode::from_u16(code.status()).ok())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(error)
        .unwrap_or_else(|error| unreachable!("encoding to memory cannot fail: {error}"));
    reply(status, "application/json", body.into())
}

fn text_reply(text: String) -> Reply {
    reply(StatusCode::OK, "text/plain; charset=utf-8", text.into())
}

fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
