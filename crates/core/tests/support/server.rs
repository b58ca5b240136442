//! A simulated backend server that holds grants and checks fencing tokens.

use {
    super::clock::DriftClock,
    camphorcove_core::{
        control::{ServerOrder, ServerReply, ServerReport, ServerResult},
        ids::{Epoch, FencingToken, ShardId},
    },
    std::collections::BTreeMap,
};

/// State of a backend server; a restart clears all but the clock.
#[derive(Clone, Debug)]
pub struct FakeServer {
    pub clock: DriftClock,
    /// The server checks terms and tokens; otherwise it relies on deadlines alone.
    pub checked: bool,
    pub alive: bool,
    pub paused_until: u64,
    /// Changes with each restart.
    pub process: u64,
    pub draining: bool,
    /// Highest term seen.
    epoch: Epoch,
    /// Term and number of the set of shards it holds.
    set: (Epoch, u64),
    /// End of the grant on the server's clock, in microseconds.
    expiry: u64,
    /// Shards of the grant with their tokens.
    pub shards: BTreeMap<ShardId, FencingToken>,
    /// Highest token seen for each shard.
    highest_tokens: BTreeMap<ShardId, FencingToken>,
}

impl FakeServer {
    pub fn new(clock: DriftClock, checked: bool, process: u64) -> Self {
        Self {
            clock,
            checked,
            alive: true,
            paused_until: 0,
            process,
            draining: false,
            epoch: Epoch(0),
            set: (Epoch(0), 0),
            expiry: 0,
            shards: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
        }
    }

    pub fn restart(&mut self) {
        *self = Self::new(self.clock, self.checked, self.process + 1);
    }

    /// Whether the server runs and its grant has not expired.
    pub fn is_live(&self, micros: u64) -> bool {
        self.alive && self.clock.read(micros).0 < self.expiry
    }

    /// Token of the server's unexpired grant for a shard.
    pub fn live_token(&self, shard: ShardId, micros: u64) -> Option<FencingToken> {
        let token = self.shards.get(&shard).copied()?;
        self.is_live(micros).then_some(token)
    }

    /// Carries out an order unless its deadline has passed.
    pub fn handle_order(
        &mut self,
        order: &ServerOrder,
        deadline: Option<u64>,
        micros: u64,
    ) -> ServerReply {
        let now = self.clock.read(micros).0;
        let result = if deadline.is_some_and(|deadline| now > deadline) {
            ServerResult::Expired
        } else {
            self.apply(order, now)
        };
        ServerReply {
            result,
            epoch: self.epoch,
            report: ServerReport {
                draining: self.draining,
                in_flight: 0,
                process: self.process,
            },
        }
    }

    fn apply(&mut self, order: &ServerOrder, now: u64) -> ServerResult {
        let epoch = match order {
            ServerOrder::Grant { epoch, .. }
            | ServerOrder::Renew { epoch, .. }
            | ServerOrder::Release { epoch, .. } => *epoch,
        };
        if self.checked && epoch < self.epoch {
            return ServerResult::Fenced;
        }
        self.epoch = self.epoch.max(epoch);
        match order {
            ServerOrder::Grant {
                set, shards, ttl, ..
            } => {
                if self.checked && (epoch, *set) < self.set {
                    return ServerResult::Fenced;
                }
                let lower = shards
                    .iter()
                    .any(|grant| self.highest_tokens.get(&grant.shard) > Some(&grant.token));
                if self.checked && lower {
                    return ServerResult::Fenced;
                }
                self.set = (epoch, *set);
                self.shards = shards.iter().map(|g| (g.shard, g.token)).collect();
                for grant in shards {
                    self.highest_tokens.insert(grant.shard, grant.token);
                }
                self.expiry = now + u64::try_from(ttl.as_micros()).unwrap();
                ServerResult::Done
            }
            ServerOrder::Renew { set, ttl, .. } => {
                if self.set != (epoch, *set) {
                    return ServerResult::UnknownSet;
                }
                let expiry = now + u64::try_from(ttl.as_micros()).unwrap();
                self.expiry = self.expiry.max(expiry);
                ServerResult::Done
            }
            ServerOrder::Release { shards, .. } => {
                for grant in shards {
                    self.shards.remove(&grant.shard);
                }
                ServerResult::Done
            }
        }
    }

    /// Whether the server runs a request that arrives now.
    pub fn accepts_request(
        &mut self,
        shard: ShardId,
        token: FencingToken,
        deadline: u64,
        micros: u64,
    ) -> bool {
        if self.clock.read(micros).0 > deadline {
            return false;
        }
        if !self.checked {
            return true;
        }
        if self.highest_tokens.get(&shard) > Some(&token) {
            return false;
        }
        self.live_token(shard, micros).is_some()
    }
}
