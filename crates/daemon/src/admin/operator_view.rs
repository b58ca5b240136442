//! Interface through which the operator API reaches the rest of the daemon.

use {
    camphorcove_core::ids::{ConfigVersion, Epoch, HostId, ServiceName},
    camphorcove_net::operator::{MoveStatus, RoleStatus, ServerLoad},
    std::future::Future,
};

/// State of the daemon that the operator API shows, and the one action it triggers.
///
/// A trait, so that tests can run the API without a whole daemon.
pub trait OperatorView: Send + Sync + 'static {
    /// Id of this host.
    fn host(&self) -> HostId;

    /// Configuration versions in force on the other hosts. Hosts that do not respond
    /// are left out.
    fn host_versions(&self) -> impl Future<Output = Vec<(HostId, ConfigVersion)>> + Send;

    /// Roles of this host in all scopes.
    fn roles(&self) -> impl Future<Output = Vec<RoleStatus>> + Send;

    /// Shard moves that this host carries out as a controller.
    fn moves(&self) -> impl Future<Output = Vec<MoveStatus>> + Send;

    /// Loads of the servers that this host forwards to.
    fn loads(&self) -> impl Future<Output = Vec<ServerLoad>> + Send;

    /// Metrics in the Prometheus text format. They are served to unsigned requests.
    fn metrics(&self) -> String;

    /// Accepts an operator's confirmation that the hosts of an earlier controller of
    /// the scope have stopped. Fails unless this host has claimed the scope under an
    /// epoch later than `epoch`; the error is a message for the operator.
    fn confirm_lost(
        &self,
        service: &ServiceName,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), String>> + Send;
}
