//! Invariants that are checked throughout a simulation run.

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

/// Checks each grant, executed request, write and published map against the ones before.
///
/// It sees everything that takes effect, independently of what the hosts believe.
#[derive(Debug, Default)]
pub struct RunChecker {
    /// At most 20 are kept.
    pub violations: Vec<String>,
    pub executed: u64,
    pub grants: u64,
    pub writes: u64,
    /// Highest token seen for a shard, and the server that used it.
    newest_token: BTreeMap<ShardId, (FencingToken, usize)>,
    /// Every assignment written so far.
    assigned: BTreeSet<(ShardId, FencingToken, ServerId)>,
    /// State of the latest write.
    last: Option<ScopeState>,
}

impl RunChecker {
    fn add_violation(&mut self, micros: u64, text: String) {
        if self.violations.len() < 20 {
            self.violations
                .push(format!("at {:.3} s: {text}", micros as f64 / 1e6));
        }
    }

    /// Called when a server accepted a grant or renewal; no other server may hold its shards.
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
                let Some(other_token) = server.live_token(shard, micros) else {
                    continue;
                };
                if other != index {
                    self.add_violation(
                        micros,
                        format!(
                            "shard {shard} is held by server {index} under {token} and by server {other} under {other_token}"
                        ),
                    );
                }
            }
            self.check_owner(shard, token, index, micros);
        }
    }

    /// Called when a server ran a request.
    pub fn executed(&mut self, shard: ShardId, token: FencingToken, server: usize, micros: u64) {
        self.executed += 1;
        self.check_owner(shard, token, server, micros);
    }

    /// A shard passes to another server only under a higher token.
    fn check_owner(&mut self, shard: ShardId, token: FencingToken, server: usize, micros: u64) {
        let newest = self.newest_token.entry(shard).or_insert((token, server));
        if token > newest.0 {
            *newest = (token, server);
            return;
        }
        let (newest_token, newest_server) = *newest;
        if newest_server != server {
            self.add_violation(
                micros,
                format!(
                    "server {server} acts for shard {shard} under {token} after server {newest_server} did under {newest_token}"
                ),
            );
        }
    }

    /// Called when the platform accepted a write of the scope object.
    pub fn written(&mut self, state: &ScopeState, micros: u64) {
        self.writes += 1;
        let errors = match &self.last {
            Some(old) => check_write(old, state),
            None => Vec::new(),
        };
        for error in errors {
            self.add_violation(micros, error);
        }
        for (index, shard) in state.shards.iter().enumerate() {
            if let ShardState::Owned { server, token } = shard {
                let id = ShardId(u32::try_from(index).unwrap());
                self.assigned.insert((id, *token, server.clone()));
            }
        }
        self.last = Some(state.clone());
    }

    /// Called when a controller published a map, which may name only owners that were written.
    pub fn published(&mut self, map: &RoutingMap, micros: u64) {
        for (index, entry) in map.shards.iter().enumerate() {
            let Some(owner) = entry.owner else {
                continue;
            };
            let id = ShardId(u32::try_from(index).unwrap());
            let server = map.servers[usize::from(owner)].id.clone();
            if !self.assigned.contains(&(id, entry.token, server.clone())) {
                self.add_violation(
                    micros,
                    format!(
                        "map {} names {server} for shard {id} under {}, which was never written",
                        map.version, entry.token
                    ),
                );
            }
        }
    }

    /// Term of the latest write, or 0 before the first.
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

/// Differences between two successive states that the protocol rules out.
///
/// Terms never fall, an assigned shard keeps an owner, each change of owner raises
/// the token, and each change of owner, term or electors adds an audit record.
fn check_write(old: &ScopeState, new: &ScopeState) -> Vec<String> {
    let mut errors = Vec::new();
    if new.epoch < old.epoch {
        errors.push(format!("epoch {} follows {}", new.epoch, old.epoch));
    }
    let mut owners_changed = false;
    for (index, (before, after)) in old.shards.iter().zip(&new.shards).enumerate() {
        let (Some(before), after) = (owner(before), owner(after)) else {
            owners_changed |= owner(after).is_some();
            continue;
        };
        let Some(after) = after else {
            errors.push(format!(
                "assignment of shard {index} to {} is lost",
                before.0
            ));
            continue;
        };
        owners_changed |= before != after;
        if before != after && after.1 <= before.1 {
            errors.push(format!(
                "shard {index} went from {} under {} to {} under {}",
                before.0, before.1, after.0, after.1
            ));
        }
    }
    let recorded = new.records.last().map(|r| r.number) > old.records.last().map(|r| r.number);
    let must_record = owners_changed || new.epoch != old.epoch || new.electors != old.electors;
    if must_record && !recorded {
        errors.push("a change of owners, term or electors carries no audit record".to_owned());
    }
    errors.extend(check_chain(old, new));
    errors
}

/// Audit records must form an unbroken hash chain that contains the latest record of the old state.
fn check_chain(old: &ScopeState, new: &ScopeState) -> Option<String> {
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
