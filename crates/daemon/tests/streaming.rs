//! Streaming of bodies in both directions between HTTP/2 callers and HTTP/1.1 servers.

mod support;

use {
    bytes::Bytes,
    camphorcove_core::conf::RoutingMode,
    http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody},
    hyper::{Request, client::conn::http2, client::conn::http2::SendRequest},
    hyper_util::rt::{TokioExecutor, TokioIo},
    rstest::rstest,
    std::{convert::Infallible, net::SocketAddr},
    support::{Cluster, FakeServer, MapSpec, ServerAction, ok_reply, service},
    tokio::{net::TcpStream, sync::mpsc},
};

type Body = BoxBody<Bytes, Infallible>;

async fn http2_caller(address: SocketAddr) -> SendRequest<Body> {
    let stream = TcpStream::connect(address).await.expect("connect");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.expect("handshake");
    tokio::spawn(connection);
    sender
}

fn request(address: SocketAddr, body: Body) -> Request<Body> {
    Request::post(format!("http://{address}/s/k"))
        .header("cookie", "a=1")
        .header("cookie", "b=2")
        .body(body)
        .expect("request")
}

/// Guards against lost, repeated or reordered parts of bodies larger than the flow-control
/// windows.
#[rstest]
#[tokio::test]
async fn an_http2_caller_sends_and_receives_large_bodies(#[values(0, 1)] forwarder: usize) {
    let large = ok_reply(&"r".repeat(1 << 20));
    let server = FakeServer::start(move |_, _| ServerAction::Reply(large.clone())).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let mut caller = http2_caller(cluster.caller()).await;
    let sent: Vec<u8> = (0..1_u32 << 20).map(|index| (index % 251) as u8).collect();

    let body = Full::new(Bytes::from(sent.clone())).boxed();
    let reply = caller
        .send_request(request(cluster.caller(), body))
        .await
        .expect("reply");

    assert_eq!(reply.headers()["x-camphorcove-result"], "200");
    let received = reply.into_body().collect().await.expect("body").to_bytes();
    assert_eq!(received.len(), 1 << 20);
    let seen = &server.seen()[0];
    assert!(seen.body == sent, "{} bytes arrived", seen.body.len());
    // HTTP/1.1 allows only one `Cookie` line, so the router joins them.
    assert_eq!(seen.header("cookie").as_deref(), Some("a=1; b=2"));
}

/// Guards against truncated replies that an HTTP/2 caller takes for complete ones: the stream
/// must be reset.
#[rstest]
#[tokio::test]
async fn a_cut_reply_resets_the_stream(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| {
        ServerAction::ReplyThenClose(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n".into(),
        )
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let mut caller = http2_caller(cluster.caller()).await;

    let body = Full::new(Bytes::new()).boxed();
    let reply = caller.send_request(request(cluster.caller(), body)).await;

    let complete = match reply {
        Ok(reply) => reply.into_body().collect().await.is_ok(),
        Err(_) => false,
    };
    assert!(!complete);
}

/// Guards against servers that work on for an HTTP/2 caller that has reset its stream.
#[rstest]
#[tokio::test]
async fn a_reset_stream_cancels_the_work(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| ServerAction::Stall).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let mut caller = http2_caller(cluster.caller()).await;
    let body = Full::new(Bytes::new()).boxed();
    let pending = tokio::spawn(caller.send_request(request(cluster.caller(), body)));
    server.wait_seen(1).await;

    pending.abort();

    server.wait_dropped(1).await;
}

/// Guards against bodies that are held back until they are complete: parts must arrive while the
/// sender still sends, in both directions.
#[rstest]
#[tokio::test]
async fn bodies_stream_before_they_are_complete(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| {
        ServerAction::Reply(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n".into(),
        )
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let mut caller = http2_caller(cluster.caller()).await;
    let (parts, receiver) = mpsc::channel::<Bytes>(1);
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((
            Ok::<_, Infallible>(hyper::body::Frame::data(part)),
            receiver,
        ))
    });
    let body = BodyExt::boxed(StreamBody::new(Box::pin(frames) as Frames));
    let reply = tokio::spawn(caller.send_request(request(cluster.caller(), body)));

    parts
        .send(Bytes::from_static(b"first"))
        .await
        .expect("send");
    server.wait_body(5).await;
    parts
        .send(Bytes::from_static(b"second"))
        .await
        .expect("send");
    drop(parts);
    let mut reply = reply.await.expect("task").expect("reply").into_body();
    let part = reply.frame().await.expect("frame").expect("data");

    assert_eq!(part.into_data().expect("data"), "part");
    assert_eq!(server.seen()[0].body, b"firstsecond");
}

type Frames = std::pin::Pin<
    Box<
        dyn futures_util::Stream<Item = Result<hyper::body::Frame<Bytes>, Infallible>>
            + Send
            + Sync,
    >,
>;
