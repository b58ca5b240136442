//! Checks that hold at every moment of a run.

use {
    super::server::FakeServer,
    camphorcove_core::{
        audit::RecordHash,
        control::ServerOrder,
        ids::{Epoch, FencingToken, ServerId, ShardId},
        map::RoutingMap,
        scope::{ScopeState, ShardState},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Records grants, requests and written states, and the violations among them.
#[derive(Debug, Default)]
pub struct RunChecker {
    pub violations: Vec<String>,
    pub executed: u64,
    pub grants: u64,
    pub writes: u64,
    newest_token: BTreeMap<ShardId, (FencingToken, usize)>,
    assigned: BTreeSet<(ShardId, FencingToken, ServerId)>,
    last: Option<ScopeState>,
}

impl RunChecker {
    fn fail(&mut self, micros: u64, text: String) {
        if self.violations.len() < 20 {
            self.violations
                .push(format!("at {:.3} s: {text}", micros as f64 / 1e6));
        }
    }

    /// A server accepted a grant or renewal; no other may hold the same shards.
    pub fn granted(
        &mut self,
        order: &ServerOrder,
        index: usize,
        servers: &[FakeServer],
        micros: u64,
    ) {
        if matches!(order, ServerOrder::Release { .. }) || !servers[index].is_live(micros) {
            return;
        }
        self.grants += 1;
        let held: Vec<(ShardId, FencingToken)> = servers[index]
            .shards
            .iter()
            .map(|(shard, token)| (*shard, *token))
            .collect();
        for (shard, token) in held {
            for (other, server) in servers.iter().enumerate() {
                let Some(other_token) = server.holds(shard, micros) else {
                    continue;
                };
                if other != index {
                    self.fail(
                        micros,
                        format!(
                            "shard {shard} is held by server {index} under {token} and by server {other} under {other_token}"
                        ),
                    );
                }
            }
            self.owned(shard, token, index, micros);
        }
    }

    /// A server ran a request.
    pub fn executed(&mut self, shard: ShardId, token: FencingToken, server: usize, micros: u64) {
        self.executed += 1;
        self.owned(shard, token, server, micros);
    }

    fn owned(&mut self, shard: ShardId, token: FencingToken, server: usize, micros: u64) {
        let newest = self.newest_token.entry(shard).or_insert((token, server));
        if token > newest.0 {
            *newest = (token, server);
            return;
        }
        let (newest_token, newest_server) = *newest;
        if newest_server != server {
            self.fail(
                micros,
                format!(
                    "server {server} acts for shard {shard} under {token} after server {newest_server} did under {newest_token}"
                ),
            );
        }
    }

    /// The platform accepted a write.
    pub fn written(&mut self, state: &ScopeState, micros: u64) {
        self.writes += 1;
        let faults = match &self.last {
            Some(old) => written_faults(old, state),
            None => Vec::new(),
        };
        for fault in faults {
            self.fail(micros, fault);
        }
        for (index, shard) in state.shards.iter().enumerate() {
            if let ShardState::Owned { server, token } = shard {
                let id = ShardId(u32::try_from(index).unwrap());
                self.assigned.insert((id, *token, server.clone()));
            }
        }
        self.last = Some(state.clone());
    }

    /// A controller published a map; it may name only owners that were written.
    pub fn published(&mut self, map: &RoutingMap, micros: u64) {
        for (index, entry) in map.shards.iter().enumerate() {
            let Some(owner) = entry.owner else {
                continue;
            };
            let id = ShardId(u32::try_from(index).unwrap());
            let server = map.servers[usize::from(owner)].id.clone();
            if !self.assigned.contains(&(id, entry.token, server.clone())) {
                self.fail(
                    micros,
                    format!(
                        "map {} names {server} for shard {id} under {}, which was never written",
                        map.version, entry.token
                    ),
                );
            }
        }
    }

    /// Epoch and state that the platform accepted last.
    pub fn epoch(&self) -> Epoch {
        self.last.as_ref().map_or(Epoch(0), |state| state.epoch)
    }
}

fn owner(shard: &ShardState) -> Option<(&ServerId, FencingToken)> {
    match shard {
        ShardState::Unowned => None,
        ShardState::Owned { server, token } => Some((server, *token)),
        ShardState::Releasing { from, token, .. } => Some((from, *token)),
    }
}

fn written_faults(old: &ScopeState, new: &ScopeState) -> Vec<String> {
    let mut faults = Vec::new();
    if new.epoch < old.epoch {
        faults.push(format!("epoch {} follows {}", new.epoch, old.epoch));
    }
    let mut owners_changed = false;
    for (index, (before, after)) in old.shards.iter().zip(&new.shards).enumerate() {
        let (Some(before), after) = (owner(before), owner(after)) else {
            owners_changed |= owner(after).is_some();
            continue;
        };
        let Some(after) = after else {
            faults.push(format!(
                "assignment of shard {index} to {} is lost",
                before.0
            ));
            continue;
        };
        owners_changed |= before != after;
        if before != after && after.1 <= before.1 {
            faults.push(format!(
                "shard {index} went from {} under {} to {} under {}",
                before.0, before.1, after.0, after.1
            ));
        }
    }
    let recorded = new.records.last().map(|r| r.number) > old.records.last().map(|r| r.number);
    let must_record = owners_changed || new.epoch != old.epoch || new.electors != old.electors;
    if must_record && !recorded {
        faults.push("a change of owners, term or electors carries no audit record".to_owned());
    }
    faults.extend(chain_faults(old, new));
    faults
}

fn chain_faults(old: &ScopeState, new: &ScopeState) -> Option<String> {
    let mut previous: Option<(u64, RecordHash)> = None;
    for record in &new.records {
        let expected = previous.unwrap_or((record.number - 1, record.previous));
        if (record.number, record.previous) != (expected.0 + 1, expected.1) {
            return Some(format!("audit record {} breaks the chain", record.number));
        }
        previous = Some((record.number, record.hash()));
    }
    let newest = old.records.last()?;
    let kept = new.records.iter().any(|record| record == newest);
    (!kept).then(|| format!("audit record {} was dropped unarchived", newest.number))
}
