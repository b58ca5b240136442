//! Typed settings of the daemon.

use {
    camphorcove_core::{
        conf::TimeSpan,
        ids::{HostId, RegionName, ZoneName},
    },
    log::LevelFilter,
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of one daemon. The page docs/settings.md describes them.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Id of this host, unique in the region.
    pub host: HostId,
    /// Region that this host belongs to.
    pub region: RegionName,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other hosts.
    pub peers: SocketAddr,
    /// Peer address announced to other hosts; `None` announces the listen address.
    pub peers_announced: Option<SocketAddr>,
    /// Listen address for operators and metrics.
    pub operators: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// File with the key that the region's hosts share.
    pub peer_key_file: PathBuf,
    /// File with the operators' keys; without it operators can change nothing.
    pub operator_keys_file: Option<PathBuf>,
    /// Peer addresses of hosts that are contacted in addition to the platform's list.
    pub seeds: Vec<(HostId, SocketAddr)>,
    /// Log level at startup; operators can change it at run time.
    pub log_level: LevelFilter,
    /// Maximum time that a planned stop waits for requests in flight.
    pub shutdown_limit: TimeSpan,
}
