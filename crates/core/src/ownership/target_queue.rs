//! Servers in the order of their headroom.

use {
    super::AssignableServer,
    crate::ids::ZoneName,
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// Headroom, as a share of the capacity, that a server in the zone of most requests may have less
/// than the best server and still be chosen.
const ZONE_TOLERANCE: f32 = 0.1;

/// Headroom of a server when it was entered.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueueEntry {
    headroom: f32,
    at: usize,
}

impl Eq for QueueEntry {}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_headroom = self.headroom.total_cmp(&other.headroom);
        by_headroom.then(other.at.cmp(&self.at))
    }
}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Finds the server with the most headroom, in requests and not as a share: the fastest servers that
/// are not busy come first. Entries are checked when they reach the front, as loads change meanwhile.
#[derive(Debug)]
pub(super) struct TargetQueue {
    /// Utilization up to which servers are filled.
    fill: f32,
    zones: BTreeMap<ZoneName, BinaryHeap<QueueEntry>>,
}

impl TargetQueue {
    pub(super) fn new(fill: f32, servers: &[AssignableServer], loads: &[f32]) -> Self {
        let mut entries: BTreeMap<&ZoneName, Vec<QueueEntry>> = BTreeMap::new();
        for (at, server) in servers.iter().enumerate() {
            let headroom = fill * server.capacity - loads[at];
            let zone = entries.entry(&server.zone).or_default();
            zone.push(QueueEntry { headroom, at });
        }
        let zones = entries
            .into_iter()
            .map(|(zone, entries)| (zone.clone(), BinaryHeap::from(entries)))
            .collect();
        Self { fill, zones }
    }

    /// Server with the most headroom other than `from`, and its headroom, which may be negative.
    /// One of `zone` comes first at nearly equal headroom.
    pub(super) fn best(
        &mut self,
        from: Option<usize>,
        zone: Option<&ZoneName>,
        servers: &[AssignableServer],
        loads: &[f32],
    ) -> Option<(usize, f32)> {
        let mut best: Option<QueueEntry> = None;
        let mut nearest: Option<QueueEntry> = None;
        for (name, heap) in &mut self.zones {
            let Some(front) = front(heap, self.fill, from, servers, loads) else {
                continue;
            };
            best = best.max(Some(front));
            if Some(name) == zone {
                nearest = Some(front);
            }
        }
        let best = best?;
        let least = best.headroom - servers[best.at].capacity * ZONE_TOLERANCE;
        let chosen = nearest.filter(|nearest| nearest.headroom >= least);
        let chosen = chosen.unwrap_or(best);
        Some((chosen.at, chosen.headroom))
    }
}

/// Front of the queue with its present headroom; `from` is passed over.
fn front(
    heap: &mut BinaryHeap<QueueEntry>,
    fill: f32,
    from: Option<usize>,
    servers: &[AssignableServer],
    loads: &[f32],
) -> Option<QueueEntry> {
    let mut passed_over = None;
    let found = loop {
        let Some(entry) = heap.peek().copied() else {
            break None;
        };
        if Some(entry.at) == from {
            passed_over = heap.pop();
            continue;
        }
        let headroom = fill * servers[entry.at].capacity - loads[entry.at];
        if headroom >= entry.headroom {
            break Some(entry);
        }
        heap.pop();
        heap.push(QueueEntry { headroom, ..entry });
    };
    heap.extend(passed_over);
    found
}
