//! Role and counters that a scope's machine reports to the daemon.

use {crate::scope::MoveReason, std::collections::HashMap};

/// Role of a host in a scope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ScopeRole {
    /// Another host controls the scope, or nobody does yet.
    #[default]
    Idle,
    /// This host tries to become the controller, or holds a term but has had no authority yet.
    Candidate,
    /// This host holds the term and has gained authority in it.
    Controller,
}

/// Counters of a machine since its process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScopeCounters {
    /// Number of terms in which this host gained authority.
    pub takeovers: u64,
    /// Number of changes of a shard's owner, by reason.
    pub moves: HashMap<MoveReason, u64>,
    /// Number of writes of the scope object that took effect.
    pub writes: u64,
    /// Number of times that the controller lost its authority during a term.
    pub authority_lapses: u64,
}
