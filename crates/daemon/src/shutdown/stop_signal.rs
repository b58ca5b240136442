//! Signals that ask the process to stop.

use {
    crate::error::{DaemonError, StartSnafu},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Starts to listen for the signals.
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

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
