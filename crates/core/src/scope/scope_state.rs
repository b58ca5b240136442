//! Content of a scope object.

use {
    super::ShardState,
    crate::ids::{ConfigVersion, Epoch, HostId, ServiceName},
};

/// Content of a scope object.
///
/// Terms, assignments and moves share one object, so a successor's takeover
/// makes every late write of its predecessor fail on the object's version.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
pub struct ScopeState {
    /// Scope.
    pub service: ServiceName,
    /// Current term.
    pub epoch: Epoch,
    /// Controller of the term.
    pub controller: HostId,
    /// Process of the controller, to recognise a write whose answer was lost.
    pub nonce: u64,
    /// Electors of the term.
    pub electors: Vec<HostId>,
    /// Last sequence number used in a token of this term.
    pub sequence: u64,
    /// Configuration the assignment follows.
    pub config: ConfigVersion,
    /// Shards by id.
    pub shards: Vec<ShardState>,
    /// Audit records not yet archived, newest last.
    pub records: Vec<crate::audit::AuditRecord>,
}
