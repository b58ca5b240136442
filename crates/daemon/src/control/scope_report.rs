//! What other tasks may know of a scope's machine.

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

/// State of a scope's machine at one time.
#[derive(Clone, Debug, Default)]
pub struct ScopeReport {
    /// Role of this host.
    pub role: ScopeRole,
    /// Term.
    pub epoch: Epoch,
    /// Controller, as far as known.
    pub controller: Option<HostId>,
    /// Electors that the scope object names, as far as known.
    pub electors: Vec<HostId>,
    /// Authority left; zero unless this host controls the scope.
    pub authority: Duration,
    /// Moves under way: shard, old owner, new owner, reason.
    pub moves: Vec<(ShardId, ServerId, ServerId, String)>,
    /// Requests for a promise that were refused or not answered.
    pub promise_failures: u64,
    /// Time without a valid map since the first one was held.
    pub unavailable: Duration,
    /// Shards that nobody can serve.
    pub unowned: usize,
    /// Phases of servers, if this host controls the scope.
    pub phases: Vec<(ServerId, ServerPhase)>,
    /// Counters since the process started.
    pub counters: ScopeCounters,
}

/// Totals that the daemon keeps beside the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedTotals {
    /// Requests for a promise that were refused or not answered.
    pub promise_failures: u64,
    /// Time without a valid map since the first one was held.
    pub unavailable: Duration,
}

impl ScopeReport {
    /// Report of a machine.
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
