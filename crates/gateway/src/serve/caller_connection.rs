//! Serves the requests of one caller connection.

use {
    super::{RequestHandler, request_origin::RequestOrigin, request_pipeline::RequestPipeline},
    camphorcove_net::http::CallerStream,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        sync::Arc,
        task::Poll,
    },
    tokio::{net::TcpStream, sync::watch},
};

/// Serves a connection until the caller closes it, or until all requests that were started
/// have been answered after `closing` is set.
pub async fn serve_connection(
    handler: Arc<RequestHandler>,
    builder: http1::Builder,
    stream: TcpStream,
    origin: RequestOrigin,
    mut closing: watch::Receiver<bool>,
) {
    let stream = CallerStream::new(stream);
    let read_ahead = Arc::new(stream.read_ahead());
    let pipeline = Arc::new(RequestPipeline::new(read_ahead.clone()));
    let service = service_fn(|request| {
        let handler = handler.clone();
        let pipeline = pipeline.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, origin, &pipeline).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = closing.wait_for(|closing| *closing);
    tokio::pin!(closing);
    let mut must_close = false;
    let mut shutting_down = false;
    let ended = poll_fn(|cx| {
        must_close = must_close || closing.as_mut().poll(cx).is_ready();
        loop {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            read_ahead.set_answered(pipeline.answered());
            // A regular caller keeps its side open until it has its responses.
            if read_ahead.poll_closed(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let pipelined = read_ahead.take_pipelined();
            if origin == RequestOrigin::Caller {
                handler.start_pipelined(&pipeline, pipelined);
            }
            // Behind a running request, the response that closes the connection is not decided yet.
            if shutting_down || !must_close || read_ahead.has_unanswered() {
                return Poll::Pending;
            }
            shutting_down = true;
            connection.as_mut().graceful_shutdown();
        }
    });
    if let Err(error) = ended.await {
        log::debug!(reason:% = error; "caller connection ended");
    }
}
