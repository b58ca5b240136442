//! The quick start: a router for one example region in one process.

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
/// Everything is in memory and on loopback. Ctrl-C stops it.
#[derive(Debug, Parser)]
#[command(version)]
struct DemoArgs {
    /// Where callers connect.
    #[arg(long, default_value = "127.0.0.1:8080")]
    callers: SocketAddr,
    /// Where operators connect.
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
