//! Grants that a server holds for one service, and its fences.

use {
    camphorcove_core::{
        control::{ServerOrder, ServerResult, ShardGrant},
        ids::{Epoch, FencingToken, ShardId},
        time::BootTime,
    },
    std::collections::HashMap,
};

/// Time during which the server held a grant for a shard.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantInterval {
    /// Shard.
    pub shard: ShardId,
    /// Token of the grant.
    pub token: FencingToken,
    /// When it began, on the host's boot-time clock.
    pub from: BootTime,
    /// When it ended or will end unless it is renewed.
    pub until: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct ShardHold {
    token: FencingToken,
    from: BootTime,
}

/// State of the grant interface for one service.
#[derive(Debug, Default)]
pub(super) struct GrantBook {
    epoch: Epoch,
    set: Option<(Epoch, u64)>,
    expiry: BootTime,
    held: HashMap<ShardId, ShardHold>,
    fences: HashMap<ShardId, FencingToken>,
    ended: Vec<GrantInterval>,
}

impl GrantBook {
    /// Highest term seen.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Carries out an order that arrived at `now`.
    pub fn apply(&mut self, order: &ServerOrder, now: BootTime, checked: bool) -> ServerResult {
        self.expire(now);
        let epoch = epoch_of(order);
        if checked && epoch < self.epoch {
            return ServerResult::Fenced;
        }
        self.epoch = self.epoch.max(epoch);
        match order {
            ServerOrder::Grant {
                set, shards, ttl, ..
            } => self.grant((epoch, *set), shards, now + *ttl, now, checked),
            ServerOrder::Renew { set, ttl, .. } => self.renew((epoch, *set), now + *ttl),
            ServerOrder::Release { shards, .. } => self.release(shards, now, checked),
        }
    }

    /// Checks a request's token; the error says why it is refused.
    pub fn check(
        &mut self,
        shard: ShardId,
        token: FencingToken,
        now: BootTime,
    ) -> Result<(), &'static str> {
        self.expire(now);
        let fence = self.fences.entry(shard).or_default();
        if token < *fence {
            return Err("token is lower than the highest seen");
        }
        *fence = token;
        match self.held.get(&shard) {
            Some(hold) if hold.token == token => Ok(()),
            Some(_) => Err("the grant held has a lower token"),
            None => Err("no live grant for the shard"),
        }
    }

    /// All intervals so far; those of live grants end at the grant's expiry.
    pub fn intervals(&self) -> Vec<GrantInterval> {
        let mut intervals = self.ended.clone();
        for (shard, hold) in &self.held {
            intervals.push(interval(*shard, *hold, self.expiry));
        }
        intervals
    }

    /// Forgets grants and fences, as a restarted process does.
    pub fn forget(&mut self, now: BootTime) {
        self.expire(now);
        self.end_all(now);
        *self = Self {
            ended: std::mem::take(&mut self.ended),
            ..Self::default()
        };
    }

    fn grant(
        &mut self,
        set: (Epoch, u64),
        shards: &[ShardGrant],
        expiry: BootTime,
        now: BootTime,
        checked: bool,
    ) -> ServerResult {
        if checked && self.refuses(set, shards) {
            return ServerResult::Fenced;
        }
        if self.set == Some(set) {
            // A repeated grant must not bring back shards released since.
            return self.renew(set, expiry);
        }
        let wanted: HashMap<ShardId, FencingToken> = shards
            .iter()
            .map(|grant| (grant.shard, grant.token))
            .collect();
        let kept: HashMap<ShardId, ShardHold> = self
            .held
            .extract_if(|shard, hold| wanted.get(shard) == Some(&hold.token))
            .collect();
        self.end_all(now);
        self.held = kept;
        for (shard, token) in wanted {
            self.raise_fence(shard, token);
            let hold = ShardHold { token, from: now };
            self.held.entry(shard).or_insert(hold);
        }
        self.set = Some(set);
        self.expiry = expiry;
        ServerResult::Done
    }

    fn refuses(&self, set: (Epoch, u64), shards: &[ShardGrant]) -> bool {
        if self.set.is_some_and(|held| set < held) {
            return true;
        }
        shards.iter().any(|grant| {
            let fence = self.fences.get(&grant.shard);
            fence.is_some_and(|fence| grant.token < *fence)
        })
    }

    fn renew(&mut self, set: (Epoch, u64), expiry: BootTime) -> ServerResult {
        if self.set != Some(set) {
            return ServerResult::UnknownSet;
        }
        self.expiry = self.expiry.max(expiry);
        ServerResult::Done
    }

    fn release(&mut self, shards: &[ShardGrant], now: BootTime, checked: bool) -> ServerResult {
        let mut result = ServerResult::Done;
        for grant in shards {
            self.raise_fence(grant.shard, grant.token);
            let Some(hold) = self.held.get(&grant.shard).copied() else {
                continue;
            };
            if checked && grant.token < hold.token {
                result = ServerResult::Fenced;
                continue;
            }
            self.held.remove(&grant.shard);
            self.ended.push(interval(grant.shard, hold, now));
        }
        result
    }

    fn raise_fence(&mut self, shard: ShardId, token: FencingToken) {
        let fence = self.fences.entry(shard).or_default();
        *fence = token.max(*fence);
    }

    fn expire(&mut self, now: BootTime) {
        if now < self.expiry || self.set.is_none() {
            return;
        }
        self.set = None;
        self.end_all(self.expiry);
    }

    fn end_all(&mut self, until: BootTime) {
        for (shard, hold) in self.held.drain() {
            self.ended.push(interval(shard, hold, until));
        }
    }
}

fn epoch_of(order: &ServerOrder) -> Epoch {
    match order {
        ServerOrder::Grant { epoch, .. }
        | ServerOrder::Renew { epoch, .. }
        | ServerOrder::Release { epoch, .. } => *epoch,
    }
}

fn interval(shard: ShardId, hold: ShardHold, until: BootTime) -> GrantInterval {
    GrantInterval {
        shard,
        token: hold.token,
        from: hold.from,
        until,
    }
}
