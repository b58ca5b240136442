//! Runs the platform stand-in as a process until Ctrl-C.

use {
    camphorcove_standin::platform::PlatformStandin,
    clap::Parser,
    std::{io, net::SocketAddr},
};

/// Stand-in for the platform; prints its address as its first line.
#[derive(Debug, Parser)]
#[command(version)]
struct PlatformOptions {
    /// Address to listen on; port 0 lets the OS choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = PlatformOptions::parse();
    let standin = PlatformStandin::start(options.listen).await?;
    println!("{}", standin.address());
    tokio::signal::ctrl_c().await
}
