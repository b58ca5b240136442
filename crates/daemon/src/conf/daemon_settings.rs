//! Settings with their types.

use {
    camphorcove_core::{
        conf::TimeSpan,
        ids::{HostId, RegionName, ZoneName},
    },
    log::LevelFilter,
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of one daemon. docs/settings.md describes each.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// This host's id.
    pub host: HostId,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Address told to peers; `None` for the listener's own.
    pub peers_announced: Option<SocketAddr>,
    /// Listener for operators and metrics.
    pub operators: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// File with the peer key.
    pub peer_key_file: PathBuf,
    /// File with the operators' keys.
    pub operator_keys_file: Option<PathBuf>,
    /// Hosts to ask first.
    pub seeds: Vec<(HostId, SocketAddr)>,
    /// Log level at start.
    pub log_level: LevelFilter,
    /// Longest wait of a planned stop.
    pub shutdown_limit: TimeSpan,
}
