//! Subcommands of the client with their arguments.

use {
    camphorcove_core::{
        audit::ChainAnchor,
        conf::TimeSpan,
        ids::{ConfigVersion, ServerId, ServiceName},
    },
    clap::{Args, Subcommand},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

/// Command to run.
#[derive(Clone, Debug, Subcommand)]
pub enum CliCommand {
    /// Validate a configuration file locally, without contacting a host.
    #[command(after_help = "Example:\n  camphorcove check stockholm.toml")]
    Check {
        /// Path of the configuration file.
        file: PathBuf,
    },
    /// Check a configuration of the platform (JSON) before it is sent.
    ///
    /// Finds all errors for which hosts would reject it, entries without effect, and contradictions.
    #[command(after_help = "\
Examples:
  camphorcove check-routes routes.json --settings settings.toml
  camphorcove check-routes routes.json --store 127.0.0.1:7000 --json")]
    CheckRoutes(CheckRoutesArgs),
    /// Show the differences between the configuration in force and a file.
    #[command(after_help = "Example:\n  camphorcove diff stockholm.toml")]
    Diff {
        /// Path of the configuration file.
        file: PathBuf,
    },
    /// Replace the configuration in force by a file.
    #[command(after_help = "\
Examples:
  camphorcove apply stockholm.toml --reason 'more slots for boka'
  camphorcove apply stockholm.toml --expect 17 --wait")]
    Apply(ApplyArgs),
    /// Apply the content of an earlier version as a new version.
    #[command(after_help = "Example:\n  camphorcove rollback 16 --reason 'boka refuses bookings'")]
    Rollback(RollbackArgs),
    /// Print the configuration file in force, or that of an earlier version.
    #[command(after_help = "Example:\n  camphorcove show 16 > before.toml")]
    Show {
        /// Configuration version; default: the one in force.
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
        /// List only the servers of this service.
        service: Option<ServiceName>,
    },
    /// Show which server owns a key.
    #[command(after_help = "Example:\n  camphorcove owner ledig raft-17")]
    Owner(KeyArgs),
    /// List shard moves in progress.
    #[command(after_help = "Example:\n  camphorcove moves")]
    Moves,
    /// Drain a server: move its shards away and give it no new work.
    #[command(after_help = "Example:\n  camphorcove drain ledig l3 --reason 'disk replacement'")]
    Drain(ServerArgs),
    /// Undo a drain, so that the server gets new work again.
    #[command(after_help = "Example:\n  camphorcove undrain ledig l3")]
    Undrain(ServerArgs),
    /// Pin the shard of a key to a server.
    #[command(after_help = "Example:\n  camphorcove pin ledig raft-17 l3")]
    Pin(PinArgs),
    /// Remove the pin from the shard of a key.
    #[command(after_help = "Example:\n  camphorcove unpin ledig raft-17")]
    Unpin {
        /// Service and key whose shard is unpinned.
        #[command(flatten)]
        key: KeyArgs,
        /// Expected version and reason of the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Read and verify the audit trail.
    #[command(subcommand)]
    Audit(AuditCommand),
    /// Explain where a request would go, or why it would be refused.
    #[command(after_help = "Example:\n  camphorcove explain /ledig/raft-17 --host boka.example")]
    Explain(ExplainArgs),
    /// Change the log level of the host at the first address.
    #[command(after_help = "Example:\n  camphorcove log-level debug --address 127.0.0.1:9301")]
    LogLevel {
        /// New level: off, error, warn, info, debug or trace.
        level: String,
        /// Reason for the audit trail.
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Confirm that the old controller and electors of a service have stopped for good.
    ///
    /// Safe only if the controller and the electors up to this epoch have really
    /// stopped. If one of them still runs, a key may get two owners.
    #[command(after_help = "\
Example:
  camphorcove confirm-lost ledig 7 --hosts-have-stopped --reason 'zone b has no power'")]
    ConfirmLost {
        /// Service whose hosts have stopped.
        service: ServiceName,
        /// Epoch of the controller that has stopped, as shown by status.
        epoch: u64,
        /// Required: states that these hosts have stopped.
        #[arg(long, required = true)]
        hosts_have_stopped: bool,
        /// Reason for the audit trail.
        #[arg(long)]
        reason: String,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  camphorcove completions bash > camphorcove.bash")]
    Completions {
        /// Shell to generate the script for.
        shell: Shell,
    },
    /// Print the manual page.
    #[command(after_help = "Example:\n  camphorcove man > camphorcove.1")]
    Man,
}

/// Commands that read and verify the audit trail.
#[derive(Clone, Debug, Subcommand)]
pub enum AuditCommand {
    /// List the names of the audit streams.
    #[command(after_help = "Example:\n  camphorcove audit streams")]
    Streams,
    /// List the records of a stream.
    #[command(after_help = "Example:\n  camphorcove audit list config --from 100 --limit 20")]
    List {
        /// Name of the stream.
        #[arg(default_value = "config")]
        stream: String,
        /// Number of the first record to list.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Maximum number of records to list.
        #[arg(long, default_value_t = 100)]
        limit: u64,
    },
    /// Verify the hash chains of streams, or of an exported file.
    #[command(after_help = "\
Examples:
  camphorcove audit verify
  camphorcove audit verify config --anchor 41:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
  camphorcove audit verify --file config.jsonl

Keep the last number and hash that the command prints, and pass them as --anchor
next time: nothing else shows that the last record was changed or removed.")]
    Verify(VerifyArgs),
    /// Print all records of a stream, one JSON object per line.
    #[command(after_help = "Example:\n  camphorcove audit export config > config.jsonl")]
    Export {
        /// Name of the stream.
        #[arg(default_value = "config")]
        stream: String,
    },
}

/// Arguments of `audit verify`.
#[derive(Clone, Debug, Args)]
pub struct VerifyArgs {
    /// Stream to verify; default: all streams.
    pub stream: Option<String>,
    /// Number and hash of a record, as printed by an earlier verification.
    #[arg(long = "anchor", value_name = "NUMBER:HASH", value_parser = parse_anchor)]
    pub anchors: Vec<ChainAnchor>,
    /// Verify an exported file locally, without contacting a host.
    #[arg(long, conflicts_with = "stream")]
    pub file: Option<PathBuf>,
}

/// Options of commands that change the configuration.
#[derive(Clone, Debug, Args)]
pub struct ChangeArgs {
    /// Version that must be in force, or the change is refused; default: the one in force now.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<ConfigVersion>,
    /// Reason for the audit trail.
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Options for waiting until a change is in force.
#[derive(Clone, Debug, Args)]
pub struct WaitArgs {
    /// Wait until the version is in force on every host.
    #[arg(long)]
    pub wait: bool,
    /// Maximum time to wait.
    #[arg(long, value_name = "TIME", default_value = "60s")]
    pub wait_limit: TimeSpan,
}

/// Arguments of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArgs {
    /// Path of the configuration file.
    pub file: PathBuf,
    /// Expected version and reason of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Whether and how long to wait until it is in force.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Arguments of `rollback`.
#[derive(Clone, Debug, Args)]
pub struct RollbackArgs {
    /// Version whose content is applied again.
    pub version: ConfigVersion,
    /// Expected version and reason of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Whether and how long to wait until it is in force.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Arguments of `drain` and `undrain`.
#[derive(Clone, Debug, Args)]
pub struct ServerArgs {
    /// Name of the service.
    pub service: ServiceName,
    /// Id of the server.
    pub server: ServerId,
    /// Expected version and reason of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Service and key that a command is about.
#[derive(Clone, Debug, Args)]
pub struct KeyArgs {
    /// Name of the service.
    pub service: ServiceName,
    /// Key as it appears in requests.
    pub key: String,
}

/// Arguments of `pin`.
#[derive(Clone, Debug, Args)]
pub struct PinArgs {
    /// Name of the service.
    pub service: ServiceName,
    /// Key as it appears in requests.
    pub key: String,
    /// Id of the server.
    pub server: ServerId,
    /// Expected version and reason of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of `explain`: the request to route.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// Path and query of the request.
    pub target: String,
    /// Method of the request.
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// Host header of the request.
    #[arg(long, default_value = "")]
    pub host: String,
    /// Another header of the request; may be repeated.
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

/// Arguments of `check-routes`.
#[derive(Clone, Debug, Args)]
pub struct CheckRoutesArgs {
    /// Path of the configuration file.
    pub file: PathBuf,
    /// Show what differs from this file.
    #[arg(long, value_name = "FILE", conflicts_with = "store")]
    pub against: Option<PathBuf>,
    /// Show what differs from the version in force in the platform's store.
    #[arg(long, value_name = "IP:PORT")]
    pub store: Option<SocketAddr>,
    /// Settings file of the hosts, for checks of the retry budget.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Fail with exit code 2 also if there are only warnings.
    #[arg(long)]
    pub strict: bool,
}
