//! Runs the backend stand-in as a process until Ctrl-C.

use {
    camphorcove_standin::backend::{BackendOptions, BackendStandin},
    clap::Parser,
    std::io,
};

/// Stand-in for a backend server; prints its address as its first line and
/// the address of its control port as its second.
#[derive(Debug, Parser)]
#[command(version)]
struct BackendCommand {
    #[command(flatten)]
    options: BackendOptions,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let command = BackendCommand::parse();
    let standin = BackendStandin::start(command.options).await?;
    println!("{}", standin.address());
    println!("{}", standin.control_address());
    tokio::signal::ctrl_c().await
}
