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

    /// Configuration versions in force on other hosts, as known from their polls.
    fn host_versions(&self) -> Vec<(HostId, ConfigVersion)>;

    /// Roles of this host.
    fn roles(&self) -> Vec<RoleStatus>;

    /// Moves that this host drives as a controller.
    fn moves(&self) -> Vec<MoveStatus>;

    /// Loads of the servers that this host forwards to.
    fn loads(&self) -> Vec<ServerLoad>;

    /// Metrics in the Prometheus text format, served without a signature.
    fn metrics(&self) -> String;

    /// Takes an operator's confirmation that the hosts of an earlier controller
    /// of the scope have stopped. The error is a text for the operator.
    fn confirm_lost(
        &self,
        service: &ServiceName,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), String>> + Send;
}
