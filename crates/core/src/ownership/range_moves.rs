//! Chooses the ranges that get another owner, and that owner.
//!
//! Two cases need moves: keys whose owner is gone, and a few hot keys that make one
//! server busier than the others. Requests for a moving key have to wait for its new owner,
//! so a move is chosen only where it noticeably lowers the load of the busiest server.
//! The whole excess is then spread in one round, because a server refuses requests for as
//! long as it is overloaded.

use {
    super::{KeyRange, RangeLoad, RangePhase, RangeRecord, ServerInstance},
    std::collections::BTreeMap,
};

/// Utilization, as a multiple of the mean, above which a server gives keys away.
const IMBALANCE_FACTOR: f32 = 1.3;

/// Utilization below which imbalance delays no request noticeably.
const LOW_UTILIZATION: f32 = 0.45;

/// Largest number of moves per round, as a multiple of the number of servers. One per server
/// is enough to spread the excess, because a moved subrange fills the headroom of its
/// new owner.
const MOVES_PER_SERVER: f32 = 1.0;

/// Lower bound of the largest number of moves per round.
const MIN_MOVE_LIMIT: usize = 6;

/// Smallest load of a subrange worth moving, as a share of the load limit of the move.
const MIN_LOAD_SHARE: f32 = 0.25;

/// Utilization up to which moves fill a server, as a multiple of the mean.
const FILL_FACTOR: f32 = 1.1;

/// Number of keys at which the value of moving a subrange is half of its load. Each moved
/// key is interrupted, so a few busy keys are preferred to many idle ones.
const HALF_VALUE_KEYS: f32 = 2_048.0;

/// Load, as a multiple of the weight of an idle key, from which a key may be split out of
/// the middle of a range.
const HOT_LOAD_FACTOR: f32 = 8.0;

/// Share of its server's capacity above which a single key is moved to a faster server.
const HOT_KEY_CAPACITY_SHARE: f32 = 0.7;

/// Smallest speed ratio that justifies such a move: a move interrupts the key, and measured
/// speeds vary.
const MIN_SPEED_RATIO: f32 = 1.3;

/// Load, as a share of the busiest key's load, from which nearby keys move with it.
const NEARBY_LOAD_SHARE: f32 = 0.25;

/// Longest run of less busy keys within such a group of keys.
const MAX_WINDOW_GAP: usize = 64;

/// Weight added for the whole key space, as a share of the total load and divided evenly
/// among all keys, so that keys without requests are spread over the servers as well.
const IDLE_WEIGHT_SHARE: f32 = 0.1;

/// A server that can own ranges of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignableServer {
    /// Server instance.
    pub instance: ServerInstance,
    /// Load that fully uses the server, in the unit of [`RangeLoad`].
    pub capacity: f32,
    /// Owns no range yet, as after it has joined.
    pub empty: bool,
}

/// Decision to move a range to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// Range of keys that moves.
    pub range: KeyRange,
    /// Server that becomes the next owner.
    pub target: ServerInstance,
}

/// Chooses moves for one service, whose ownership records are `records`.
///
/// Ranges that are already moving are not moved again.
pub fn choose_moves(
    records: &[RangeRecord],
    load: &RangeLoad,
    servers: &[AssignableServer],
) -> Vec<RangeMove> {
    if servers.is_empty() {
        return Vec::new();
    }
    let mut selection = MoveSelection::new(records, load, servers);
    selection.place_unowned();
    selection.place_hot_key();
    selection.balance_load();
    selection.moves
}

/// Moves chosen in one round, and the loads that result from them.
struct MoveSelection<'a> {
    load: &'a RangeLoad,
    servers: &'a [AssignableServer],
    /// Ranges that each server owns, by index in `servers`, without those assigned in this round.
    owned: Vec<Vec<KeyRange>>,
    /// Weight of the ranges of each server, by index in `servers`.
    loads: Vec<f32>,
    /// Ranges without an owner, or whose owner can no longer own ranges.
    unowned: Vec<KeyRange>,
    /// Weight of a key in addition to its requests.
    idle_weight: f32,
    /// Whether each server gets a range in this round.
    gets_range: Vec<bool>,
    moves: Vec<RangeMove>,
}

impl<'a> MoveSelection<'a> {
    fn new(records: &[RangeRecord], load: &'a RangeLoad, servers: &'a [AssignableServer]) -> Self {
        let positions: BTreeMap<&ServerInstance, usize> = servers
            .iter()
            .enumerate()
            .map(|(at, server)| (&server.instance, at))
            .collect();
        let total = load.of(KeyRange::ALL).max(1.0);
        let mut selection = Self {
            load,
            servers,
            owned: vec![Vec::new(); servers.len()],
            loads: vec![0.0; servers.len()],
            unowned: Vec::new(),
            idle_weight: total * IDLE_WEIGHT_SHARE / KeyRange::ALL.keys() as f32,
            gets_range: vec![false; servers.len()],
            moves: Vec::new(),
        };
        for record in records {
            let at = match &record.phase {
                RangePhase::Owned { owner, .. } => positions.get(owner),
                RangePhase::Free => None,
                // The load of a moving range already counts for its target.
                RangePhase::Moving { target, .. } => {
                    if let Some(at) = target.as_ref().and_then(|target| positions.get(target)) {
                        selection.loads[*at] += selection.weight(record.range);
                    }
                    continue;
                }
            };
            match at {
                Some(at) => {
                    selection.owned[*at].push(record.range);
                    selection.loads[*at] += selection.weight(record.range);
                }
                None => selection.unowned.push(record.range),
            }
        }
        selection
    }

    /// Load of a range plus the idle weight of each of its keys.
    fn weight(&self, range: KeyRange) -> f32 {
        self.load.of(range) + range.keys() as f32 * self.idle_weight
    }

    fn utilization(&self, at: usize) -> f32 {
        self.loads[at] / self.servers[at].capacity.max(f32::MIN_POSITIVE)
    }

    fn least_busy(&self) -> usize {
        self.least_busy_with(0.0).unwrap_or(0)
    }

    /// Busiest server that may still have a subrange worth moving.
    fn busiest(&self, exhausted: &[bool]) -> Option<usize> {
        (0..self.servers.len())
            .filter(|at| !exhausted[*at])
            .max_by(|left, right| self.utilization(*left).total_cmp(&self.utilization(*right)))
    }

    fn mean_utilization(&self) -> f32 {
        let capacity: f32 = self.servers.iter().map(|server| server.capacity).sum();
        self.loads.iter().sum::<f32>() / capacity.max(f32::MIN_POSITIVE)
    }

    /// Assigns keys without an owner to the least busy servers, in subranges.
    fn place_unowned(&mut self) {
        let unowned = std::mem::take(&mut self.unowned);
        let unowned_weight: f32 = unowned.iter().map(|range| self.weight(*range)).sum();
        let capacity: f32 = self.servers.iter().map(|server| server.capacity).sum();
        let target_utilization =
            (self.loads.iter().sum::<f32>() + unowned_weight) / capacity.max(f32::MIN_POSITIVE);
        for unowned_range in unowned {
            let mut rest = Some(unowned_range);
            while let Some(range) = rest {
                let target = self.target_for(range);
                let headroom =
                    (target_utilization - self.utilization(target)) * self.servers[target].capacity;
                let (subrange, left) = self.split_front(range, headroom);
                self.assign(subrange, target);
                rest = left;
            }
        }
    }

    /// Least busy server that can take the first key of a range. A key that exceeds the capacity of
    /// slow servers, as that of cold ones, goes to one of the fastest.
    fn target_for(&self, range: KeyRange) -> usize {
        let target = self.least_busy();
        let load = self.load.keys(range).first().copied().unwrap_or_default();
        if load <= self.servers[target].capacity {
            return target;
        }
        let most = self.servers.iter().map(|server| server.capacity);
        let needed = load.min(most.fold(0.0, f32::max));
        self.least_busy_with(needed).unwrap_or(target)
    }

    /// Splits `range` after its longest prefix that weighs at most `headroom`, but at least one
    /// key. Returns the prefix and the rest.
    fn split_front(&self, range: KeyRange, headroom: f32) -> (KeyRange, Option<KeyRange>) {
        let mut weight = 0.0;
        let mut last = range.first;
        for (offset, load) in self.load.keys(range).iter().enumerate() {
            weight += load + self.idle_weight;
            if offset > 0 && weight > headroom {
                break;
            }
            last = range.first + u16::try_from(offset).unwrap_or(0);
        }
        // A short remainder is not worth a range of its own.
        if range.last - last < range.last.saturating_sub(range.first) / 16 {
            last = range.last;
        }
        let subrange = KeyRange {
            first: range.first,
            last,
        };
        let rest = (last < range.last).then(|| KeyRange {
            first: last + 1,
            last: range.last,
        });
        (subrange, rest)
    }

    /// Chooses the move of a range to the server at index `target`.
    fn assign(&mut self, range: KeyRange, target: usize) {
        // The range is not added to the owned ranges, so it does not move again in this round.
        self.loads[target] += self.weight(range);
        self.gets_range[target] = true;
        self.moves.push(RangeMove {
            range,
            target: self.servers[target].instance.clone(),
        });
    }

    /// Moves the hottest key that uses most of its server's capacity to the fastest server. A key
    /// has one owner, so the speed of the owner limits the throughput for the key.
    fn place_hot_key(&mut self) {
        let mut hottest: Option<(usize, usize, KeyRange, f32)> = None;
        for (at, ranges) in self.owned.iter().enumerate() {
            for (index, range) in ranges.iter().enumerate() {
                let Some((key, load)) = self.busiest_key(*range) else {
                    continue;
                };
                let takes_most = load > self.servers[at].capacity * HOT_KEY_CAPACITY_SHARE;
                if takes_most && hottest.is_none_or(|(.., most)| load > most) {
                    hottest = Some((at, index, key, load));
                }
            }
        }
        let Some((from, index, key, _)) = hottest else {
            return;
        };
        let capacity = |at: usize| self.servers[at].capacity;
        let fastest = (0..self.servers.len())
            .filter(|at| !self.has_hot_key(*at))
            .max_by(|left, right| capacity(*left).total_cmp(&capacity(*right)));
        let Some(to) = fastest else {
            return;
        };
        if to != from && capacity(to) >= capacity(from) * MIN_SPEED_RATIO {
            self.remove_subrange(from, index, key);
            self.assign(key, to);
        }
    }

    /// Whether the server gets a range in this round or already owns a hot key.
    fn has_hot_key(&self, at: usize) -> bool {
        let limit = self.servers[at].capacity * HOT_KEY_CAPACITY_SHARE;
        let tops = self.owned[at]
            .iter()
            .filter_map(|range| self.busiest_key(*range));
        self.gets_range[at] || tops.into_iter().any(|(_, load)| load > limit)
    }

    /// Busiest key of a range, and its load.
    fn busiest_key(&self, range: KeyRange) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let busiest = loads
            .iter()
            .enumerate()
            .max_by(|(_, left), (_, right)| left.total_cmp(right));
        let (offset, load) = busiest?;
        let key = range.first + u16::try_from(offset).ok()?;
        let key = KeyRange {
            first: key,
            last: key,
        };
        Some((key, *load))
    }

    /// Moves subranges from the busiest servers to the least busy ones. Each is limited to the
    /// headroom of its new owner, as it does not move again in the same round.
    fn balance_load(&mut self) {
        let mean = self.mean_utilization();
        let target_utilization = (mean * FILL_FACTOR).max(LOW_UTILIZATION);
        let limit = (self.servers.len() as f32 * MOVES_PER_SERVER) as usize;
        let mut exhausted = vec![false; self.servers.len()];
        let mut started = 0;
        while started < limit.max(MIN_MOVE_LIMIT) {
            let Some(from) = self.busiest(&exhausted) else {
                return;
            };
            let to = self.least_busy();
            let high = self.utilization(from);
            let is_uneven = high > mean * IMBALANCE_FACTOR && high > LOW_UTILIZATION;
            let target_is_new = self.servers[to].empty && !self.gets_range[to];
            if from == to || !(is_uneven || target_is_new) {
                return;
            }
            let planned = self.balancing_subrange(from, to, target_utilization);
            // The hot keys of a server may be too much for a slower one, as for a cold one.
            let needed = self.servers[from].capacity;
            let fast = self.least_busy_with(needed).unwrap_or(from);
            let planned = match planned {
                None if is_uneven && fast != to => {
                    self.balancing_subrange(from, fast, target_utilization)
                }
                planned => planned,
            };
            let Some((to, index, subrange)) = planned else {
                exhausted[from] = true;
                continue;
            };
            self.remove_subrange(from, index, subrange);
            self.assign(subrange, to);
            started += 1;
        }
    }

    /// Least busy of the servers that take at least this load.
    fn least_busy_with(&self, needed: f32) -> Option<usize> {
        (0..self.servers.len())
            .filter(|at| self.servers[*at].capacity >= needed)
            .min_by(|left, right| self.utilization(*left).total_cmp(&self.utilization(*right)))
    }

    /// Subrange of server `from` that makes it and server `to` more equally utilized: `to`, the index of the
    /// range that the subrange belongs to, and the subrange.
    fn balancing_subrange(
        &self,
        from: usize,
        to: usize,
        target_utilization: f32,
    ) -> Option<(usize, usize, KeyRange)> {
        let (high, low) = (self.utilization(from), self.utilization(to));
        let (giver, taker) = (self.servers[from].capacity, self.servers[to].capacity);
        // Moving this load makes the two servers equally utilized.
        let mut wanted = (high - low) / (1.0 / giver + 1.0 / taker);
        if taker < giver {
            // A key that exceeds the capacity of a slower server stays.
            wanted = wanted.min(taker);
        }
        let headroom = (target_utilization - low) * taker;
        let (index, subrange) = self.best_subrange(from, wanted, headroom)?;
        Some((to, index, subrange))
    }

    /// Subrange of the ranges of server `from` with the most load relative to its number of keys.
    ///
    /// Its weight is at most `wanted` and `headroom`; a single key may exceed `headroom`.
    /// Returns the index of the range that it belongs to, and the subrange.
    fn best_subrange(&self, from: usize, wanted: f32, headroom: f32) -> Option<(usize, KeyRange)> {
        let limit = wanted.min(headroom);
        let mut best: Option<(usize, KeyRange, f32)> = None;
        for (index, range) in self.owned[from].iter().enumerate() {
            let window = self.hot_window(*range, limit, wanted);
            let ends = [
                self.prefix_within(*range, limit),
                self.suffix_within(*range, limit),
            ];
            for subrange in ends.into_iter().chain([window]) {
                let Some((subrange, weight)) = subrange else {
                    continue;
                };
                if weight < limit * MIN_LOAD_SHARE {
                    continue;
                }
                let value = weight / (1.0 + subrange.keys() as f32 / HALF_VALUE_KEYS);
                if best.as_ref().is_none_or(|(_, _, most)| value > *most) {
                    best = Some((index, subrange, value));
                }
            }
        }
        let (index, subrange, _) = best?;
        Some((index, subrange))
    }

    /// Group of hot keys around the busiest key of a range, and its weight.
    ///
    /// The group weighs at most `limit`; the busiest key alone may weigh up to `wanted`.
    fn hot_window(&self, range: KeyRange, limit: f32, wanted: f32) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let (key, top) = self.busiest_key(range)?;
        let at = usize::from(key.first - range.first);
        let mut weight = top + self.idle_weight;
        if weight > wanted || top < self.idle_weight * HOT_LOAD_FACTOR {
            return None;
        }
        let (mut first, mut last) = (at, at);
        // The window is extended only to busy keys; less busy keys may lie between them.
        let (mut low, mut high) = (at, at);
        let mut pending = 0.0;
        while high + 1 < loads.len() && high - last < MAX_WINDOW_GAP {
            high += 1;
            pending += loads[high] + self.idle_weight;
            if weight + pending > limit {
                break;
            }
            if loads[high] >= top * NEARBY_LOAD_SHARE {
                last = high;
                weight += std::mem::take(&mut pending);
            }
        }
        pending = 0.0;
        while low > 0 && first - low < MAX_WINDOW_GAP {
            low -= 1;
            pending += loads[low] + self.idle_weight;
            if weight + pending > limit {
                break;
            }
            if loads[low] >= top * NEARBY_LOAD_SHARE {
                first = low;
                weight += std::mem::take(&mut pending);
            }
        }
        let key = |offset: usize| Some(range.first + u16::try_from(offset).ok()?);
        let subrange = KeyRange {
            first: key(first)?,
            last: key(last)?,
        };
        Some((subrange, weight))
    }

    /// Longest prefix of a range that weighs at most `wanted`, and its weight.
    fn prefix_within(&self, range: KeyRange, wanted: f32) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let (count, weight) = self.count_within(loads.iter(), wanted);
        let last = range.first + u16::try_from(count.checked_sub(1)?).ok()?;
        let first = range.first;
        Some((KeyRange { first, last }, weight))
    }

    /// Longest suffix of a range that weighs at most `wanted`, and its weight.
    fn suffix_within(&self, range: KeyRange, wanted: f32) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let (count, weight) = self.count_within(loads.iter().rev(), wanted);
        let first = range.last - u16::try_from(count.checked_sub(1)?).ok()?;
        let last = range.last;
        Some((KeyRange { first, last }, weight))
    }

    /// Number and total weight of the first keys that together weigh at most `wanted`.
    fn count_within<'k>(&self, loads: impl Iterator<Item = &'k f32>, wanted: f32) -> (usize, f32) {
        let (mut count, mut weight) = (0, 0.0);
        for load in loads {
            let next = weight + load + self.idle_weight;
            if next > wanted {
                break;
            }
            weight = next;
            count += 1;
        }
        (count, weight)
    }

    /// Removes a subrange from the range at `index` of server `from`; the server keeps the rest.
    fn remove_subrange(&mut self, from: usize, index: usize, subrange: KeyRange) {
        self.loads[from] -= self.weight(subrange);
        let range = self.owned[from].swap_remove(index);
        if range.first < subrange.first {
            self.owned[from].push(KeyRange {
                first: range.first,
                last: subrange.first - 1,
            });
        }
        if subrange.last < range.last {
            self.owned[from].push(KeyRange {
                first: subrange.last + 1,
                last: range.last,
            });
        }
    }
}
