//! Command-line options and subcommands, parsed by clap.

mod cli_args;
mod cli_command;

pub use {
    cli_args::CliArgs,
    cli_command::{
        ApplyArgs, AuditCommand, ChangeArgs, CheckRoutesArgs, CliCommand, ExplainArgs, KeyArgs,
        PinArgs, RollbackArgs, ServerArgs, VerifyArgs, WaitArgs,
    },
};
