//! Moves load off the busy servers: hot keys one by one to the fastest servers with headroom, other
//! keys in subranges to wherever there is room.

use {
    super::{
        KeyRange,
        range_moves::{FILL_FACTOR, LOW_UTILIZATION, MoveSelection},
        target_queue::TargetQueue,
    },
    std::collections::VecDeque,
};

/// Utilization, as a multiple of the mean, above which a server gives keys away.
const IMBALANCE_FACTOR: f32 = 1.3;

/// Standard deviations of a server's count by which it must exceed the limit. With 1.3 requests/s
/// of headroom below the limit, a server of 5 requests/s exceeds it by chance less than once in
/// 1,000 rounds.
const NOISE_DEVIATIONS: f32 = 2.0;

/// Utilization up to which hot keys fill a server: each of them concerns the keys of one server
/// only, and below this, requests rarely wait longer than they run.
const HOT_FILL: f32 = 0.75;

/// Utilization up to which a single hot key may fill a server before other keys leave it.
const HOT_KEY_FILL: f32 = 0.9;

/// Utilization of a server that a single hot key may reach at most.
const FULL: f32 = 1.0;

/// Utilization, one standard deviation lower, above which a server gives away the key that fills it.
/// It tells a key on a slower server, at 1.1, from one at 0.8 on a fast server.
const HOT_KEY_LIMIT: f32 = 0.95;

/// Weight, as a share of the largest capacity, from which a key is placed by itself.
const SINGLE_KEY_SHARE: f32 = 0.25;

/// Weight, as a share of its server's capacity, from which a key may be split out of the middle
/// of a range.
const HOT_KEY_SHARE: f32 = 0.08;

/// Lowest weight of a hot key: more than one request.
const MIN_HOT_WEIGHT: f32 = 1.2;

/// Largest number of less busy keys between two hot keys that move together.
const MAX_HOT_GAP: u16 = 8;

/// Utilization after the move of a key that fits nowhere, as a share of the one before, below which
/// the move is worth it: a move interrupts the key, and measured speeds vary.
const MIN_IMPROVEMENT: f32 = 0.77;

/// Servers that can take keys, and the utilizations up to which they do.
struct MoveTargets {
    /// Fills servers with keys that are not hot.
    quiet: TargetQueue,
    /// Fills servers with hot keys.
    hot: TargetQueue,
    /// Order of the servers for a single key that fills a server: that of the utilization with it.
    single: TargetQueue,
    quiet_fill: f32,
    hot_fill: f32,
    /// Above this utilization, a server that gets a hot key gives other keys away.
    hot_key_fill: f32,
    /// Weight from which a key is placed by itself.
    single_weight: f32,
}

impl MoveSelection<'_> {
    /// Spreads the excess of busy servers over those with headroom.
    pub(super) fn relieve_busy_servers(&mut self) {
        let mean = self.mean_utilization();
        let limit = (mean * IMBALANCE_FACTOR).max(LOW_UTILIZATION);
        let mut busy: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.certain_load(*at) > limit * self.servers[*at].capacity)
            .collect();
        if busy.is_empty() {
            return;
        }
        let load = |at: &usize| self.loads[*at];
        busy.sort_by(|left, right| load(right).total_cmp(&load(left)));
        let quiet_fill = (mean * FILL_FACTOR).max(LOW_UTILIZATION);
        let hot_fill = quiet_fill.max(HOT_FILL);
        let capacities = self.servers.iter().map(|server| server.capacity);
        let mut targets = MoveTargets {
            quiet: TargetQueue::new(quiet_fill, self.servers, &self.loads),
            hot: TargetQueue::new(hot_fill, self.servers, &self.loads),
            single: TargetQueue::new(hot_fill.max(FULL), self.servers, &self.loads),
            quiet_fill,
            hot_fill,
            hot_key_fill: hot_fill.max(HOT_KEY_FILL),
            single_weight: capacities.fold(0.0, f32::max) * SINGLE_KEY_SHARE,
        };
        let mut queue = VecDeque::from(busy);
        while let Some(from) = queue.pop_front() {
            if self.moves.len() >= self.move_limit() {
                return;
            }
            let hot_keys = self.hot_keys(from);
            let hottest = hot_keys.iter().map(|(weight, _)| *weight);
            let is_filled_by_key =
                hottest.fold(0.0, f32::max) > self.servers[from].capacity * HOT_FILL / 2.0;
            // Hot keys fill their servers almost; chance must not make them move on.
            let limit = targets.hot_key_fill.max(HOT_KEY_LIMIT) * self.servers[from].capacity;
            let deviation = (self.loads[from] / 2.0).sqrt();
            let is_overloaded = self.gets_range[from] || self.loads[from] - deviation > limit;
            if is_filled_by_key && !is_overloaded {
                continue;
            }
            self.move_hot_keys(from, &hot_keys, &mut targets, &mut queue);
            let has_hot_key = self.gets_range[from]
                || hot_keys
                    .iter()
                    .any(|(_, key)| self.owned_range(from, *key).is_some());
            self.move_quiet_keys(from, has_hot_key, &mut targets);
        }
    }

    /// Hot keys of a server with their weights, in key order.
    fn hot_keys(&self, at: usize) -> Vec<(f32, u16)> {
        let least = (self.servers[at].capacity * HOT_KEY_SHARE).max(MIN_HOT_WEIGHT);
        let mut hot_keys: Vec<(f32, u16)> = Vec::new();
        for range in &self.owned[at] {
            for key in range.first..=range.last {
                let weight = self.estimate.of_key(key);
                if weight >= least {
                    hot_keys.push((weight, key));
                }
            }
        }
        hot_keys.sort_by_key(|(_, key)| *key);
        hot_keys
    }

    /// Load of a server without what chance may have added.
    fn certain_load(&self, at: usize) -> f32 {
        // The variance of a decaying count of independent requests is half of its value.
        self.loads[at] - NOISE_DEVIATIONS * (self.loads[at] / 2.0).sqrt()
    }

    /// Moves the hot keys that server `from` has no room for, the hottest one by one and the others
    /// together with their neighbours.
    fn move_hot_keys(
        &mut self,
        from: usize,
        hot_keys: &[(f32, u16)],
        targets: &mut MoveTargets,
        overfull: &mut VecDeque<usize>,
    ) {
        let capacity = self.servers[from].capacity;
        let is_single = |(weight, _): &&(f32, u16)| *weight >= targets.single_weight;
        let mut singles: Vec<(f32, u16)> = hot_keys.iter().filter(is_single).copied().collect();
        singles.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        let mut kept: Vec<u16> = Vec::new();
        for (weight, key) in singles {
            let is_relieved = self.loads[from] <= targets.hot_fill * capacity;
            if is_relieved || self.moves.len() >= self.move_limit() {
                return;
            }
            let range = KeyRange {
                first: key,
                last: key,
            };
            let zone = self.load.main_zone(range);
            let best = targets
                .single
                .best(Some(from), zone, self.servers, &self.loads);
            let Some((to, _)) = best else {
                return;
            };
            let after = (self.loads[to] + weight) / self.servers[to].capacity;
            let fits = after <= targets.hot_key_fill;
            if !fits && after > self.utilization(from) * MIN_IMPROVEMENT {
                kept.push(key);
                continue;
            }
            if !fits && weight > targets.hot_fill * self.servers[to].capacity {
                overfull.push_back(to);
            }
            self.take_from(from, range);
            self.assign(range, to);
        }
        let keys: Vec<u16> = hot_keys.iter().map(|(_, key)| *key).collect();
        let mut next = 0;
        while next < keys.len() && self.loads[from] > targets.hot_fill * capacity {
            if self.moves.len() >= self.move_limit() {
                break;
            }
            let first = keys[next];
            let start = KeyRange { first, last: first };
            let Some(owned) = self
                .owned_range(from, first)
                .filter(|_| !kept.contains(&first))
            else {
                next += 1;
                continue;
            };
            let zone = self.load.main_zone(start);
            let best = targets
                .hot
                .best(Some(from), zone, self.servers, &self.loads);
            let Some((to, headroom)) = best else {
                break;
            };
            let mut group = start;
            next += 1;
            while next < keys.len() {
                let last = keys[next];
                let extended = KeyRange { first, last };
                let is_near = last - group.last <= MAX_HOT_GAP + 1 && owned.contains(last);
                if !is_near || kept.contains(&last) || self.estimate.of(extended) > headroom {
                    break;
                }
                group = extended;
                next += 1;
            }
            let weight = self.estimate.of(group);
            let after = (self.loads[to] + weight) / self.servers[to].capacity;
            if weight > headroom && after > self.utilization(from) * MIN_IMPROVEMENT {
                break;
            }
            self.take_from(from, group);
            self.assign(group, to);
        }
    }

    /// Moves keys from the ends of the ranges of server `from` until the rest fits.
    fn move_quiet_keys(&mut self, from: usize, has_hot_key: bool, targets: &mut MoveTargets) {
        let capacity = self.servers[from].capacity;
        let (fill, tolerated) = match has_hot_key {
            true => (targets.hot_fill, targets.hot_key_fill),
            false => (targets.quiet_fill, targets.quiet_fill),
        };
        if self.loads[from] <= tolerated * capacity {
            return;
        }
        while self.moves.len() < self.move_limit() {
            let excess = self.loads[from] - fill * capacity;
            if excess <= 0.0 {
                return;
            }
            let best = targets
                .quiet
                .best(Some(from), None, self.servers, &self.loads);
            let Some((to, headroom)) = best else {
                return;
            };
            let Some(subrange) = self.best_subrange(from, excess.min(headroom)) else {
                return;
            };
            let to = self.nearer_target(&mut targets.quiet, Some(from), subrange, to);
            self.take_from(from, subrange);
            self.assign(subrange, to);
        }
    }

    /// Range of server `at` that contains the key, and has not been moved.
    fn owned_range(&self, at: usize, key: u16) -> Option<KeyRange> {
        let mut ranges = self.owned[at].iter();
        ranges.find(|range| range.contains(key)).copied()
    }
}
