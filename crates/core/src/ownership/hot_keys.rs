//! Keys whose requests are more than their owners can take beside the other keys.
//!
//! Until such a key has an owner to itself, and afterwards if one server is too few for it, hosts send
//! only a share of its requests. The capacity of an owner is divided by max-min fairness between its
//! hot keys and the others: the hot ones get what the others leave, but at least half.

use {
    super::{OwnershipPlanner, RangeLoad, RangePhase, ServiceOwners},
    crate::{
        dispatch::{AdmittedShare, KeyShare},
        ids::{ServerId, ServiceName},
    },
    std::collections::HashMap,
};

/// Most keys in a digest, those with the most requests. A digest has room for 24,000 bytes; with
/// names of 64 bytes, the longest ones, this many take less than 10,000.
pub const MAX_KEY_SHARES: usize = 128;

/// Share of an owner's capacity that is divided. Queues grow long above it, and all keys of the
/// owner wait in them.
const DIVIDED_SHARE: f32 = 0.9;

/// Share of an owner's capacity that its hot keys get at least, whatever the other keys ask for.
const MIN_HOT_SHARE: f32 = 0.5;

/// Load of a key, as a share of its owner's capacity, below which it is never hot. Differences
/// between keys with fewer requests are chance.
const MIN_KEY_LOAD: f32 = 0.15;

/// Keys of an owner that have at least this share of the load of its hottest key are hot together: during
/// a run on adjacent keys, one owner may have several of them.
const SIMILAR_LOAD: f32 = 0.5;

/// A key that has more requests than its share of the owner.
struct HotKey {
    key: u16,
    load: f32,
    share: f32,
}

impl OwnershipPlanner {
    /// Keys whose requests hosts are to limit, at most [`MAX_KEY_SHARES`]. `capacity` is the load at
    /// which each server is fully busy.
    pub fn key_shares(&self, capacity: &HashMap<ServerId, f32>) -> Vec<KeyShare> {
        let mut found = Vec::new();
        for (service, load) in &self.loads {
            let Some(owners) = self.state.services.get(service) else {
                continue;
            };
            for hot in find_hot_keys(owners, load, capacity) {
                found.push((service, hot));
            }
        }
        list_shares(found)
    }
}

/// Keys of one service whose requests hosts are to limit, at most [`MAX_KEY_SHARES`].
pub fn choose_key_shares(
    service: &ServiceName,
    owners: &ServiceOwners,
    load: &RangeLoad,
    capacity: &HashMap<ServerId, f32>,
) -> Vec<KeyShare> {
    let found = find_hot_keys(owners, load, capacity);
    list_shares(found.into_iter().map(|hot| (service, hot)).collect())
}

fn list_shares(mut found: Vec<(&ServiceName, HotKey)>) -> Vec<KeyShare> {
    found.sort_by(|(service, first), (other, second)| {
        let by_load = second.load.total_cmp(&first.load);
        by_load.then_with(|| (service, first.key).cmp(&(other, second.key)))
    });
    found.truncate(MAX_KEY_SHARES);
    let key_share = |(service, hot): (&ServiceName, HotKey)| KeyShare {
        service: service.clone(),
        key: hot.key,
        share: AdmittedShare::from_fraction(f64::from(hot.share)),
    };
    found.into_iter().map(key_share).collect()
}

fn find_hot_keys(
    owners: &ServiceOwners,
    load: &RangeLoad,
    capacity: &HashMap<ServerId, f32>,
) -> Vec<HotKey> {
    let mut totals: HashMap<&ServerId, f32> = HashMap::new();
    for record in &owners.ranges {
        if let RangePhase::Owned { owner, .. } = &record.phase {
            *totals.entry(&owner.id).or_default() += load.of(record.range);
        }
    }
    totals.retain(|server, total| {
        let capacity = capacity.get(*server);
        capacity.is_some_and(|capacity| *total > *capacity && *capacity > 0.0)
    });
    if totals.is_empty() {
        return Vec::new();
    }
    let mut loads: HashMap<&ServerId, Vec<(u16, f32)>> = HashMap::new();
    for record in &owners.ranges {
        let RangePhase::Owned { owner, .. } = &record.phase else {
            continue;
        };
        if !totals.contains_key(&owner.id) {
            continue;
        }
        let listed = loads.entry(&owner.id).or_default();
        for (key, count) in (record.range.first..=record.range.last).zip(load.keys(record.range)) {
            if *count > 0.0 {
                listed.push((key, *count));
            }
        }
    }
    let mut found = Vec::new();
    for (server, keys) in loads {
        if let Some(capacity) = capacity.get(server) {
            found.extend(divide_capacity(keys, *capacity));
        }
    }
    found
}

/// Divides an owner's capacity between its hot keys and the others; returns the hot keys that get less
/// than they ask for.
fn divide_capacity(mut keys: Vec<(u16, f32)>, capacity: f32) -> Vec<HotKey> {
    keys.sort_by(|first, second| first.1.total_cmp(&second.1));
    let hottest = keys.last().map_or(0.0, |(_, load)| *load);
    let least = (hottest * SIMILAR_LOAD).max(capacity * MIN_KEY_LOAD);
    let hot = keys.split_off(keys.partition_point(|(_, load)| *load < least));
    let others: f32 = keys.iter().map(|(_, load)| load).sum();
    let mut left = (capacity * DIVIDED_SHARE - others).max(capacity * MIN_HOT_SHARE);
    let mut listed = Vec::new();
    for (at, (key, load)) in hot.iter().copied().enumerate() {
        let admitted = load.min(left / (hot.len() - at) as f32);
        left -= admitted;
        if admitted < load {
            let share = admitted / load;
            listed.push(HotKey { key, load, share });
        }
    }
    listed
}
