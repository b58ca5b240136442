//! Signals that ask the process to stop.

use {
    crate::error::{DaemonError, StartSnafu},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Receiver of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Installs the signal handlers.
    pub fn new() -> Result<Self, DaemonError> {
        let listen = |kind| {
            signal(kind).map_err(|error| {
                let what = "signal handler";
                let reason = error.to_string();
                StartSnafu { what, reason }.build()
            })
        };
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of either signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
