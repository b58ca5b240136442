//! Runs the fault-injecting proxy as a process until Ctrl-C.

use {
    camphorcove_standin::proxy::{ProxyOptions, ProxyStandin},
    clap::Parser,
    std::io,
};

/// Fault-injecting TCP proxy; prints its address as its first line and the
/// address of its control port as its second.
#[derive(Debug, Parser)]
#[command(version)]
struct ProxyCommand {
    #[command(flatten)]
    options: ProxyOptions,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let command = ProxyCommand::parse();
    let standin = ProxyStandin::start(command.options).await?;
    println!("{}", standin.address());
    println!("{}", standin.control_address());
    tokio::signal::ctrl_c().await
}
