//! Grants and fencing tokens of a server for one service.

use {
    camphorcove_core::{
        control::{ServerOrder, ServerResult, ShardGrant},
        ids::{Epoch, FencingToken, ShardId},
        time::BootTime,
    },
    std::collections::HashMap,
};

/// Time interval in which the server held a grant for a shard.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantInterval {
    /// Shard that was granted.
    pub shard: ShardId,
    /// Fencing token of the grant.
    pub token: FencingToken,
    /// When it began, on the host's boot-time clock.
    pub from: BootTime,
    /// When it ended or will end unless it is renewed.
    pub until: BootTime,
}

/// A shard held under a grant, with the time since which the token is held.
#[derive(Clone, Copy, Debug)]
struct HeldShard {
    token: FencingToken,
    from: BootTime,
}

/// Grants, fences and ended grant intervals of one service. A fence is the highest
/// token seen for a shard; requests and grants with a lower token are refused.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    epoch: Epoch,
    /// Epoch and number of the grant set held.
    set: Option<(Epoch, u64)>,
    /// Time at which all held grants expire unless they are renewed.
    expiry: BootTime,
    held: HashMap<ShardId, HeldShard>,
    fences: HashMap<ShardId, FencingToken>,
    /// Intervals of grants that expired or were replaced or released.
    ended: Vec<GrantInterval>,
}

impl GrantTable {
    /// Highest epoch seen in an order.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies an order that arrived at `now`. Without `checked`, outdated orders are
    /// not refused.
    pub fn apply(&mut self, order: &ServerOrder, now: BootTime, checked: bool) -> ServerResult {
        self.expire(now);
        let epoch = order_epoch(order);
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

    /// Checks the token of a request; the error is the reason for a refusal.
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
            Some(held_shard) if held_shard.token == token => Ok(()),
            Some(_) => Err("the grant held has a lower token"),
            None => Err("no live grant for the shard"),
        }
    }

    /// All grant intervals so far; those of live grants end when the grant expires.
    pub fn intervals(&self) -> Vec<GrantInterval> {
        let mut intervals = self.ended.clone();
        for (shard, held_shard) in &self.held {
            intervals.push(interval(*shard, *held_shard, self.expiry));
        }
        intervals
    }

    /// Removes grants and fences, as a restart does; keeps the ended intervals.
    pub fn clear(&mut self, now: BootTime) {
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
            // A duplicate of a grant must not restore shards released in the meantime.
            return self.renew(set, expiry);
        }
        let wanted: HashMap<ShardId, FencingToken> = shards
            .iter()
            .map(|grant| (grant.shard, grant.token))
            .collect();
        let kept: HashMap<ShardId, HeldShard> = self
            .held
            .extract_if(|shard, held_shard| wanted.get(shard) == Some(&held_shard.token))
            .collect();
        self.end_all(now);
        self.held = kept;
        for (shard, token) in wanted {
            self.raise_fence(shard, token);
            let held_shard = HeldShard { token, from: now };
            self.held.entry(shard).or_insert(held_shard);
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
            let Some(held_shard) = self.held.get(&grant.shard).copied() else {
                continue;
            };
            if checked && grant.token < held_shard.token {
                result = ServerResult::Fenced;
                continue;
            }
            self.held.remove(&grant.shard);
            self.ended.push(interval(grant.shard, held_shard, now));
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
        for (shard, held_shard) in self.held.drain() {
            self.ended.push(interval(shard, held_shard, until));
        }
    }
}

fn order_epoch(order: &ServerOrder) -> Epoch {
    match order {
        ServerOrder::Grant { epoch, .. }
        | ServerOrder::Renew { epoch, .. }
        | ServerOrder::Release { epoch, .. } => *epoch,
    }
}

fn interval(shard: ShardId, held_shard: HeldShard, until: BootTime) -> GrantInterval {
    GrantInterval {
        shard,
        token: held_shard.token,
        from: held_shard.from,
        until,
    }
}
