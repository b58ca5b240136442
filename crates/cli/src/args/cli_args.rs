//! Options that apply to all commands.

use {
    super::CliCommand,
    clap::Parser,
    std::{net::SocketAddr, path::PathBuf},
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  unexpected failure
  2  invalid input: options, settings, or a file with faults (one line each)
  3  refused because it conflicts with the state in force
  4  key, signature or time not accepted
  5  no host or no platform available; nothing changed
  6  outcome unknown; repeating the command is safe
  7  service, server, key, version or stream not found
  8  audit verification found faults
  9  accepted, but not in force on every host within the wait limit

Settings come from options, then from the environment, then from a TOML file:
  addresses = [\"127.0.0.1:9301\", \"127.0.0.1:9302\"]
  key_id = \"anna\"
  key_file = \"anna.key\"";

/// Command-line client for operators of the camphorcove router.
#[derive(Clone, Debug, Parser)]
#[command(name = "camphorcove", version, after_help = EXIT_CODES)]
pub struct CliArgs {
    /// Operator addresses of hosts, tried in order.
    #[arg(
        long = "address",
        global = true,
        value_name = "IP:PORT",
        env = "CAMPHORCOVE_ADDRESSES",
        hide_env_values = true,
        value_delimiter = ','
    )]
    pub addresses: Vec<SocketAddr>,
    /// Id of the key that signs requests.
    #[arg(
        long,
        global = true,
        value_name = "ID",
        env = "CAMPHORCOVE_KEY_ID",
        hide_env_values = true
    )]
    pub key_id: Option<String>,
    /// File with the secret of the signing key, in hexadecimal.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "CAMPHORCOVE_KEY_FILE",
        hide_env_values = true
    )]
    pub key_file: Option<PathBuf>,
    /// Settings file; default: ~/.config/camphorcove/client.toml if it exists.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "CAMPHORCOVE_SETTINGS",
        hide_env_values = true
    )]
    pub settings: Option<PathBuf>,
    /// Print results and errors as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: CliCommand,
}
