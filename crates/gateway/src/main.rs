//! Entry point of the host program.

use {
    camphorcove_gateway::{
        conf::{GatewaySettings, read_settings},
        error::{GatewayError, StartSnafu},
        node::{log_panics, run_host},
    },
    camphorcove_net::log::{LogSetup, LogTarget, start},
    clap::Parser,
    log::LevelFilter,
    std::{path::PathBuf, process::ExitCode},
};

/// The camphorcove host program on the users' platform.
#[derive(Debug, Parser)]
#[command(version)]
struct GatewayArgs {
    /// Settings file, described in docs/gateway-settings.md.
    #[arg(
        long,
        env = "CAMPHORCOVE_SETTINGS",
        default_value = "/etc/camphorcove/local.conf"
    )]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
    /// Least severe level that is logged.
    #[arg(long, default_value_t = LevelFilter::Info)]
    log_level: LevelFilter,
}

fn main() -> ExitCode {
    let args = GatewayArgs::parse();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorcove-gateway: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(args: GatewayArgs) -> Result<(), GatewayError> {
    let settings = read_settings(&args.settings)?;
    if args.check {
        return Ok(());
    }
    start_log(&settings, args.log_level)?;
    log_panics();
    // A host runs on one core at a time, so more threads would only take turns on it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .or_else(|error| {
            StartSnafu {
                what: "runtime",
                reason: error.to_string(),
            }
            .fail()
        })?;
    let outcome = runtime.block_on(run_host(settings, args.settings));
    // Requests still running when the stop time is over must not delay the exit.
    runtime.shutdown_background();
    outcome
}

fn start_log(settings: &GatewaySettings, level: LevelFilter) -> Result<(), GatewayError> {
    let setup = LogSetup {
        program: "camphorcove-gateway",
        host: Some(settings.host.to_string()),
        level,
        target: LogTarget::BoundedOutput,
    };
    start(setup).or_else(|error| {
        StartSnafu {
            what: "log",
            reason: error.to_string(),
        }
        .fail()
    })
}
