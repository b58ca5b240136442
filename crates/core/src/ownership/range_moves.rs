//! Chooses the ranges that get another owner, and that owner.
//!
//! Two cases need moves: keys whose owner is gone, and load that makes one server busier
//! than the others. Requests for a moving key have to wait for its new owner, so a server gives
//! keys away only if its load exceeds the limit by more than chance explains. The whole excess is
//! then spread in one round, because a server refuses requests for as long as it is overloaded.

use {
    super::{
        KeyRange, RangeLoad, RangePhase, RangeRecord, ServerInstance, load_estimate::LoadEstimate,
        target_queue::TargetQueue,
    },
    crate::ids::{ServiceName, ZoneName},
    std::collections::HashMap,
};

/// Utilization below which imbalance delays no request noticeably.
pub(super) const LOW_UTILIZATION: f32 = 0.45;

/// Largest number of moves per round, as a multiple of the number of servers. One per server
/// is enough to spread the excess, because a moved subrange fills the headroom of its
/// new owner.
const MOVES_PER_SERVER: f32 = 1.0;

/// Lower bound of the largest number of moves per round.
const MIN_MOVE_LIMIT: usize = 6;

/// Smallest load of a subrange worth moving, as a share of the load limit of the move.
const MIN_LOAD_SHARE: f32 = 0.25;

/// Utilization up to which keys without much load fill a server, as a multiple of the mean.
pub(super) const FILL_FACTOR: f32 = 1.1;

/// Number of keys at which the value of moving a subrange is half of its load. Each moved
/// key is interrupted, so a few busy keys are preferred to many idle ones.
const HALF_VALUE_KEYS: f32 = 2_048.0;

/// Smallest part of a range without an owner, as a share of the usual load of its new owner.
const MIN_PLACED_SHARE: f32 = 0.1;

/// A server that can own ranges of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignableServer {
    /// Server instance.
    pub instance: ServerInstance,
    /// Load that fully uses the server, in the unit of [`RangeLoad`].
    pub capacity: f32,
    /// Owns no range yet, as after it has joined.
    pub empty: bool,
    /// Availability zone in which the server runs.
    pub zone: ZoneName,
}

/// Decision to move a range to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// Range of keys that moves.
    pub range: KeyRange,
    /// Server that becomes the next owner.
    pub target: ServerInstance,
}

/// Moves that one round has chosen for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenMoves {
    /// Service whose keys move.
    pub service: ServiceName,
    /// Number of ranges.
    pub ranges: usize,
    /// Number of keys in them.
    pub keys: u32,
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
    selection.relieve_busy_servers();
    selection.fill_new_servers();
    selection.moves
}

/// Moves chosen in one round, and the loads that result from them.
pub(super) struct MoveSelection<'a> {
    pub(super) load: &'a RangeLoad,
    pub(super) estimate: LoadEstimate,
    pub(super) servers: &'a [AssignableServer],
    /// Ranges that each server owns, by index in `servers`, without those assigned in this round.
    pub(super) owned: Vec<Vec<KeyRange>>,
    /// Weight of the ranges of each server, by index in `servers`.
    pub(super) loads: Vec<f32>,
    /// Ranges without an owner, or whose owner can no longer own ranges.
    unowned: Vec<KeyRange>,
    /// Sum of the capacities.
    capacity: f32,
    /// Whether each server gets a range in this round.
    pub(super) gets_range: Vec<bool>,
    pub(super) moves: Vec<RangeMove>,
}

impl<'a> MoveSelection<'a> {
    fn new(records: &[RangeRecord], load: &'a RangeLoad, servers: &'a [AssignableServer]) -> Self {
        let positions: HashMap<&ServerInstance, usize> = servers
            .iter()
            .enumerate()
            .map(|(at, server)| (&server.instance, at))
            .collect();
        let capacity: f32 = servers.iter().map(|server| server.capacity).sum();
        let mut selection = Self {
            load,
            estimate: LoadEstimate::new(load),
            servers,
            owned: vec![Vec::new(); servers.len()],
            loads: vec![0.0; servers.len()],
            unowned: Vec::new(),
            capacity: capacity.max(f32::MIN_POSITIVE),
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
                        selection.loads[*at] += selection.estimate.of(record.range);
                    }
                    continue;
                }
            };
            match at {
                Some(at) => {
                    selection.owned[*at].push(record.range);
                    selection.loads[*at] += selection.estimate.of(record.range);
                }
                None => selection.unowned.push(record.range),
            }
        }
        selection
    }

    pub(super) fn utilization(&self, at: usize) -> f32 {
        self.loads[at] / self.servers[at].capacity.max(f32::MIN_POSITIVE)
    }

    pub(super) fn mean_utilization(&self) -> f32 {
        self.loads.iter().sum::<f32>() / self.capacity
    }

    pub(super) fn move_limit(&self) -> usize {
        ((self.servers.len() as f32 * MOVES_PER_SERVER) as usize).max(MIN_MOVE_LIMIT)
    }

    /// Assigns keys without an owner to the servers with the most headroom, in subranges.
    fn place_unowned(&mut self) {
        let unowned = std::mem::take(&mut self.unowned);
        if unowned.is_empty() {
            return;
        }
        let weight: f32 = unowned.iter().map(|range| self.estimate.of(*range)).sum();
        let fill = (self.loads.iter().sum::<f32>() + weight) / self.capacity;
        let mut targets = TargetQueue::new(fill, self.servers, &self.loads);
        for unowned_range in unowned {
            let mut rest = Some(unowned_range);
            while let Some(range) = rest {
                let Some((to, headroom)) = targets.best(None, None, self.servers, &self.loads)
                else {
                    return;
                };
                let least = fill * self.servers[to].capacity * MIN_PLACED_SHARE;
                let (subrange, left) = self.split_front(range, headroom.max(least));
                let to = self.nearer_target(&mut targets, None, subrange, to);
                self.assign(subrange, to);
                rest = left;
            }
        }
    }

    /// Server in the zone from which most requests for the range come, if it has room for the range
    /// and nearly as much headroom as `target`; otherwise `target`.
    pub(super) fn nearer_target(
        &self,
        targets: &mut TargetQueue,
        from: Option<usize>,
        range: KeyRange,
        target: usize,
    ) -> usize {
        let Some(zone) = self.load.main_zone(range) else {
            return target;
        };
        let nearest = targets.best(from, Some(zone), self.servers, &self.loads);
        match nearest {
            Some((at, headroom)) if headroom >= self.estimate.of(range) => at,
            _ => target,
        }
    }

    /// Splits `range` after its longest prefix that weighs at most `headroom`, but at least one
    /// key. Returns the prefix and the rest.
    fn split_front(&self, range: KeyRange, headroom: f32) -> (KeyRange, Option<KeyRange>) {
        let prefix = self.estimate.prefix_within(range, headroom);
        let mut last = prefix.map_or(range.first, |prefix| prefix.last);
        // A short remainder is not worth a range of its own.
        if range.last - last < (range.last - range.first) / 16 {
            last = range.last;
        }
        let rest = (last < range.last).then(|| KeyRange {
            first: last + 1,
            last: range.last,
        });
        (KeyRange { last, ..range }, rest)
    }

    /// Chooses the move of a range to the server at index `target`.
    pub(super) fn assign(&mut self, range: KeyRange, target: usize) {
        // The range is not added to the owned ranges, so it does not move again in this round.
        self.loads[target] += self.estimate.of(range);
        self.gets_range[target] = true;
        self.moves.push(RangeMove {
            range,
            target: self.servers[target].instance.clone(),
        });
    }

    /// Gives each new server keys of a busy one.
    fn fill_new_servers(&mut self) {
        let is_new = |at: &usize| self.servers[*at].empty && !self.gets_range[*at];
        let new_servers: Vec<usize> = (0..self.servers.len()).filter(is_new).collect();
        if new_servers.is_empty() {
            return;
        }
        let mut donors: Vec<usize> = (0..self.servers.len())
            .filter(|at| !self.owned[*at].is_empty())
            .collect();
        let utilization = |at: &usize| self.utilization(*at);
        donors.sort_by(|left, right| utilization(right).total_cmp(&utilization(left)));
        let fill = (self.mean_utilization() * FILL_FACTOR).max(LOW_UTILIZATION);
        let move_limit = self.move_limit();
        let mut donors = donors.into_iter();
        for to in new_servers {
            for from in donors.by_ref() {
                let difference_per_load =
                    1.0 / self.servers[from].capacity + 1.0 / self.servers[to].capacity;
                // Moving this load makes the two servers equally utilized.
                let wanted = (self.utilization(from) - self.utilization(to)) / difference_per_load;
                let headroom = fill * self.servers[to].capacity - self.loads[to];
                let Some(subrange) = self.best_subrange(from, wanted.min(headroom)) else {
                    continue;
                };
                self.take_from(from, subrange);
                self.assign(subrange, to);
                break;
            }
            if self.moves.len() >= move_limit {
                return;
            }
        }
    }

    /// Subrange at an end of a range of server `from` with the most load relative to its number of
    /// keys; weighs at most `limit`.
    pub(super) fn best_subrange(&self, from: usize, limit: f32) -> Option<KeyRange> {
        let mut best: Option<(KeyRange, f32)> = None;
        for range in &self.owned[from] {
            let ends = [
                self.estimate.prefix_within(*range, limit),
                self.estimate.suffix_within(*range, limit),
            ];
            for subrange in ends.into_iter().flatten() {
                let weight = self.estimate.of(subrange);
                if weight < limit * MIN_LOAD_SHARE {
                    continue;
                }
                let value = weight / (1.0 + subrange.keys() as f32 / HALF_VALUE_KEYS);
                if best.as_ref().is_none_or(|(_, most)| value > *most) {
                    best = Some((subrange, value));
                }
            }
        }
        best.map(|(subrange, _)| subrange)
    }

    /// Removes a subrange from the ranges of server `from`, which keeps the rest.
    pub(super) fn take_from(&mut self, from: usize, subrange: KeyRange) {
        let mut ranges = self.owned[from].iter();
        let Some(index) = ranges.position(|range| range.contains(subrange.first)) else {
            return;
        };
        self.loads[from] -= self.estimate.of(subrange);
        let range = self.owned[from].swap_remove(index);
        if range.first < subrange.first {
            self.owned[from].push(KeyRange {
                last: subrange.first - 1,
                ..range
            });
        }
        if subrange.last < range.last {
            self.owned[from].push(KeyRange {
                first: subrange.last + 1,
                ..range
            });
        }
    }
}
