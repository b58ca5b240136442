//! Snapshot of a scope's state for the operator API and the metrics.

use {
    camphorcove_core::{
        control::{ScopeCounters, ScopeMachine, ScopeRole},
        ids::{Epoch, HostId, ServerId, ShardId},
        map::ServerPhase,
        scope::ShardState,
        time::BootTime,
    },
    std::time::Duration,
};

/// State of a scope on this host, published periodically by its actor.
#[derive(Clone, Debug, Default)]
pub struct ScopeReport {
    /// Role of this host in the scope.
    pub role: ScopeRole,
    /// Epoch of the current term.
    pub epoch: Epoch,
    /// Host that is the controller, if known.
    pub controller: Option<HostId>,
    /// Electors that the scope object names; empty if it has not been read.
    pub electors: Vec<HostId>,
    /// Remaining time of the controller's authority; zero on other hosts.
    pub authority: Duration,
    /// Moves in progress: shard, old owner, new owner, reason.
    pub moves: Vec<(ShardId, ServerId, ServerId, String)>,
    /// Promise requests that electors refused or did not answer.
    pub promise_failures: u64,
    /// Total time without a valid routing map since this host received its first one.
    pub unavailable: Duration,
    /// Number of shards that no server can serve.
    pub unowned: usize,
    /// Phase of each server; empty unless this host is the controller.
    pub phases: Vec<(ServerId, ServerPhase)>,
    /// Event counters since the process started.
    pub counters: ScopeCounters,
}

/// Totals that the daemon measures outside the state machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedTotals {
    /// Promise requests that electors refused or did not answer.
    pub promise_failures: u64,
    /// Total time without a valid routing map since this host received its first one.
    pub unavailable: Duration,
}

impl ScopeReport {
    /// Builds the report of a state machine as of `now`.
    pub fn of(machine: &ScopeMachine, now: BootTime, observed: ObservedTotals) -> Self {
        let electors = machine.state().map(|state| state.electors.clone());
        Self {
            role: machine.role(),
            epoch: machine.epoch(),
            controller: machine.controller().cloned(),
            electors: electors.unwrap_or_default(),
            authority: machine.authority_end().since(now),
            moves: moves(machine),
            unowned: machine.unowned_shards(),
            phases: machine.server_phases(),
            counters: machine.counters().clone(),
            promise_failures: observed.promise_failures,
            unavailable: observed.unavailable,
        }
    }
}

fn moves(machine: &ScopeMachine) -> Vec<(ShardId, ServerId, ServerId, String)> {
    let shards = machine.state().map(|state| state.shards.as_slice());
    let mut moves = Vec::new();
    for (shard, number) in shards.unwrap_or_default().iter().zip(0..) {
        let ShardState::Releasing {
            from, to, reason, ..
        } = shard
        else {
            continue;
        };
        let reason = format!("{reason:?}").to_lowercase();
        moves.push((ShardId(number), from.clone(), to.clone(), reason));
    }
    moves
}
