//! Faults of the proxy, observed at both ends of a connection: `downstream` is the
//! connecting side, `upstream` the target.

use {
    camphorcove_net::http::HttpClient,
    camphorcove_standin::proxy::{ProxySettings, ProxyStandin},
    http::{Request, StatusCode},
    http_body_util::Full,
    rstest::rstest,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without data after which a direction counts as silent. It cannot prove that
/// no data would arrive later.
const SILENCE_PERIOD: Duration = Duration::from_millis(50);

struct ProxiedListener {
    proxy: ProxyStandin,
    listener: TcpListener,
}

async fn proxied_listener() -> ProxiedListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = ProxyStandin::to(listener.local_addr().unwrap())
        .await
        .unwrap();
    ProxiedListener { proxy, listener }
}

impl ProxiedListener {
    /// Both ends of a new connection.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let downstream = TcpStream::connect(self.proxy.address()).await.unwrap();
        let (upstream, _) = self.listener.accept().await.unwrap();
        (downstream, upstream)
    }
}

async fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut buffer = vec![0; length];
    let reading = stream.read_exact(&mut buffer);
    timeout(TEST_TIMEOUT, reading).await.unwrap().unwrap();
    buffer
}

/// Reads all data up to the end; the result is an error unless the connection was
/// closed gracefully.
async fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, io::Result<()>) {
    let mut buffer = Vec::new();
    let reading = stream.read_to_end(&mut buffer);
    let result = timeout(TEST_TIMEOUT, reading).await.unwrap();
    (buffer, result.map(|_| ()))
}

async fn receives_nothing(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    timeout(SILENCE_PERIOD, stream.read(&mut byte))
        .await
        .is_err()
}

#[tokio::test]
async fn without_faults_bytes_pass_both_ways() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;

    downstream.write_all(b"ping").await.unwrap();
    let up = read_exactly(&mut upstream, 4).await;
    upstream.write_all(b"pong!").await.unwrap();
    let down = read_exactly(&mut downstream, 5).await;

    assert_eq!(
        (up.as_slice(), down.as_slice()),
        (&b"ping"[..], &b"pong!"[..])
    );
    let stats = proxied.proxy.stats();
    assert_eq!(
        (stats.accepted, stats.bytes_up, stats.bytes_down),
        (1, 4, 5)
    );
}

#[tokio::test]
async fn closing_one_side_leaves_the_other_open() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;

    downstream.shutdown().await.unwrap();
    let (_, up) = read_to_end(&mut upstream).await;
    upstream.write_all(b"late").await.unwrap();
    let down = read_exactly(&mut downstream, 4).await;

    assert!(up.is_ok());
    assert_eq!(down, b"late");
}

/// Connects until a connection is refused. One that was waiting to be accepted when
/// the listener closed is reset instead.
async fn connect_until_refused(address: SocketAddr) {
    let connecting = async {
        loop {
            let connected = TcpStream::connect(address).await;
            let kind = connected.err().map(|error| error.kind());
            if kind == Some(io::ErrorKind::ConnectionRefused) {
                return;
            }
        }
    };
    timeout(TEST_TIMEOUT, connecting).await.unwrap();
}

#[tokio::test]
async fn refusing_keeps_open_connections_and_the_port() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;
    let address = proxied.proxy.address();

    proxied.proxy.change(|faults| faults.refuse = true);
    connect_until_refused(address).await;
    downstream.write_all(b"ping").await.unwrap();
    let up = read_exactly(&mut upstream, 4).await;
    proxied.proxy.change(|faults| faults.refuse = false);
    let connecting = async { while TcpStream::connect(address).await.is_err() {} };

    assert_eq!(up, b"ping");
    timeout(TEST_TIMEOUT, connecting).await.unwrap();
}

#[tokio::test]
async fn a_cut_resets_open_connections_and_new_ones() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;

    proxied.proxy.change(|faults| faults.cut = true);
    let (_, downstream_end) = read_to_end(&mut downstream).await;
    let (_, upstream_end) = read_to_end(&mut upstream).await;
    let mut late = TcpStream::connect(proxied.proxy.address()).await.unwrap();
    let (_, late_end) = read_to_end(&mut late).await;

    for end in [downstream_end, upstream_end, late_end] {
        assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
}

// Guards against a one-way partition that affects the other direction, or that loses
// data once it ends.
#[tokio::test]
async fn a_black_hole_holds_one_direction_back() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;

    proxied.proxy.change(|faults| faults.up.blackhole = true);
    downstream.write_all(b"ping").await.unwrap();
    upstream.write_all(b"pong!").await.unwrap();
    let down = read_exactly(&mut downstream, 5).await;
    let received_nothing = receives_nothing(&mut upstream).await;
    proxied.proxy.change(|faults| faults.up.blackhole = false);
    let up = read_exactly(&mut upstream, 4).await;

    assert!(received_nothing);
    assert_eq!(
        (up.as_slice(), down.as_slice()),
        (&b"ping"[..], &b"pong!"[..])
    );
}

#[tokio::test]
async fn a_black_hole_hides_the_end_of_a_connection() {
    let proxied = proxied_listener().await;
    let (downstream, mut upstream) = proxied.connect().await;

    proxied.proxy.change(|faults| faults.up.blackhole = true);
    drop(downstream);
    let received_nothing = receives_nothing(&mut upstream).await;
    proxied.proxy.change(|faults| faults.up.blackhole = false);
    let (bytes, _) = read_to_end(&mut upstream).await;

    assert!(received_nothing);
    assert_eq!(bytes, b"");
}

/// Guards against a partition that delivers what its sender has given up: a host resets the connection
/// of an order that it no longer waits for, so that the order cannot be carried out late.
#[tokio::test]
async fn a_black_hole_loses_the_bytes_of_a_reset_connection() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;

    proxied.proxy.change(|faults| faults.up.blackhole = true);
    downstream.write_all(b"order").await.unwrap();
    downstream.set_zero_linger().unwrap();
    drop(downstream);
    let received_nothing = receives_nothing(&mut upstream).await;
    proxied.proxy.change(|faults| faults.up.blackhole = false);
    let (bytes, end) = read_to_end(&mut upstream).await;

    assert!(received_nothing);
    assert_eq!(bytes, b"");
    assert!(end.is_err(), "the reset is passed on");
}

#[rstest]
#[case::truncated(|faults: &mut ProxySettings| faults.down.truncate_after = Some(5), true)]
#[case::reset(|faults: &mut ProxySettings| faults.down.reset_after = Some(5), false)]
#[tokio::test]
async fn a_connection_ends_after_a_number_of_bytes(
    #[case] fault: fn(&mut ProxySettings),
    #[case] in_order: bool,
) {
    let proxied = proxied_listener().await;
    proxied.proxy.change(fault);
    let (mut downstream, mut upstream) = proxied.connect().await;

    upstream.write_all(b"0123456789").await.unwrap();
    let (bytes, end) = read_to_end(&mut downstream).await;

    // A reset may overtake bytes that were sent before it.
    assert!(bytes.len() <= 5, "{bytes:?}");
    assert_eq!(end.is_ok(), in_order, "{end:?}");
    assert_eq!(proxied.proxy.stats().bytes_down, 5);
    if in_order {
        assert_eq!(bytes, b"01234");
    }
}

// Guards against a delayed direction that reorders, merges or loses data.
#[tokio::test]
async fn a_slow_connection_delivers_everything_in_order() {
    let proxied = proxied_listener().await;
    proxied.proxy.change(|faults| {
        faults.up.delay_ms = 3;
        faults.up.bandwidth = 10_000_000;
    });
    let (mut downstream, mut upstream) = proxied.connect().await;
    let sent: Vec<u8> = (0..200_000_u32).map(|index| (index % 251) as u8).collect();

    let writing = async {
        downstream.write_all(&sent).await.unwrap();
        downstream.shutdown().await.unwrap();
    };
    let ((), (received, end)) = tokio::join!(writing, read_to_end(&mut upstream));

    assert!(end.is_ok());
    assert_eq!(received, sent);
}

#[tokio::test]
async fn settings_are_reachable_over_the_control_port() {
    let proxied = proxied_listener().await;
    let patch = r#"{"up": {"blackhole": true}}"#;
    let request = Request::patch("/control/settings").body(Full::from(patch));

    let reply = HttpClient::default()
        .exchange(
            proxied.proxy.control_address(),
            request.unwrap(),
            TEST_TIMEOUT,
        )
        .await;

    assert_eq!(reply.unwrap().status(), StatusCode::OK);
    let settings = proxied.proxy.settings();
    assert!(settings.up.blackhole && !settings.down.blackhole);
}

// Guards against a fault that does not act: attempts to connect have to stay without an answer, and
// open connections have to work.
#[tokio::test]
async fn ignored_attempts_to_connect_hang_until_the_fault_ends() {
    let proxied = proxied_listener().await;
    let (mut downstream, mut upstream) = proxied.connect().await;
    proxied.proxy.change(|faults| faults.ignore = true);
    sleep(Duration::from_millis(300)).await;

    let address = proxied.proxy.address();
    let ignored = timeout(Duration::from_millis(500), TcpStream::connect(address)).await;
    downstream.write_all(b"open").await.unwrap();
    let mut open = [0; 4];
    upstream.read_exact(&mut open).await.unwrap();
    proxied.proxy.change(|faults| faults.ignore = false);
    let accepted = timeout(TEST_TIMEOUT, TcpStream::connect(address)).await;

    assert!(ignored.is_err());
    assert_eq!(&open, b"open");
    assert!(accepted.is_ok_and(|accepted| accepted.is_ok()));
}
