//! Command line of the benchmarks.

use {
    camphorcove_bench::{
        error::{BenchError, InterruptedSnafu, WriteFailedSnafu},
        experiments::{BalanceOptions, CapacityOptions, CostOptions, FailoverOptions},
        load::{self, LoadOptions},
        report::OutputOptions,
        slopes,
    },
    clap::{Parser, Subcommand},
    snafu::ResultExt,
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

/// Benchmarks of the camphorcove router.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchCommand {
    #[command(subcommand)]
    experiment: Experiment,
    #[command(flatten)]
    output: OutputOptions,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Generates load against hosts that are already running.
    Load(LoadOptions),
    /// Measures the latency and processor time that one daemon adds to a direct connection.
    Cost(CostOptions),
    /// Measures how long keys are unavailable after the loss of a server, of a host, of
    /// the controller, or of the controller and a server together.
    Failover(FailoverOptions),
    /// Measures how evenly load is balanced over servers whose speeds differ by 1:4.
    Balance(BalanceOptions),
    /// Measures processor time, memory and control traffic of hosts without requests.
    Capacity(CapacityOptions),
    /// Measures how the control plane's cost grows with servers, shards, hosts and
    /// scopes, without sockets; prints Markdown tables.
    Slopes,
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = BenchCommand::parse();
    // On a signal, `run` is dropped, which kills the processes that the experiment started.
    let result = tokio::select! {
        result = run(command) => result,
        result = wait_for_signal() => result,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorcove-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns [`BenchError::Interrupted`] on SIGTERM or SIGINT; never returns if signals
/// cannot be handled.
async fn wait_for_signal() -> Result<(), BenchError> {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    InterruptedSnafu.fail()
}

async fn run(command: BenchCommand) -> Result<(), BenchError> {
    let output = command.output;
    match command.experiment {
        Experiment::Load(options) => {
            let result = load::run(&options.entries, &options.services, &options.plan).await;
            result.table().print_and_save(&output)?;
            println!("{}", result.summary());
            Ok(())
        }
        Experiment::Cost(options) => options.run().await?.print_and_save(&output),
        Experiment::Failover(options) => options.run().await?.print_and_save(&output),
        Experiment::Balance(options) => options.run().await?.print_and_save(&output),
        Experiment::Capacity(options) => options.run().await?.print_and_save(&output),
        Experiment::Slopes => {
            slopes::write_report(&mut std::io::stdout().lock()).context(WriteFailedSnafu {
                path: "standard output",
            })
        }
    }
}
