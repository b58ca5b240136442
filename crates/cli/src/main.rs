//! Command-line client for operators of the camphorcove router.

mod args;
mod commands;
mod conf;
mod error;
mod output;

use {args::CliArgs, clap::Parser, std::process::ExitCode};

fn main() -> ExitCode {
    let args = CliArgs::parse();
    let json = args.json;
    match commands::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.report(json);
            ExitCode::from(error.exit_code().number())
        }
    }
}
