//! Program for measurements.

use {
    camphorcove_bench::{
        error::{BenchError, InterruptedSnafu, NotWrittenSnafu},
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

/// Measurements of the camphorcove router.
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
    /// Generates load against entry hosts that are already running.
    Load(LoadOptions),
    /// Measures what one daemon adds to a direct connection.
    Cost(CostOptions),
    /// Measures unavailable time after the loss of a server, a host, the controller,
    /// or controller and server.
    Failover(FailoverOptions),
    /// Compares balance over servers 1:4 apart in speed.
    Balance(BalanceOptions),
    /// Measures what hosts spend without requests.
    Capacity(CapacityOptions),
    /// Measures slopes of the control plane without sockets, as Markdown tables.
    Slopes,
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = BenchCommand::parse();
    // Dropping an unfinished experiment ends the processes that it started.
    let result = tokio::select! {
        result = run(command) => result,
        result = terminated() => result,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorcove-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for a signal to end.
async fn terminated() -> Result<(), BenchError> {
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
            result.table().publish(&output)?;
            println!("{}", result.note());
            Ok(())
        }
        Experiment::Cost(options) => options.run().await?.publish(&output),
        Experiment::Failover(options) => options.run().await?.publish(&output),
        Experiment::Balance(options) => options.run().await?.publish(&output),
        Experiment::Capacity(options) => options.run().await?.publish(&output),
        Experiment::Slopes => {
            slopes::write_report(&mut std::io::stdout().lock()).context(NotWrittenSnafu {
                path: "standard output",
            })
        }
    }
}
