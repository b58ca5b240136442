//! Simulated backend server that runs as a process.

use {
    super::{ChildProcess, ProgramOptions, platform_process::control},
    crate::error::{BenchError, CallFailedSnafu},
    camphorcove_standin::backend::{BackendSettings, BackendStats},
    http::Method,
    std::net::SocketAddr,
};

/// A simulated backend server (the program `camphorcove-backend`).
#[derive(Debug)]
pub struct BackendProcess {
    /// Child process; killed when dropped.
    pub process: ChildProcess,
    /// Address where it accepts orders of the controller and requests.
    pub address: SocketAddr,
    /// Address where the benchmark changes its settings and reads its counters.
    control: SocketAddr,
}

impl BackendProcess {
    /// Starts the program on ports chosen by the OS and applies `settings`.
    pub async fn start(
        programs: &ProgramOptions,
        settings: &BackendSettings,
    ) -> Result<Self, BenchError> {
        let program = programs.path("camphorcove-backend");
        let (process, addresses) = ChildProcess::start_and_read_addresses(&program, &[], 2)?;
        let server = Self {
            process,
            address: addresses[0],
            control: addresses[1],
        };
        server.set(settings).await?;
        Ok(server)
    }

    /// Replaces the settings that define its simulated behaviour.
    pub async fn set(&self, settings: &BackendSettings) -> Result<(), BenchError> {
        control(self.control, Method::PATCH, "/control/settings", settings).await?;
        Ok(())
    }

    /// Reads its counters.
    pub async fn stats(&self) -> Result<BackendStats, BenchError> {
        let what = "/control/stats";
        let body = control(self.control, Method::GET, what, &()).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let reason = error.to_string();
            CallFailedSnafu { what, reason }.build()
        })
    }
}
