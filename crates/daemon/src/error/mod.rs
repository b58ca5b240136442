//! Errors that prevent or end a run of the daemon.

mod daemon_error;

pub use daemon_error::{DaemonError, ListenSnafu, SettingsError, StartSnafu, WrongValueSnafu};
