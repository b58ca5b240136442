//! Faults of the proxy, seen from both ends of a connection.

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
        time::timeout,
    },
};

const PATIENT: Duration = Duration::from_secs(30);

/// Long enough to see that nothing comes, without proof.
const GLANCE: Duration = Duration::from_millis(50);

struct Pair {
    proxy: ProxyStandin,
    listener: TcpListener,
}

async fn proxied_listener() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = ProxyStandin::to(listener.local_addr().unwrap())
        .await
        .unwrap();
    Pair { proxy, listener }
}

impl Pair {
    /// Both ends of a new connection.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.proxy.address()).await.unwrap();
        let (far, _) = self.listener.accept().await.unwrap();
        (near, far)
    }
}

async fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut buffer = vec![0; length];
    let reading = stream.read_exact(&mut buffer);
    timeout(PATIENT, reading).await.unwrap().unwrap();
    buffer
}

/// Everything up to the end, and whether the end was in order.
async fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, io::Result<()>) {
    let mut buffer = Vec::new();
    let reading = stream.read_to_end(&mut buffer);
    let result = timeout(PATIENT, reading).await.unwrap();
    (buffer, result.map(|_| ()))
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    timeout(GLANCE, stream.read(&mut byte)).await.is_err()
}

#[tokio::test]
async fn without_faults_bytes_pass_both_ways() {
    let pair = proxied_listener().await;
    let (mut near, mut far) = pair.connect().await;

    near.write_all(b"ping").await.unwrap();
    let up = read_exactly(&mut far, 4).await;
    far.write_all(b"pong!").await.unwrap();
    let down = read_exactly(&mut near, 5).await;

    assert_eq!(
        (up.as_slice(), down.as_slice()),
        (&b"ping"[..], &b"pong!"[..])
    );
    let stats = pair.proxy.stats();
    assert_eq!(
        (stats.accepted, stats.bytes_up, stats.bytes_down),
        (1, 4, 5)
    );
}

#[tokio::test]
async fn closing_one_side_leaves_the_other_open() {
    let pair = proxied_listener().await;
    let (mut near, mut far) = pair.connect().await;

    near.shutdown().await.unwrap();
    let (_, up) = read_to_end(&mut far).await;
    far.write_all(b"late").await.unwrap();
    let down = read_exactly(&mut near, 4).await;

    assert!(up.is_ok());
    assert_eq!(down, b"late");
}

/// A connection that was waiting to be accepted when the listener closed is
/// reset; later ones are refused.
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
    timeout(PATIENT, connecting).await.unwrap();
}

#[tokio::test]
async fn refusing_keeps_open_connections_and_the_port() {
    let pair = proxied_listener().await;
    let (mut near, mut far) = pair.connect().await;
    let address = pair.proxy.address();

    pair.proxy.change(|faults| faults.refuse = true);
    connect_until_refused(address).await;
    near.write_all(b"ping").await.unwrap();
    let up = read_exactly(&mut far, 4).await;
    pair.proxy.change(|faults| faults.refuse = false);
    let connecting = async { while TcpStream::connect(address).await.is_err() {} };

    assert_eq!(up, b"ping");
    timeout(PATIENT, connecting).await.unwrap();
}

#[tokio::test]
async fn a_cut_resets_open_connections_and_new_ones() {
    let pair = proxied_listener().await;
    let (mut near, mut far) = pair.connect().await;

    pair.proxy.change(|faults| faults.cut = true);
    let (_, near_end) = read_to_end(&mut near).await;
    let (_, far_end) = read_to_end(&mut far).await;
    let mut late = TcpStream::connect(pair.proxy.address()).await.unwrap();
    let (_, late_end) = read_to_end(&mut late).await;

    for end in [near_end, far_end, late_end] {
        assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
}

// A one-way partition must stop one direction only, and lose nothing when it
// heals.
#[tokio::test]
async fn a_black_hole_holds_one_direction_back() {
    let pair = proxied_listener().await;
    let (mut near, mut far) = pair.connect().await;

    pair.proxy.change(|faults| faults.up.blackhole = true);
    near.write_all(b"ping").await.unwrap();
    far.write_all(b"pong!").await.unwrap();
    let down = read_exactly(&mut near, 5).await;
    let quiet = is_quiet(&mut far).await;
    pair.proxy.change(|faults| faults.up.blackhole = false);
    let up = read_exactly(&mut far, 4).await;

    assert!(quiet);
    assert_eq!(
        (up.as_slice(), down.as_slice()),
        (&b"ping"[..], &b"pong!"[..])
    );
}

#[tokio::test]
async fn a_black_hole_hides_the_end_of_a_connection() {
    let pair = proxied_listener().await;
    let (near, mut far) = pair.connect().await;

    pair.proxy.change(|faults| faults.up.blackhole = true);
    drop(near);
    let quiet = is_quiet(&mut far).await;
    pair.proxy.change(|faults| faults.up.blackhole = false);
    let (bytes, _) = read_to_end(&mut far).await;

    assert!(quiet);
    assert_eq!(bytes, b"");
}

#[rstest]
#[case::truncated(|faults: &mut ProxySettings| faults.down.truncate_after = Some(5), true)]
#[case::reset(|faults: &mut ProxySettings| faults.down.reset_after = Some(5), false)]
#[tokio::test]
async fn a_connection_ends_after_a_number_of_bytes(
    #[case] fault: fn(&mut ProxySettings),
    #[case] in_order: bool,
) {
    let pair = proxied_listener().await;
    pair.proxy.change(fault);
    let (mut near, mut far) = pair.connect().await;

    far.write_all(b"0123456789").await.unwrap();
    let (bytes, end) = read_to_end(&mut near).await;

    // A reset may overtake bytes that were sent before it.
    assert!(bytes.len() <= 5, "{bytes:?}");
    assert_eq!(end.is_ok(), in_order, "{end:?}");
    assert_eq!(pair.proxy.stats().bytes_down, 5);
    if in_order {
        assert_eq!(bytes, b"01234");
    }
}

// Guards against a delayed line that reorders or merges what must stay apart.
#[tokio::test]
async fn a_slow_line_delivers_everything_in_order() {
    let pair = proxied_listener().await;
    pair.proxy.change(|faults| {
        faults.up.delay_ms = 3;
        faults.up.bandwidth = 10_000_000;
    });
    let (mut near, mut far) = pair.connect().await;
    let sent: Vec<u8> = (0..200_000_u32).map(|index| (index % 251) as u8).collect();

    let writing = async {
        near.write_all(&sent).await.unwrap();
        near.shutdown().await.unwrap();
    };
    let ((), (received, end)) = tokio::join!(writing, read_to_end(&mut far));

    assert!(end.is_ok());
    assert_eq!(received, sent);
}

#[tokio::test]
async fn settings_are_reachable_over_the_control_port() {
    let pair = proxied_listener().await;
    let patch = r#"{"up": {"blackhole": true}}"#;
    let request = Request::patch("/control/settings").body(Full::from(patch));

    let reply = HttpClient::default()
        .exchange(pair.proxy.control_address(), request.unwrap(), PATIENT)
        .await;

    assert_eq!(reply.unwrap().status(), StatusCode::OK);
    let settings = pair.proxy.settings();
    assert!(settings.up.blackhole && !settings.down.blackhole);
}
