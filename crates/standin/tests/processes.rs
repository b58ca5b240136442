//! The stand-ins as processes: they print their addresses for scripts to read.

use {
    camphorcove_net::{
        http::HttpClient,
        platform::{HttpStore, ObjectKey, ObjectStore},
    },
    http::{Request, StatusCode},
    http_body_util::Full,
    rstest::rstest,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A process with the addresses it printed; killed when dropped.
struct Process {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(program: &str, options: &[&str], address_count: usize) -> Process {
    let mut child = Command::new(program)
        .args(options)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = child.stdout.take().unwrap();
    let lines = BufReader::new(output).lines().take(address_count);
    let addresses = lines.map(|line| line.unwrap().parse().unwrap()).collect();
    Process { child, addresses }
}

#[tokio::test]
async fn the_platform_prints_its_address() {
    let process = start(env!("CARGO_BIN_EXE_camphorcove-platform"), &[], 1);

    let store = HttpStore::new(process.addresses[0]);
    let object = store.get(&ObjectKey::new("config/head")).await;

    assert_eq!(object, Ok(None));
}

#[rstest]
#[case::ready(&[], StatusCode::OK)]
#[case::draining(&["--draining"], StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn the_backend_prints_its_addresses(#[case] options: &[&str], #[case] health: StatusCode) {
    let process = start(env!("CARGO_BIN_EXE_camphorcove-backend"), options, 2);

    let probed = get(process.addresses[0], "/health").await;
    let control = get(process.addresses[1], "/control/stats").await;

    assert_eq!((probed, control), (health, StatusCode::OK));
}

#[tokio::test]
async fn the_proxy_prints_its_addresses() {
    let backend = start(env!("CARGO_BIN_EXE_camphorcove-backend"), &[], 2);
    let target = backend.addresses[0].to_string();
    let options = ["--target", &target];
    let proxy = start(env!("CARGO_BIN_EXE_camphorcove-proxy"), &options, 2);

    let probed = get(proxy.addresses[0], "/health").await;
    let control = get(proxy.addresses[1], "/control/stats").await;

    assert_eq!((probed, control), (StatusCode::OK, StatusCode::OK));
}

async fn get(address: SocketAddr, target: &str) -> StatusCode {
    let request = Request::get(target).body(Full::default()).unwrap();
    let reply = HttpClient::default()
        .exchange(address, request, TEST_TIMEOUT)
        .await;
    reply.unwrap().status()
}
