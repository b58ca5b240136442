//! Servers that reset new connections, as they have too many.

mod support;

use {
    camphorcove_platform_standin::caller::{read_response, request},
    rstest::rstest,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::fixtures::{entry, start_host_with},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Number of requests to the server after it has reset the first one.
const CALLS: usize = 20;

/// Starts a server that resets each connection `delay` after it has accepted it, and counts the bytes that
/// arrive before that.
async fn start_rejecting_server(delay: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let received = Arc::new(AtomicUsize::new(0));
    let counter = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                let mut buffer = [0; 4_096];
                let read = timeout(Duration::ZERO, stream.read(&mut buffer)).await;
                if let Ok(Ok(count)) = read {
                    counter.fetch_add(count, Ordering::Relaxed);
                }
                stream.set_zero_linger().expect("open socket");
            });
        }
    });
    (address, received)
}

async fn call(host: SocketAddr, id: &str) -> u16 {
    let mut stream = TcpStream::connect(host).await.expect("listens");
    let text = request("POST", "/write/a", id, "", "x");
    stream.write_all(text.as_bytes()).await.expect("sent");
    read_response(&mut stream, &mut Vec::new()).await.status
}

/// Guards against "may have run" for at-most-once requests that reached no server: their callers cannot try
/// again. The host checks a connection for some milliseconds only, and this process may be paused for
/// longer, so that some of the requests may be sent.
#[rstest]
#[tokio::test]
async fn requests_are_not_sent_on_connections_that_are_reset(
    #[values(Duration::ZERO, Duration::from_millis(2))] delay: Duration,
) {
    let (address, received) = start_rejecting_server(delay).await;
    let host = start_host_with(vec![entry("s-1", "plain", address)]).await;
    call(host.address, "r0").await;

    let mut not_run = 0;
    for number in 1..=CALLS {
        let before = received.load(Ordering::Relaxed);
        let status = call(host.address, &format!("r{number}")).await;
        let sent = received.load(Ordering::Relaxed) - before;
        assert!(status == 502 || sent == 0, "503, but {sent} bytes arrived");
        not_run += usize::from(status == 503);
    }

    assert!(not_run > 0);
}
