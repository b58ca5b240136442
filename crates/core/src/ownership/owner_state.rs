//! The stored assignment.

use {
    super::{KeyRange, ownership_planner::RAISE_TOKENS},
    crate::ids::{HostId, ServerId, ServiceName},
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// One incarnation of a server.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct ServerInstance {
    /// Server.
    pub id: ServerId,
    /// Its start.
    pub incarnation: u64,
    /// Its address, which an entry that is gone no longer tells.
    pub address: SocketAddr,
}

/// The host that may change the assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct LeaderRecord {
    /// Host.
    pub host: HostId,
    /// Number drawn by its process at start.
    pub nonce: u64,
    /// Where hosts send their reports.
    pub address: SocketAddr,
}

/// Where a range stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum RangePhase {
    /// Nobody can hold it.
    Free,
    /// The server may hold it under the token.
    Owned {
        /// Owner.
        owner: ServerInstance,
        /// Token of its grants.
        token: u64,
    },
    /// The server may still hold it and is asked to give it back.
    Moving {
        /// Former owner.
        owner: ServerInstance,
        /// Token under which it is taken back, above that of its grants.
        token: u64,
        /// Server that is to get it; the choice may change.
        target: Option<ServerInstance>,
    },
}

/// One range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RangeRecord {
    /// Keys.
    pub range: KeyRange,
    /// Phase.
    pub phase: RangePhase,
}

/// Ranges of one service, in order, without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ServiceOwners {
    /// Next token that was never used.
    pub next_token: u64,
    /// Ranges.
    pub ranges: Vec<RangeRecord>,
}

/// The object that all hosts watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct OwnerState {
    /// Term; rises with each takeover.
    pub term: u64,
    /// Number of the write; tells whether a write with a lost answer took effect.
    pub change: u64,
    /// Leader; none after an orderly stop.
    pub leader: Option<LeaderRecord>,
    /// Key of the messages between hosts, as hexadecimal digits.
    pub secret: String,
    /// Owners by service.
    pub services: BTreeMap<ServiceName, ServiceOwners>,
}

impl OwnerState {
    /// First state, without a leader.
    pub fn new(secret: String) -> Self {
        Self {
            term: 0,
            change: 0,
            leader: None,
            secret,
            services: BTreeMap::new(),
        }
    }

    /// Makes `leader` the leader of the next term; returns the leader before.
    ///
    /// Ranges in motion get new tokens, as the leader before may have used up the
    /// ones that they have.
    pub fn begin_term(&mut self, leader: LeaderRecord) -> Option<LeaderRecord> {
        self.term += 1;
        self.change += 1;
        for owners in self.services.values_mut() {
            for record in &mut owners.ranges {
                if let RangePhase::Moving { token, .. } = &mut record.phase {
                    *token = owners.next_token;
                    owners.next_token += RAISE_TOKENS;
                }
            }
        }
        self.leader.replace(leader)
    }
}

impl ServiceOwners {
    /// All keys free; tokens start at `first_token`.
    pub fn new(first_token: u64) -> Self {
        Self {
            next_token: first_token,
            ranges: vec![RangeRecord {
                range: KeyRange::ALL,
                phase: RangePhase::Free,
            }],
        }
    }

    /// Takes `count` tokens that are above all earlier ones, and returns the first.
    pub fn take_tokens(&mut self, count: u64) -> u64 {
        let token = self.next_token;
        self.next_token += count;
        token
    }

    /// Records that have keys of `range`.
    pub fn overlapping(&self, range: KeyRange) -> &[RangeRecord] {
        &self.ranges[self.positions(range)]
    }

    fn positions(&self, range: KeyRange) -> std::ops::Range<usize> {
        let start = self
            .ranges
            .partition_point(|record| record.range.last < range.first);
        let end = self
            .ranges
            .partition_point(|record| record.range.first <= range.last);
        start..end
    }

    /// Splits ranges so that `range` is made of whole records, and returns their positions.
    pub fn isolate(&mut self, range: KeyRange) -> std::ops::Range<usize> {
        self.cut_before(range.first);
        if let Some(after) = range.last.checked_add(1) {
            self.cut_before(after);
        }
        self.positions(range)
    }

    fn cut_before(&mut self, key: u16) {
        let at = self
            .ranges
            .partition_point(|record| record.range.last < key);
        let Some(record) = self.ranges.get_mut(at) else {
            return;
        };
        if record.range.first >= key {
            return;
        }
        let mut upper = record.clone();
        record.range.last = key - 1;
        upper.range.first = key;
        self.ranges.insert(at + 1, upper);
    }

    /// Joins neighbours of the same phase.
    pub fn merge(&mut self) {
        let mut merged: Vec<RangeRecord> = Vec::with_capacity(self.ranges.len());
        for record in self.ranges.drain(..) {
            match merged.last_mut() {
                Some(last) if last.phase == record.phase => last.range.last = record.range.last,
                _ => merged.push(record),
            }
        }
        self.ranges = merged;
    }
}
