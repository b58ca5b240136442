//! Exponentially decaying request counts per key.

use {
    super::{KeyRange, LAST_KEY, zone_load::ZoneLoad},
    crate::{ids::ZoneName, time::BootTime},
    std::time::Duration,
};

/// Half-life of a count: long enough for a steady estimate from a few hundred requests,
/// short enough to detect a new hot key within two seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Half-life of the recent counts, which show a load within half a second after it has appeared.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Shortest interval between two decays of the counts: half of the shorter half-life.
const DECAY_INTERVAL: Duration = Duration::from_millis(125);

/// Shortest weighted time of observation from which the recent counts are an estimate.
const MIN_RECENT_SECONDS: f32 = 0.15;

/// Count below which a key counts as unused.
const LOWEST_COUNT: f32 = 0.01;

/// Recent requests of one service, counted per key.
#[derive(Clone, Debug)]
pub struct RangeLoad {
    counts: Vec<f32>,
    /// The same requests with the shorter half-life.
    recent: Vec<f32>,
    /// Time of observation, weighted like the recent counts, in seconds.
    recent_seconds: f32,
    decayed_at: BootTime,
    zones: ZoneLoad,
}

impl RangeLoad {
    /// Creates counts of zero for all keys.
    pub fn new(now: BootTime) -> Self {
        Self {
            counts: vec![0.0; usize::from(LAST_KEY) + 1],
            recent: vec![0.0; usize::from(LAST_KEY) + 1],
            recent_seconds: 0.0,
            decayed_at: now,
            zones: ZoneLoad::default(),
        }
    }

    /// Value to which a count converges at a constant rate of `per_second` requests.
    pub fn steady_count(per_second: f32) -> f32 {
        per_second * HALF_LIFE.as_secs_f32() / std::f32::consts::LN_2
    }

    /// Adds `requests` to the count of `key`.
    pub fn add(&mut self, key: u16, requests: u32) {
        // Counts stay far below 2^24, up to which f32 represents integers exactly.
        self.counts[usize::from(key)] += requests as f32;
        self.recent[usize::from(key)] += requests as f32;
    }

    /// Like [`add`](Self::add), for requests that hosts of `zone` have received.
    pub fn add_from(&mut self, zone: &ZoneName, key: u16, requests: u32) {
        self.add(key, requests);
        self.zones.add(zone, key, requests as f32);
    }

    /// Decays all counts by the time since the last decay; does nothing within
    /// `DECAY_INTERVAL` of it.
    pub fn decay(&mut self, now: BootTime) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let seconds = elapsed.as_secs_f32();
        let factor = 0.5_f32.powf(seconds / HALF_LIFE.as_secs_f32());
        let recent_factor = 0.5_f32.powf(seconds / RECENT_HALF_LIFE.as_secs_f32());
        scale(&mut self.counts, factor);
        scale(&mut self.recent, recent_factor);
        self.recent_seconds = (self.recent_seconds + seconds) * recent_factor;
        self.zones.scale(factor);
    }

    /// Sum of the counts of the keys in `range`.
    pub fn of(&self, range: KeyRange) -> f32 {
        self.keys(range).iter().sum()
    }

    /// Counts of the keys in `range`, in key order.
    pub fn keys(&self, range: KeyRange) -> &[f32] {
        &self.counts[usize::from(range.first)..=usize::from(range.last)]
    }

    /// Counts of all keys with the shorter half-life, and the factor that turns one into the count to
    /// which [`keys`](Self::keys) would converge; `None` if the time of observation is too short.
    pub fn recent_keys(&self) -> Option<(&[f32], f32)> {
        let factor = Self::steady_count(1.0) / self.recent_seconds;
        (self.recent_seconds >= MIN_RECENT_SECONDS).then_some((&self.recent, factor))
    }

    /// Zone whose hosts have received more than half of the requests for a range.
    pub fn main_zone(&self, range: KeyRange) -> Option<&ZoneName> {
        self.zones.main_zone(range)
    }
}

/// Multiplies all counts by `factor`; counts that become negligible are zero.
pub(super) fn scale(counts: &mut [f32], factor: f32) {
    for count in counts {
        let scaled = *count * factor;
        *count = if scaled < LOWEST_COUNT { 0.0 } else { scaled };
    }
}
