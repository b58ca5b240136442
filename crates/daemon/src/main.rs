//! Entry point of the daemon process.

use {
    camphorcove_net::log::{LogSetup, LogTarget, start},
    camphorcoved::{
        conf::{DaemonSettings, read},
        error::{DaemonError, StartSnafu},
        node::run_node,
        shutdown::StopOutcome,
    },
    clap::Parser,
    std::{path::PathBuf, process::ExitCode},
};

/// The camphorcove router daemon.
#[derive(Debug, Parser)]
#[command(version)]
struct DaemonArgs {
    /// Path of the settings file; docs/settings.md describes the settings
    #[arg(long)]
    settings: PathBuf,
    /// Check the settings file and exit
    #[arg(long)]
    check: bool,
}

/// Exit code of a planned stop that reached its time limit and aborted requests.
const EXIT_CODE_CUT: u8 = 3;

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    match run(&args) {
        Ok(StopOutcome::Complete) => ExitCode::SUCCESS,
        Ok(StopOutcome::Cut { .. }) => ExitCode::from(EXIT_CODE_CUT),
        Err(error) => {
            eprintln!("camphorcoved: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(args: &DaemonArgs) -> Result<StopOutcome, DaemonError> {
    let settings = read(&args.settings)?;
    if args.check {
        return Ok(StopOutcome::Complete);
    }
    start_log(&settings)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| {
        let what = "runtime";
        let reason = error.to_string();
        StartSnafu { what, reason }.build()
    })?;
    let outcome = runtime.block_on(run_node(settings));
    // Do not wait for the tasks of aborted requests.
    runtime.shutdown_background();
    outcome
}

fn start_log(settings: &DaemonSettings) -> Result<(), DaemonError> {
    let setup = LogSetup {
        program: "camphorcoved",
        host: Some(settings.host.to_string()),
        level: settings.log_level,
        target: LogTarget::StandardError,
    };
    start(setup).map_err(|error| {
        let what = "log";
        let reason = error.to_string();
        StartSnafu { what, reason }.build()
    })
}
