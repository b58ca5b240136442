//! What other tasks may know of a scope's machine.

use {
    camphorcove_core::{
        control::{ScopeCounters, ScopeMachine, ScopeRole},
        ids::{Epoch, HostId, ServerId},
        map::ServerPhase,
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
    /// Shards whose move is under way.
    pub moves: usize,
    /// Shards that nobody can serve.
    pub unowned: usize,
    /// Phases of servers, if this host controls the scope.
    pub phases: Vec<(ServerId, ServerPhase)>,
    /// Counters since the process started.
    pub counters: ScopeCounters,
}

impl ScopeReport {
    /// Report of a machine.
    pub fn of(machine: &ScopeMachine, now: BootTime) -> Self {
        let electors = machine.state().map(|state| state.electors.clone());
        Self {
            role: machine.role(),
            epoch: machine.epoch(),
            controller: machine.controller().cloned(),
            electors: electors.unwrap_or_default(),
            authority: machine.authority_end().since(now),
            moves: machine.moves_in_flight(),
            unowned: machine.unowned_shards(),
            phases: machine.server_phases(),
            counters: machine.counters().clone(),
        }
    }
}
