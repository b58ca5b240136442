//! Quick start: runs a router for an example region in a single process.

mod demo_error;
mod demo_keys;
mod demo_region;

use {
    clap::Parser,
    demo_error::{DemoError, RouterSnafu},
    demo_region::DemoRegion,
    snafu::ResultExt,
    std::{net::SocketAddr, process::ExitCode},
};

/// Runs a router with a platform and backend servers in one process.
///
/// All state is in memory and all connections are on loopback. Ctrl-C stops it.
#[derive(Debug, Parser)]
#[command(version)]
struct DemoArgs {
    /// Address for requests of callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    callers: SocketAddr,
    /// Address for the operator API.
    #[arg(long, default_value = "127.0.0.1:8081")]
    operators: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(DemoArgs::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorcove-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: DemoArgs) -> Result<(), DemoError> {
    let region = DemoRegion::start().await?;
    let settings = region.settings(args.callers, args.operators);
    println!("{}", region.introduction(&settings));
    camphorcoved::node::run_node(settings)
        .await
        .context(RouterSnafu)?;
    Ok(())
}
