//! What the daemon may read from a scope's machine.

use {crate::scope::MoveReason, std::collections::HashMap};

/// Role of a host in a scope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ScopeRole {
    /// Another host controls the scope, or nobody does yet.
    #[default]
    Idle,
    /// This host tries to become the controller.
    Candidate,
    /// This host is the controller.
    Controller,
}

/// Counters of a machine since its process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScopeCounters {
    /// Terms this host gained authority in.
    pub takeovers: u64,
    /// Shards that changed owner, by reason.
    pub moves: HashMap<MoveReason, u64>,
    /// Writes of the scope object that took effect.
    pub writes: u64,
    /// Times the controller was without authority during its term.
    pub authority_lapses: u64,
}
