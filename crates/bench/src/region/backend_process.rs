//! A backend stand-in as a process.

use {
    super::{ChildProcess, ProgramOptions, platform_process::control},
    crate::error::{BenchError, CallFailedSnafu},
    camphorcove_standin::backend::{BackendSettings, BackendStats},
    http::Method,
    std::net::SocketAddr,
};

/// A backend stand-in as a process.
#[derive(Debug)]
pub struct BackendProcess {
    /// The process.
    pub process: ChildProcess,
    /// Address of its port for orders and requests.
    pub address: SocketAddr,
    control: SocketAddr,
}

impl BackendProcess {
    /// Starts it on a port chosen by the OS.
    pub async fn start(
        programs: &ProgramOptions,
        settings: &BackendSettings,
    ) -> Result<Self, BenchError> {
        let program = programs.path("camphorcove-backend");
        let (process, addresses) = ChildProcess::start_printing(&program, &[], 2)?;
        let server = Self {
            process,
            address: addresses[0],
            control: addresses[1],
        };
        server.set(settings).await?;
        Ok(server)
    }

    /// Replaces its settings.
    pub async fn set(&self, settings: &BackendSettings) -> Result<(), BenchError> {
        control(self.control, Method::PATCH, "/control/settings", settings).await?;
        Ok(())
    }

    /// Its counters.
    pub async fn stats(&self) -> Result<BackendStats, BenchError> {
        let what = "/control/stats";
        let body = control(self.control, Method::GET, what, &()).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let reason = error.to_string();
            CallFailedSnafu { what, reason }.build()
        })
    }
}
