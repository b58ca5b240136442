//! Helpers that the ownership tests share.

use super::prelude::*;

/// Content of the scope object.
pub fn state(simulation: &Simulation) -> &ScopeState {
    &simulation.scope_object.as_ref().unwrap().1
}

pub fn assert_no_violations(simulation: &Simulation) {
    let violations = &simulation.checker.violations;
    assert!(
        violations.is_empty(),
        "{violations:#?}, log {:#?}",
        simulation.log
    );
}

/// Shards that the scope object assigns to a server.
pub fn shards_of(simulation: &Simulation, server: usize) -> Vec<ShardId> {
    let id = server_id(server);
    let shards = state(simulation).shards.iter().enumerate();
    shards
        .filter(|(_, shard)| matches!(shard, ShardState::Owned { server, .. } if *server == id))
        .map(|(index, _)| ShardId(index as u32))
        .collect()
}

/// Number of moves by reason, over the machines of all hosts.
pub fn moves(simulation: &Simulation) -> BTreeMap<String, u64> {
    let mut moves = BTreeMap::new();
    for host in &simulation.hosts {
        for (reason, count) in &host.machine.counters().moves {
            *moves.entry(format!("{reason:?}")).or_default() += count;
        }
    }
    moves
}

/// Latest map of the current controller.
pub fn controller_map(simulation: &Simulation) -> RoutingMap {
    let controller = simulation.controller().unwrap();
    let (map, _) = simulation.hosts[controller].held_map.clone().unwrap();
    RoutingMap::clone(&map)
}

pub fn run_for(simulation: &mut Simulation, span: u64) {
    let end = simulation.micros + span;
    simulation.run_until(end);
}

/// Runs until `done` holds and returns that time in microseconds.
///
/// Panics if it does not hold within `seconds` or the checker found a violation.
pub fn expect_within(
    simulation: &mut Simulation,
    seconds: u64,
    what: &str,
    done: impl Fn(&Simulation) -> bool,
) -> u64 {
    let end = simulation.micros + seconds * SECOND;
    let at = simulation.run_until_condition(end, done);
    assert_no_violations(simulation);
    at.unwrap_or_else(|| panic!("{what} did not happen, log {:#?}", simulation.log))
}

/// Host index of each server's forwarder.
pub fn forwarders(simulation: &Simulation) -> BTreeMap<ServerId, usize> {
    let map = controller_map(simulation);
    let servers = map.servers.iter();
    servers
        .map(|server| {
            (
                server.id.clone(),
                simulation.host_index(server.forwarder.as_ref().unwrap()),
            )
        })
        .collect()
}
