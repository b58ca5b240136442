//! What the operator API needs to know from the rest of the daemon.

use {
    camphorcove_core::ids::{ConfigVersion, Epoch, HostId, ServiceName},
    camphorcove_net::operator::{MoveStatus, RoleStatus, ServerLoad},
    std::future::Future,
};

/// The daemon's state as the operator API shows it.
pub trait OperatorView: Send + Sync + 'static {
    /// This host.
    fn host(&self) -> HostId;

    /// Configuration versions in force on other hosts, as far as known. Hosts
    /// without an answer are left out.
    fn host_versions(&self) -> impl Future<Output = Vec<(HostId, ConfigVersion)>> + Send;

    /// Roles of this host.
    fn roles(&self) -> impl Future<Output = Vec<RoleStatus>> + Send;

    /// Moves that this host drives as a controller.
    fn moves(&self) -> impl Future<Output = Vec<MoveStatus>> + Send;

    /// Loads of the servers that this host forwards to.
    fn loads(&self) -> impl Future<Output = Vec<ServerLoad>> + Send;

    /// Metrics in the Prometheus text format, served without a signature.
    fn metrics(&self) -> String;

    /// Takes an operator's confirmation that the hosts of an earlier controller
    /// of the scope have stopped. Refuses it unless this host holds a later epoch
    /// of the scope. The error is a text for the operator.
    fn confirm_lost(
        &self,
        service: &ServiceName,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), String>> + Send;
}
