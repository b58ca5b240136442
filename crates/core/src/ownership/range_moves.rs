//! Which ranges change owner so that load is even.
//!
//! Answers two loads: keys whose owner is gone, and a few hot keys that make one
//! server busier than the rest. Every move interrupts its keys for a moment, so a
//! move is chosen only where it lowers the load of the busiest server noticeably; then
//! all of the excess is spread at once, as callers are refused until it is.

use {
    super::{KeyRange, RangeLoad, RangePhase, RangeRecord, ServerInstance},
    std::collections::BTreeMap,
};

/// Utilization above the mean, as a factor, from which a server gives keys away.
const UNEVEN_FACTOR: f32 = 1.3;

/// Utilization below which unevenness does not delay any request noticeably.
const CALM_UTILIZATION: f32 = 0.45;

/// Moves started at once, as a share of the servers: one for each is enough to spread
/// the excess, as a piece fills its new owner.
const MOVE_SHARE: f32 = 1.0;

/// Fewest moves that may start at once.
const LEAST_MOVES: usize = 6;

/// Share of the wanted load that a piece must carry to be worth an interruption.
const WORTH_SHARE: f32 = 0.25;

/// Utilization up to which a server is filled by moves, as a factor on the mean.
const FILL_FACTOR: f32 = 1.1;

/// Keys of a piece at which it is worth half of its load: each moved key is an
/// interruption, so a few busy keys are preferred to many idle ones.
const CHURN_KEYS: f32 = 2_048.0;

/// Load of a key, as a factor on that of an idle one, from which on it is cut out of
/// the middle of a range.
const HOT_FACTOR: f32 = 8.0;

/// Share of its server's capacity from which on a single key is placed by speed.
const HOT_KEY_SHARE: f32 = 0.7;

/// Factor by which another server has to be faster for that: a move costs an
/// interruption, and measured speeds vary.
const FASTER_FACTOR: f32 = 1.3;

/// Share of the busiest key's load that its neighbours need to move with it.
const HOT_SHARE: f32 = 0.25;

/// Longest run of idle keys within such a piece.
const WINDOW_GAP: usize = 64;

/// Weight of all idle keys together, as a share of the whole load: spreads keys
/// that had no request yet.
const IDLE_SHARE: f32 = 0.1;

/// Room of one server that takes keys.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRoom {
    /// Server.
    pub instance: ServerInstance,
    /// Load that keeps it fully busy, in the unit of [`RangeLoad`].
    pub capacity: f32,
    /// Has joined lately and owns nothing yet.
    pub empty: bool,
}

/// A range and its next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// Keys.
    pub range: KeyRange,
    /// Next owner.
    pub target: ServerInstance,
}

/// Chooses moves for the ranges of one service; ranges in motion are left alone.
pub fn choose_moves(
    records: &[RangeRecord],
    load: &RangeLoad,
    rooms: &[ServerRoom],
) -> Vec<RangeMove> {
    if rooms.is_empty() {
        return Vec::new();
    }
    let mut draft = MoveDraft::new(records, load, rooms);
    draft.place_orphans();
    draft.place_hot_key();
    draft.even_out();
    draft.moves
}

struct MoveDraft<'a> {
    load: &'a RangeLoad,
    rooms: &'a [ServerRoom],
    /// Ranges by position in `rooms`.
    owned: Vec<Vec<KeyRange>>,
    loads: Vec<f32>,
    orphans: Vec<KeyRange>,
    idle_weight: f32,
    /// Servers that get a range in this round.
    served: Vec<bool>,
    moves: Vec<RangeMove>,
}

impl<'a> MoveDraft<'a> {
    fn new(records: &[RangeRecord], load: &'a RangeLoad, rooms: &'a [ServerRoom]) -> Self {
        let positions: BTreeMap<&ServerInstance, usize> = rooms
            .iter()
            .enumerate()
            .map(|(at, room)| (&room.instance, at))
            .collect();
        let total = load.of(KeyRange::ALL).max(1.0);
        let mut draft = Self {
            load,
            rooms,
            owned: vec![Vec::new(); rooms.len()],
            loads: vec![0.0; rooms.len()],
            orphans: Vec::new(),
            idle_weight: total * IDLE_SHARE / KeyRange::ALL.keys() as f32,
            served: vec![false; rooms.len()],
            moves: Vec::new(),
        };
        for record in records {
            let at = match &record.phase {
                RangePhase::Owned { owner, .. } => positions.get(owner),
                RangePhase::Free => None,
                // The target already counts with the load that it will get.
                RangePhase::Moving { target, .. } => {
                    if let Some(at) = target.as_ref().and_then(|target| positions.get(target)) {
                        draft.loads[*at] += draft.weight(record.range);
                    }
                    continue;
                }
            };
            match at {
                Some(at) => {
                    draft.owned[*at].push(record.range);
                    draft.loads[*at] += draft.weight(record.range);
                }
                None => draft.orphans.push(record.range),
            }
        }
        draft
    }

    fn weight(&self, range: KeyRange) -> f32 {
        self.load.of(range) + range.keys() as f32 * self.idle_weight
    }

    fn utilization(&self, at: usize) -> f32 {
        self.loads[at] / self.rooms[at].capacity.max(f32::MIN_POSITIVE)
    }

    fn least_busy(&self) -> usize {
        (0..self.rooms.len())
            .min_by(|left, right| self.utilization(*left).total_cmp(&self.utilization(*right)))
            .unwrap_or(0)
    }

    /// Busiest server that still has a piece to give.
    fn busiest(&self, settled: &[bool]) -> Option<usize> {
        (0..self.rooms.len())
            .filter(|at| !settled[*at])
            .max_by(|left, right| self.utilization(*left).total_cmp(&self.utilization(*right)))
    }

    fn mean_utilization(&self) -> f32 {
        let capacity: f32 = self.rooms.iter().map(|room| room.capacity).sum();
        self.loads.iter().sum::<f32>() / capacity.max(f32::MIN_POSITIVE)
    }

    /// Gives keys without an owner to the servers with most room, in pieces.
    fn place_orphans(&mut self) {
        let orphans = std::mem::take(&mut self.orphans);
        let lost: f32 = orphans.iter().map(|range| self.weight(*range)).sum();
        let capacity: f32 = self.rooms.iter().map(|room| room.capacity).sum();
        let level = (self.loads.iter().sum::<f32>() + lost) / capacity.max(f32::MIN_POSITIVE);
        for orphan in orphans {
            let mut rest = Some(orphan);
            while let Some(range) = rest {
                let target = self.least_busy();
                let room = (level - self.utilization(target)) * self.rooms[target].capacity;
                let (piece, left) = self.cut_front(range, room);
                self.give(piece, target);
                rest = left;
            }
        }
    }

    /// Longest front of `range` that weighs at most `room`, but at least one key.
    fn cut_front(&self, range: KeyRange, room: f32) -> (KeyRange, Option<KeyRange>) {
        let mut weight = 0.0;
        let mut last = range.first;
        for (offset, load) in self.load.keys(range).iter().enumerate() {
            weight += load + self.idle_weight;
            if offset > 0 && weight > room {
                break;
            }
            last = range.first + u16::try_from(offset).unwrap_or(0);
        }
        // A remainder of a few keys is not worth a range of its own.
        if range.last - last < range.last.saturating_sub(range.first) / 16 {
            last = range.last;
        }
        let piece = KeyRange {
            first: range.first,
            last,
        };
        let rest = (last < range.last).then(|| KeyRange {
            first: last + 1,
            last: range.last,
        });
        (piece, rest)
    }

    fn give(&mut self, range: KeyRange, target: usize) {
        // The piece is left out of the owned ranges: it is not given on in this round.
        self.loads[target] += self.weight(range);
        self.served[target] = true;
        self.moves.push(RangeMove {
            range,
            target: self.rooms[target].instance.clone(),
        });
    }

    /// Gives a key that takes most of its server alone to the fastest server: a key has
    /// one owner, so the owner's speed bounds what its callers get.
    fn place_hot_key(&mut self) {
        let mut hottest: Option<(usize, usize, KeyRange, f32)> = None;
        for (at, ranges) in self.owned.iter().enumerate() {
            for (index, range) in ranges.iter().enumerate() {
                let Some((key, load)) = self.top_key(*range) else {
                    continue;
                };
                let takes_most = load > self.rooms[at].capacity * HOT_KEY_SHARE;
                if takes_most && hottest.is_none_or(|(.., most)| load > most) {
                    hottest = Some((at, index, key, load));
                }
            }
        }
        let Some((from, index, key, _)) = hottest else {
            return;
        };
        let capacity = |at: usize| self.rooms[at].capacity;
        let fastest = (0..self.rooms.len())
            .filter(|at| !self.has_hot_key(*at))
            .max_by(|left, right| capacity(*left).total_cmp(&capacity(*right)));
        let Some(to) = fastest else {
            return;
        };
        if to != from && capacity(to) >= capacity(from) * FASTER_FACTOR {
            self.take(from, index, key);
            self.give(key, to);
        }
    }

    fn has_hot_key(&self, at: usize) -> bool {
        let limit = self.rooms[at].capacity * HOT_KEY_SHARE;
        let tops = self.owned[at]
            .iter()
            .filter_map(|range| self.top_key(*range));
        self.served[at] || tops.into_iter().any(|(_, load)| load > limit)
    }

    /// Busiest key of a range.
    fn top_key(&self, range: KeyRange) -> Option<(KeyRange, f32)> {
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

    /// Moves pieces from the busiest servers to the least busy ones, each only as large
    /// as its new owner has room for: a piece does not move on in the same round.
    fn even_out(&mut self) {
        let mean = self.mean_utilization();
        let level = (mean * FILL_FACTOR).max(CALM_UTILIZATION);
        let limit = (self.rooms.len() as f32 * MOVE_SHARE) as usize;
        let mut settled = vec![false; self.rooms.len()];
        let mut started = 0;
        while started < limit.max(LEAST_MOVES) {
            let Some(from) = self.busiest(&settled) else {
                return;
            };
            let to = self.least_busy();
            let (high, low) = (self.utilization(from), self.utilization(to));
            let uneven = high > mean * UNEVEN_FACTOR && high > CALM_UTILIZATION;
            let joins = self.rooms[to].empty && !self.served[to];
            if from == to || !(uneven || joins) {
                return;
            }
            let slope = 1.0 / self.rooms[from].capacity + 1.0 / self.rooms[to].capacity;
            let wanted = (high - low) / slope;
            let room = (level - low) * self.rooms[to].capacity;
            let Some((index, piece)) = self.best_piece(from, wanted, room) else {
                settled[from] = true;
                continue;
            };
            self.take(from, index, piece);
            self.give(piece, to);
            started += 1;
        }
    }

    /// Piece of a range of `from` that carries most for the keys that it moves: up to
    /// `room`, or one key up to `wanted`.
    fn best_piece(&self, from: usize, wanted: f32, room: f32) -> Option<(usize, KeyRange)> {
        let limit = wanted.min(room);
        let mut best: Option<(usize, KeyRange, f32)> = None;
        for (index, range) in self.owned[from].iter().enumerate() {
            let window = self.window(*range, limit, wanted);
            let ends = [self.front(*range, limit), self.back(*range, limit)];
            for piece in ends.into_iter().chain([window]) {
                let Some((piece, weight)) = piece else {
                    continue;
                };
                if weight < limit * WORTH_SHARE {
                    continue;
                }
                let worth = weight / (1.0 + piece.keys() as f32 / CHURN_KEYS);
                if best.as_ref().is_none_or(|(_, _, most)| worth > *most) {
                    best = Some((index, piece, worth));
                }
            }
        }
        let (index, piece, _) = best?;
        Some((index, piece))
    }

    /// Busiest keys of a range that lie together and weigh at most `limit`; the busiest
    /// key alone may weigh up to `wanted`.
    fn window(&self, range: KeyRange, limit: f32, wanted: f32) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let (key, top) = self.top_key(range)?;
        let at = usize::from(key.first - range.first);
        let mut weight = top + self.idle_weight;
        if weight > wanted || top < self.idle_weight * HOT_FACTOR {
            return None;
        }
        let (mut first, mut last) = (at, at);
        // Keys between busy ones are idle; ends of the window are busy keys only.
        let (mut low, mut high) = (at, at);
        let mut pending = 0.0;
        while high + 1 < loads.len() && high - last < WINDOW_GAP {
            high += 1;
            pending += loads[high] + self.idle_weight;
            if weight + pending > limit {
                break;
            }
            if loads[high] >= top * HOT_SHARE {
                last = high;
                weight += std::mem::take(&mut pending);
            }
        }
        pending = 0.0;
        while low > 0 && first - low < WINDOW_GAP {
            low -= 1;
            pending += loads[low] + self.idle_weight;
            if weight + pending > limit {
                break;
            }
            if loads[low] >= top * HOT_SHARE {
                first = low;
                weight += std::mem::take(&mut pending);
            }
        }
        let key = |offset: usize| Some(range.first + u16::try_from(offset).ok()?);
        let piece = KeyRange {
            first: key(first)?,
            last: key(last)?,
        };
        Some((piece, weight))
    }

    fn front(&self, range: KeyRange, wanted: f32) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let (count, weight) = self.prefix(loads.iter(), wanted);
        let last = range.first + u16::try_from(count.checked_sub(1)?).ok()?;
        let first = range.first;
        Some((KeyRange { first, last }, weight))
    }

    fn back(&self, range: KeyRange, wanted: f32) -> Option<(KeyRange, f32)> {
        let loads = self.load.keys(range);
        let (count, weight) = self.prefix(loads.iter().rev(), wanted);
        let first = range.last - u16::try_from(count.checked_sub(1)?).ok()?;
        let last = range.last;
        Some((KeyRange { first, last }, weight))
    }

    fn prefix<'k>(&self, loads: impl Iterator<Item = &'k f32>, wanted: f32) -> (usize, f32) {
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

    fn take(&mut self, from: usize, index: usize, piece: KeyRange) {
        self.loads[from] -= self.weight(piece);
        let range = self.owned[from].swap_remove(index);
        if range.first < piece.first {
            self.owned[from].push(KeyRange {
                first: range.first,
                last: piece.first - 1,
            });
        }
        if piece.last < range.last {
            self.owned[from].push(KeyRange {
                first: piece.last + 1,
                last: range.last,
            });
        }
    }
}
