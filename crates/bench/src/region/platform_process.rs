//! The platform stand-in as a process.

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

/// Longest time of a call to a stand-in's control port.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// The platform stand-in as a process.
#[derive(Debug)]
pub struct PlatformProcess {
    /// The process.
    pub process: ChildProcess,
    /// Address of its port.
    pub address: SocketAddr,
}

impl PlatformProcess {
    /// Starts it.
    pub fn start(programs: &ProgramOptions) -> Result<Self, BenchError> {
        let program = programs.path("camphorcove-platform");
        let (process, addresses) = ChildProcess::start_printing(&program, &[], 1)?;
        let address = addresses[0];
        Ok(Self { process, address })
    }

    /// A new client of it.
    pub fn client(&self) -> HttpStore {
        HttpStore::new(self.address)
    }

    /// Replaces the host list.
    pub async fn set_hosts(&self, hosts: &[ListedHost]) -> Result<(), BenchError> {
        control(self.address, Method::PUT, "/control/hosts", &hosts).await?;
        Ok(())
    }

    /// Replaces the faults in force.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), BenchError> {
        control(self.address, Method::PUT, "/control/faults", faults).await?;
        Ok(())
    }
}

/// Calls a stand-in's control port and returns the body of its answer.
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
