//! Steps and observations that tests of rules share.

use super::prelude::*;

pub fn state(world: &World) -> &ScopeState {
    &world.object.as_ref().unwrap().1
}

pub fn assert_clean(world: &World) {
    let violations = &world.checker.violations;
    assert!(
        violations.is_empty(),
        "{violations:#?}, log {:#?}",
        world.log
    );
}

pub fn shards_of(world: &World, server: usize) -> Vec<ShardId> {
    let id = server_id(server);
    let shards = state(world).shards.iter().enumerate();
    shards
        .filter(|(_, shard)| matches!(shard, ShardState::Owned { server, .. } if *server == id))
        .map(|(index, _)| ShardId(index as u32))
        .collect()
}

pub fn moves(world: &World) -> BTreeMap<String, u64> {
    let mut moves = BTreeMap::new();
    for host in &world.hosts {
        for (reason, count) in &host.machine.counters().moves {
            *moves.entry(format!("{reason:?}")).or_default() += count;
        }
    }
    moves
}

pub fn controller_map(world: &World) -> RoutingMap {
    let controller = world.controller().unwrap();
    let (map, _) = world.hosts[controller].held.clone().unwrap();
    RoutingMap::clone(&map)
}

pub fn run_for(world: &mut World, span: u64) {
    let end = world.micros + span;
    world.run_until(end);
}

pub fn await_that(
    world: &mut World,
    seconds: u64,
    what: &str,
    done: impl Fn(&World) -> bool,
) -> u64 {
    let end = world.micros + seconds * SECOND;
    let at = world.run_while(end, done);
    assert_clean(world);
    at.unwrap_or_else(|| panic!("{what} did not happen, log {:#?}", world.log))
}

pub fn forwarders(world: &World) -> BTreeMap<ServerId, usize> {
    let map = controller_map(world);
    let servers = map.servers.iter();
    servers
        .map(|server| {
            (
                server.id.clone(),
                world.host_index(server.forwarder.as_ref().unwrap()),
            )
        })
        .collect()
}
