//! Request counts by shard, collected on forwarders and summed on the controller.

use {
    arc_swap::ArcSwap,
    camphorcove_core::ids::{ServiceName, ShardId},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering::Relaxed},
        },
    },
};

/// Maximum number of shards in one report; the busiest shards are kept.
const REPORT_SHARDS_MAX: usize = 128;

/// Shards with this number or a higher one are not counted, which bounds the memory that an
/// invalid shard number can allocate.
const SHARDS_MAX: usize = 1 << 16;

type ShardCounts = Arc<[AtomicU32]>;

/// Request counts by shard since the counts were last taken.
#[derive(Debug, Default)]
pub struct ShardLoads {
    /// Requests that this host sent.
    local: ArcSwap<HashMap<ServiceName, ShardCounts>>,
    /// Requests that other hosts reported.
    remote: Mutex<HashMap<ServiceName, HashMap<ShardId, u32>>>,
    /// Serializes the creation and extension of counters.
    grow_lock: Mutex<()>,
}

impl ShardLoads {
    /// Counts a request that this host sends to a server. Takes a lock only when the counters
    /// of a service have to be created or extended.
    pub fn count(&self, service: &ServiceName, shard: ShardId) {
        let index = shard.0 as usize;
        let counter = |counts: &HashMap<ServiceName, ShardCounts>| {
            let counter = counts.get(service)?.get(index)?;
            counter.fetch_add(1, Relaxed);
            Some(())
        };
        if counter(&self.local.load()).is_none() && index < SHARDS_MAX {
            self.grow(service, index);
            counter(&self.local.load());
        }
    }

    /// Adds the counts that another host reported.
    pub fn add(&self, service: &ServiceName, counts: &[(ShardId, u32)]) {
        let mut remote = self.remote();
        let sums = remote.entry(service.clone()).or_default();
        for (shard, count) in counts {
            if (shard.0 as usize) < SHARDS_MAX {
                let sum = sums.entry(*shard).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
    }

    /// Removes and returns the counts of a service: those of this host plus those reported by
    /// other hosts.
    pub fn take(&self, service: &ServiceName) -> HashMap<ShardId, u32> {
        let mut sums = self.remote().remove(service).unwrap_or_default();
        let local = self.local.load();
        let Some(counts) = local.get(service) else {
            return sums;
        };
        for (counter, number) in counts.iter().zip(0..) {
            let count = counter.swap(0, Relaxed);
            if count > 0 {
                let sum = sums.entry(ShardId(number)).or_default();
                *sum = sum.saturating_add(count);
            }
        }
        sums
    }

    /// Removes the counts of a service and returns those of its busiest shards for a report.
    pub fn take_report(&self, service: &ServiceName) -> Vec<(ShardId, u32)> {
        let mut counts: Vec<(ShardId, u32)> = self.take(service).into_iter().collect();
        counts.sort_unstable_by_key(|(shard, count)| (std::cmp::Reverse(*count), *shard));
        counts.truncate(REPORT_SHARDS_MAX);
        counts
    }

    fn grow(&self, service: &ServiceName, index: usize) {
        let _guard = lock(&self.grow_lock);
        let local = self.local.load();
        let held = local.get(service).map_or(0, |counts| counts.len());
        if held > index {
            return;
        }
        let length = (index + 1).next_power_of_two();
        let mut grown = HashMap::clone(&local);
        grown.insert(
            service.clone(),
            (0..length).map(|_| AtomicU32::new(0)).collect(),
        );
        self.local.store(Arc::new(grown));
    }

    fn remote(&self) -> MutexGuard<'_, HashMap<ServiceName, HashMap<ShardId, u32>>> {
        lock(&self.remote)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
