//! Commands.

use {
    camphorcove_core::{
        audit::ChainAnchor,
        conf::TimeSpan,
        ids::{ConfigVersion, ServerId, ServiceName},
    },
    clap::{Args, Subcommand},
    clap_complete::Shell,
    std::path::PathBuf,
};

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum CliCommand {
    /// Check a configuration file without a host.
    #[command(after_help = "Example:\n  camphorcove check stockholm.toml")]
    Check {
        /// Configuration file.
        file: PathBuf,
    },
    /// Show what applying a file would change.
    #[command(after_help = "Example:\n  camphorcove diff stockholm.toml")]
    Diff {
        /// Configuration file.
        file: PathBuf,
    },
    /// Apply a configuration file as a whole.
    #[command(after_help = "\
Examples:
  camphorcove apply stockholm.toml --reason 'more slots for boka'
  camphorcove apply stockholm.toml --expect 17 --wait")]
    Apply(ApplyArgs),
    /// Apply the content of an earlier version as a new version.
    #[command(after_help = "Example:\n  camphorcove rollback 16 --reason 'boka refuses bookings'")]
    Rollback(RollbackArgs),
    /// Print the configuration file in force, or of a version.
    #[command(after_help = "Example:\n  camphorcove show 16 > before.toml")]
    Show {
        /// Version.
        version: Option<ConfigVersion>,
    },
    /// Show the state of hosts and services.
    #[command(after_help = "Example:\n  camphorcove status --json")]
    Status,
    /// List services.
    #[command(after_help = "Example:\n  camphorcove services")]
    Services,
    /// List servers.
    #[command(after_help = "Example:\n  camphorcove servers ledig")]
    Servers {
        /// Only of this service.
        service: Option<ServiceName>,
    },
    /// Show who owns a key.
    #[command(after_help = "Example:\n  camphorcove owner ledig raft-17")]
    Owner(KeyArgs),
    /// List moves of shards under way.
    #[command(after_help = "Example:\n  camphorcove moves")]
    Moves,
    /// Give a server no new work.
    #[command(after_help = "Example:\n  camphorcove drain ledig l3 --reason 'disk replacement'")]
    Drain(ServerArgs),
    /// Give a drained server work again.
    #[command(after_help = "Example:\n  camphorcove undrain ledig l3")]
    Undrain(ServerArgs),
    /// Hold the shard of a key at a server.
    #[command(after_help = "Example:\n  camphorcove pin ledig raft-17 l3")]
    Pin(PinArgs),
    /// Place the shard of a key freely again.
    #[command(after_help = "Example:\n  camphorcove unpin ledig raft-17")]
    Unpin {
        /// Service and key.
        #[command(flatten)]
        key: KeyArgs,
        /// Change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Read the audit trail.
    #[command(subcommand)]
    Audit(AuditCommand),
    /// Explain where a request would go, or why it would be refused.
    #[command(after_help = "Example:\n  camphorcove explain /ledig/raft-17 --host boka.example")]
    Explain(ExplainArgs),
    /// Change the log level of the host at the first address.
    #[command(after_help = "Example:\n  camphorcove log-level debug --address 127.0.0.1:9301")]
    LogLevel {
        /// off, error, warn, info, debug or trace.
        level: String,
        /// Reason for the audit trail.
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Confirm that the old hosts of a scope have stopped for good.
    ///
    /// Safe only if the controller and electors up to this epoch have really
    /// stopped. If one of them still runs, a key may get two owners.
    #[command(after_help = "\
Example:
  camphorcove confirm-lost ledig 7 --hosts-have-stopped --reason 'zone b has no power'")]
    ConfirmLost {
        /// Service.
        service: ServiceName,
        /// Epoch of the controller that has stopped, as shown by status.
        epoch: u64,
        /// States that the old hosts have stopped.
        #[arg(long, required = true)]
        hosts_have_stopped: bool,
        /// Reason for the audit trail.
        #[arg(long)]
        reason: String,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  camphorcove completions bash > camphorcove.bash")]
    Completions {
        /// Shell.
        shell: Shell,
    },
    /// Print the manual page.
    #[command(after_help = "Example:\n  camphorcove man > camphorcove.1")]
    Man,
}

/// Commands of the audit trail.
#[derive(Clone, Debug, Subcommand)]
pub enum AuditCommand {
    /// List the streams.
    #[command(after_help = "Example:\n  camphorcove audit streams")]
    Streams,
    /// List records.
    #[command(after_help = "Example:\n  camphorcove audit list config --from 100 --limit 20")]
    List {
        /// Stream.
        #[arg(default_value = "config")]
        stream: String,
        /// First record.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Most records.
        #[arg(long, default_value_t = 100)]
        limit: u64,
    },
    /// Verify streams, or an exported file.
    #[command(after_help = "\
Examples:
  camphorcove audit verify
  camphorcove audit verify config --anchor 41:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
  camphorcove audit verify --file config.jsonl

Note the last number and hash that the command prints, and give them as --anchor
next time: the last record of a stream is protected by nothing else.")]
    Verify(VerifyArgs),
    /// Print all records of a stream, one JSON object a line.
    #[command(after_help = "Example:\n  camphorcove audit export config > config.jsonl")]
    Export {
        /// Stream.
        #[arg(default_value = "config")]
        stream: String,
    },
}

/// What to verify.
#[derive(Clone, Debug, Args)]
pub struct VerifyArgs {
    /// Stream; all streams if absent.
    pub stream: Option<String>,
    /// Number and hash of a record, noted earlier.
    #[arg(long = "anchor", value_name = "NUMBER:HASH", value_parser = parse_anchor)]
    pub anchors: Vec<ChainAnchor>,
    /// Verify an exported file without a host.
    #[arg(long, conflicts_with = "stream")]
    pub file: Option<PathBuf>,
}

/// How a change is made.
#[derive(Clone, Debug, Args)]
pub struct ChangeArgs {
    /// Version that must be in force; the current one if absent.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<ConfigVersion>,
    /// Reason for the audit trail.
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// How long to wait for a change.
#[derive(Clone, Debug, Args)]
pub struct WaitArgs {
    /// Wait until the version is in force on every host.
    #[arg(long)]
    pub wait: bool,
    /// Longest wait.
    #[arg(long, value_name = "TIME", default_value = "60s")]
    pub wait_limit: TimeSpan,
}

/// What to apply.
#[derive(Clone, Debug, Args)]
pub struct ApplyArgs {
    /// Configuration file.
    pub file: PathBuf,
    /// Change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Wait.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// What to roll back to.
#[derive(Clone, Debug, Args)]
pub struct RollbackArgs {
    /// Version whose content is applied.
    pub version: ConfigVersion,
    /// Change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Wait.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// A server of a service.
#[derive(Clone, Debug, Args)]
pub struct ServerArgs {
    /// Service.
    pub service: ServiceName,
    /// Server.
    pub server: ServerId,
    /// Change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// A key of a service.
#[derive(Clone, Debug, Args)]
pub struct KeyArgs {
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: String,
}

/// A key with the server that is to hold it.
#[derive(Clone, Debug, Args)]
pub struct PinArgs {
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: String,
    /// Server.
    pub server: ServerId,
    /// Change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// A request to explain.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// Path with query.
    pub target: String,
    /// Method.
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// Host header.
    #[arg(long, default_value = "")]
    pub host: String,
    /// Further header.
    #[arg(long = "header", value_name = "NAME=VALUE", value_parser = parse_header)]
    pub headers: Vec<(String, String)>,
}

fn parse_anchor(text: &str) -> Result<ChainAnchor, String> {
    let (number, hash) = text.split_once(':').ok_or("expected NUMBER:HASH")?;
    Ok(ChainAnchor {
        number: number
            .parse()
            .map_err(|_| "expected a number before the colon")?,
        hash: hash.parse().map_err(|error| format!("{error}"))?,
    })
}

fn parse_header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
    Ok((name.to_ascii_lowercase(), value.to_owned()))
}
