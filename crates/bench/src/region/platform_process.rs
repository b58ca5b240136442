//! Simulated platform that runs as a process.

use {
    super::{ChildProcess, ProgramOptions},
    crate::error::{BenchError, CallFailedSnafu},
    bytes::Bytes,
    camphorcove_net::{
        http::HttpClient,
        platform::{HttpStore, ListedHost},
    },
    camphorcove_standin::platform::PlatformFaults,
    http::{Method, Request, StatusCode},
    http_body_util::Full,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of a request to the control API of a simulated server or platform.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// A simulated platform (the program `camphorcove-platform`).
#[derive(Debug)]
pub struct PlatformProcess {
    /// Child process; killed when dropped.
    pub process: ChildProcess,
    /// Address of the platform's API and of its control API.
    pub address: SocketAddr,
}

impl PlatformProcess {
    /// Starts the program on a port chosen by the OS.
    pub fn start(programs: &ProgramOptions) -> Result<Self, BenchError> {
        let program = programs.path("camphorcove-platform");
        let (process, addresses) = ChildProcess::start_and_read_addresses(&program, &[], 1)?;
        let address = addresses[0];
        Ok(Self { process, address })
    }

    /// Creates a client of the platform.
    pub fn client(&self) -> HttpStore {
        HttpStore::new(self.address)
    }

    /// Replaces the list of hosts that the platform announces.
    pub async fn set_hosts(&self, hosts: &[ListedHost]) -> Result<(), BenchError> {
        control(self.address, Method::PUT, "/control/hosts", &hosts).await?;
        Ok(())
    }

    /// Replaces the faults that the platform injects into its answers.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), BenchError> {
        control(self.address, Method::PUT, "/control/faults", faults).await?;
        Ok(())
    }
}

/// Sends a request to the control API of a simulated server or platform and returns the body of
/// the answer. `body` is sent as JSON.
pub(super) async fn control<T: Serialize>(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: &T,
) -> Result<Bytes, BenchError> {
    let failed = |reason: String| {
        let what = format!("{method} {target}");
        CallFailedSnafu { what, reason }.build()
    };
    let body = serde_json::to_vec(body).map_err(|error| failed(error.to_string()))?;
    let request = Request::builder()
        .method(&method)
        .uri(target)
        .body(Full::from(body))
        .map_err(|error| failed(error.to_string()))?;
    let reply = HttpClient::default()
        .exchange(address, request, CONTROL_TIMEOUT)
        .await
        .map_err(|error| failed(error.to_string()))?;
    match reply.status() {
        StatusCode::OK => Ok(reply.into_body()),
        status => Err(failed(format!("status {status}"))),
    }
}
