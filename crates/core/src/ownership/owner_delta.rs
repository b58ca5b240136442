//! Differences between two assignments, small enough to send to other hosts in a datagram.

use {
    super::{LeaderRecord, OwnerState, RangeRecord, ServiceOwners},
    crate::ids::ServiceName,
    bincode::{Decode, Encode, config},
    xxhash_rust::xxh3::xxh3_64,
};

/// The changes that turn one assignment into the next.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OwnerDelta {
    epoch: Option<u64>,
    may_lack_owners: bool,
    earlier_leaders_may_act: bool,
    term: u64,
    change: u64,
    leader: Option<LeaderRecord>,
    hosts: u32,
    services: Vec<ServiceDelta>,
    /// Hash of the resulting assignment, without its secret.
    checksum: u64,
}

/// Changed records of one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
struct ServiceDelta {
    service: ServiceName,
    next_token: u64,
    records: Vec<RangeRecord>,
}

impl OwnerDelta {
    /// Computes the changes that turn `old` into `new`.
    pub fn between(old: &OwnerState, new: &OwnerState) -> Self {
        let mut services = Vec::new();
        for (service, owners) in &new.services {
            let before = old.services.get(service);
            if before == Some(owners) {
                continue;
            }
            let known = before.map_or(&[][..], |before| &before.ranges);
            // Records are in key order, so only the old one with the same first key can be equal.
            let is_changed = |record: &&RangeRecord| {
                let first = record.range.first;
                let at = known.partition_point(|known| known.range.first < first);
                known.get(at) != Some(*record)
            };
            services.push(ServiceDelta {
                service: service.clone(),
                next_token: owners.next_token,
                records: owners.ranges.iter().filter(is_changed).cloned().collect(),
            });
        }
        Self {
            epoch: new.epoch,
            may_lack_owners: new.may_lack_owners,
            earlier_leaders_may_act: new.earlier_leaders_may_act,
            term: new.term,
            change: new.change,
            leader: new.leader.clone(),
            hosts: new.hosts,
            services,
            checksum: checksum(new),
        }
    }

    /// Applies the changes to `old`; `None` if the result differs from the sender's assignment.
    pub fn apply(&self, old: &OwnerState) -> Option<OwnerState> {
        let mut state = old.clone();
        state.epoch = self.epoch;
        state.may_lack_owners = self.may_lack_owners;
        state.earlier_leaders_may_act = self.earlier_leaders_may_act;
        state.term = self.term;
        state.change = self.change;
        state.leader.clone_from(&self.leader);
        state.hosts = self.hosts;
        for delta in &self.services {
            let owners = state
                .services
                .entry(delta.service.clone())
                .or_insert_with(|| ServiceOwners::new(delta.next_token));
            owners.next_token = delta.next_token;
            for record in &delta.records {
                for at in owners.isolate(record.range) {
                    owners.ranges[at].phase = record.phase.clone();
                }
            }
            owners.merge();
        }
        (checksum(&state) == self.checksum).then_some(state)
    }
}

fn checksum(state: &OwnerState) -> u64 {
    let hashed_fields = (
        state.epoch,
        state.may_lack_owners,
        state.earlier_leaders_may_act,
        state.term,
        state.change,
        &state.leader,
        state.hosts,
        &state.services,
    );
    let bytes = bincode::encode_to_vec(hashed_fields, config::standard())
        .unwrap_or_else(|error| unreachable!("assignments contain only encodable values: {error}"));
    xxh3_64(&bytes)
}
