//! The assignment of keys to servers, as kept in the store.

use {
    super::{ElectorList, KeyRange, ownership_planner::TOKENS_PER_MOVE},
    crate::ids::{HostId, ServerId, ServiceName},
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Fencing tokens that are skipped for each loss of writes by the store: far more than are used in
/// the time that a backup is old.
const TOKENS_PER_EPOCH: u64 = 1 << 20;

/// Terms that are skipped for each loss by a leader who does not know the lost writes.
const TERMS_PER_EPOCH: u64 = 1 << 10;

/// One run of a server process: a restart under the same id is another instance.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct ServerInstance {
    /// Server id, kept across restarts.
    pub id: ServerId,
    /// Identifies this start of the server.
    pub incarnation: u64,
    /// Address for requests and orders; kept here because the server's entry may be gone.
    pub address: SocketAddr,
}

/// The leader: the only host that may change the assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct LeaderRecord {
    /// Id of the leading host.
    pub host: HostId,
    /// Random number that the host process draws at its start; tells restarts of a host apart.
    pub nonce: u64,
    /// Address to which the other hosts send their reports.
    pub address: SocketAddr,
}

/// Ownership phase of a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum RangePhase {
    /// The range has no owner, and no server can still hold a lease on it.
    Free,
    /// The owner may hold a lease on the range under this token.
    Owned {
        /// Server that owns the range.
        owner: ServerInstance,
        /// Fencing token of the grants to the owner.
        token: u64,
    },
    /// The range is being revoked from a server that may still hold a lease on it.
    Moving {
        /// Server from which the range is revoked.
        owner: ServerInstance,
        /// First fencing token of the revocation; higher than those of the owner's grants.
        token: u64,
        /// Intended next owner; the range becomes free if it cannot take the range any more.
        target: Option<ServerInstance>,
    },
}

/// A range and its ownership phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RangeRecord {
    /// Keys that the record covers.
    pub range: KeyRange,
    /// Who may hold the range.
    pub phase: RangePhase,
}

/// Ownership records of one keyed service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ServiceOwners {
    /// Lowest fencing token that was never used for this service.
    pub next_token: u64,
    /// Records in key order; together they cover the key space without gaps or overlaps.
    pub ranges: Vec<RangeRecord>,
}

/// Content of the store object that holds the assignment; all hosts watch it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct OwnerState {
    /// Epoch of the store in which the assignment was written; `None` if a version of the program
    /// wrote it that did not know epochs.
    #[serde(default)]
    pub epoch: Option<u64>,
    /// Servers that the assignment does not name may hold keys, by writes that the store has lost.
    /// Stays set until all leases of earlier leaders have ended, or most hosts have shown that they
    /// remember no later assignment; a leader that ends before leaves the recovery to its successor.
    #[serde(default)]
    pub may_lack_owners: bool,
    /// Leaders before the present one may still send orders. Stays set until their authority has ended,
    /// so that the next leader does not wait for the present one alone.
    #[serde(default)]
    pub earlier_leaders_may_act: bool,
    /// Term of the leader; increases with each takeover.
    pub term: u64,
    /// Number of the write; shows whether a write whose answer was lost took effect.
    pub change: u64,
    /// Current leader; `None` before the first takeover and after a leader has resigned.
    pub leader: Option<LeaderRecord>,
    /// Number of electors, for hosts of a build that does not know their list; 0 if unknown.
    #[serde(default)]
    pub hosts: u32,
    /// Hosts whose reports decide which leader may act; empty if a version of the program wrote the
    /// assignment that did not know them.
    #[serde(default)]
    pub electors: ElectorList,
    /// Key that authenticates messages between hosts, as hexadecimal digits.
    pub secret: String,
    /// Ownership records by service.
    pub services: BTreeMap<ServiceName, ServiceOwners>,
}

impl OwnerState {
    /// Initial state: no leader and no services.
    pub fn new(secret: String) -> Self {
        Self {
            epoch: None,
            may_lack_owners: false,
            earlier_leaders_may_act: false,
            term: 0,
            change: 0,
            leader: None,
            hosts: 0,
            electors: ElectorList::default(),
            secret,
            services: BTreeMap::new(),
        }
    }

    /// Whether this assignment was written after `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.term, self.change) > (other.epoch, other.term, other.change)
    }

    /// First fencing token of a service that has no ownership records yet. Records of the service
    /// may have been lost with their tokens.
    pub fn first_token(&self) -> u64 {
        1 + self.epoch.unwrap_or_default() * TOKENS_PER_EPOCH
    }

    /// Moves the assignment on to `epoch`, without change if it is from that epoch. Tokens go on
    /// above those that may have been lost in each epoch since.
    pub fn enter_epoch(&mut self, epoch: u64) {
        let skipped = self.epochs_since(epoch) * TOKENS_PER_EPOCH;
        for owners in self.services.values_mut() {
            owners.next_token += skipped;
        }
        self.epoch = Some(epoch);
    }

    /// Epochs between the one that the assignment was written in and `epoch`. The store may return to
    /// the same copy several times, and each time a leader may go on from it.
    fn epochs_since(&self, epoch: u64) -> u64 {
        self.epoch.map_or(0, |written| epoch.abs_diff(written))
    }

    /// Whether the store, which is in `epoch` now, may have lost writes that followed this one, or
    /// that this one should have included.
    pub fn lacks_writes(&self, epoch: u64) -> bool {
        self.may_lack_owners || self.epoch.is_some_and(|written| written != epoch)
    }

    /// Skips terms whose leaders the store, which is in `epoch` now, may have forgotten.
    pub fn skip_lost_terms(&mut self, epoch: u64) {
        self.term += self.epochs_since(epoch) * TERMS_PER_EPOCH;
    }

    /// Takes all keys from their owners, each with its owner as the next one, since another server may
    /// hold them by a write that was lost.
    pub fn withdraw_all(&mut self) {
        for owners in self.services.values_mut() {
            for record in &mut owners.ranges {
                if let RangePhase::Owned { owner, .. } = &record.phase {
                    let token = owners.next_token;
                    owners.next_token += TOKENS_PER_MOVE;
                    record.phase = RangePhase::Moving {
                        owner: owner.clone(),
                        token,
                        target: Some(owner.clone()),
                    };
                }
            }
        }
    }

    /// Starts the next term with `leader`; returns the previous leader.
    ///
    /// Moving ranges get new tokens, because the previous leader may have used all
    /// tokens reserved for their revocation.
    pub fn begin_term(&mut self, leader: LeaderRecord) -> Option<LeaderRecord> {
        self.term += 1;
        self.change += 1;
        for owners in self.services.values_mut() {
            for record in &mut owners.ranges {
                if let RangePhase::Moving { token, .. } = &mut record.phase {
                    *token = owners.next_token;
                    owners.next_token += TOKENS_PER_MOVE;
                }
            }
        }
        self.leader.replace(leader)
    }
}

impl ServiceOwners {
    /// Ownership with all keys free and `first_token` as the first fencing token.
    pub fn new(first_token: u64) -> Self {
        Self {
            next_token: first_token,
            ranges: vec![RangeRecord {
                range: KeyRange::ALL,
                phase: RangePhase::Free,
            }],
        }
    }

    /// Reserves `count` consecutive tokens, higher than all earlier ones, and returns the first.
    pub fn reserve_tokens(&mut self, count: u64) -> u64 {
        let token = self.next_token;
        self.next_token += count;
        token
    }

    /// Records that overlap `range`.
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

    /// Splits records at the bounds of `range`, so that it consists of whole records; returns
    /// their positions in `ranges`.
    pub fn isolate(&mut self, range: KeyRange) -> std::ops::Range<usize> {
        self.split_before(range.first);
        if let Some(after) = range.last.checked_add(1) {
            self.split_before(after);
        }
        self.positions(range)
    }

    fn split_before(&mut self, key: u16) {
        let index = self
            .ranges
            .partition_point(|record| record.range.last < key);
        let Some(record) = self.ranges.get_mut(index) else {
            return;
        };
        if record.range.first >= key {
            return;
        }
        let mut upper = record.clone();
        record.range.last = key - 1;
        upper.range.first = key;
        self.ranges.insert(index + 1, upper);
    }

    /// Merges adjacent records that have the same phase.
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
