//! Requests by shard, counted at forwarders and summed up at the controller.

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

/// Shards named in one report; the busiest come first.
const REPORT_SHARDS_MAX: usize = 128;

/// Highest shard number counted, so that a wrong one cannot allocate.
const SHARDS_MAX: usize = 1 << 16;

type ShardCounts = Arc<[AtomicU32]>;

/// Requests by shard since the last report.
#[derive(Debug, Default)]
pub struct ShardLoads {
    sent: ArcSwap<HashMap<ServiceName, ShardCounts>>,
    reported: Mutex<HashMap<ServiceName, HashMap<ShardId, u32>>>,
    changing: Mutex<()>,
}

impl ShardLoads {
    /// Counts a request that this host sends to a server; takes no lock.
    pub fn count(&self, service: &ServiceName, shard: ShardId) {
        let index = shard.0 as usize;
        let counter = |counts: &HashMap<ServiceName, ShardCounts>| {
            let counter = counts.get(service)?.get(index)?;
            counter.fetch_add(1, Relaxed);
            Some(())
        };
        if counter(&self.sent.load()).is_none() && index < SHARDS_MAX {
            self.grow(service, index);
            counter(&self.sent.load());
        }
    }

    /// Adds the report of another host.
    pub fn add(&self, service: &ServiceName, counts: &[(ShardId, u32)]) {
        let mut reported = self.reported();
        let sums = reported.entry(service.clone()).or_default();
        for (shard, count) in counts {
            if (shard.0 as usize) < SHARDS_MAX {
                let sum = sums.entry(*shard).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
    }

    /// Takes the counts of a service, of this host and of those that reported to it.
    pub fn take(&self, service: &ServiceName) -> HashMap<ShardId, u32> {
        let mut sums = self.reported().remove(service).unwrap_or_default();
        let sent = self.sent.load();
        let Some(counts) = sent.get(service) else {
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

    /// Takes the counts of a service's busiest shards for a report.
    pub fn take_report(&self, service: &ServiceName) -> Vec<(ShardId, u32)> {
        let mut counts: Vec<(ShardId, u32)> = self.take(service).into_iter().collect();
        counts.sort_unstable_by_key(|(shard, count)| (std::cmp::Reverse(*count), *shard));
        counts.truncate(REPORT_SHARDS_MAX);
        counts
    }

    fn grow(&self, service: &ServiceName, index: usize) {
        let _changing = lock(&self.changing);
        let sent = self.sent.load();
        let held = sent.get(service).map_or(0, |counts| counts.len());
        if held > index {
            return;
        }
        let length = (index + 1).next_power_of_two();
        let mut grown = HashMap::clone(&sent);
        grown.insert(
            service.clone(),
            (0..length).map(|_| AtomicU32::new(0)).collect(),
        );
        self.sent.store(Arc::new(grown));
    }

    fn reported(&self) -> MutexGuard<'_, HashMap<ServiceName, HashMap<ShardId, u32>>> {
        lock(&self.reported)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
