//! Program for measurements.

use {
    camphorcove_bench::{
        error::BenchError,
        load::{self, LoadOptions},
        report::OutputOptions,
    },
    clap::{Parser, Subcommand},
    std::process::ExitCode,
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
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = BenchCommand::parse();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorcove-bench: {error}");
            ExitCode::FAILURE
        }
    }
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
    }
}
