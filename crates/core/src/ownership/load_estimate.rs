//! Load of each key, as the choice of moves assumes it.
//!
//! The steady counts show a new load only in part at first: after half a second three tenths of it.
//! A load that has ended still counts for seconds. Where the recent counts of neighbouring keys differ
//! from the steady ones by more than chance explains, they replace them.

use super::{KeyRange, RangeLoad};

/// Weight added for the whole key space, as a share of the total load and divided evenly
/// among all keys, so that keys without requests are spread over the servers as well.
const IDLE_WEIGHT_SHARE: f32 = 0.1;

/// Recent count from which a key belongs to a run: a request within two half-lives.
const MIN_RUN_COUNT: f32 = 0.25;

/// The same as a multiple of the mean of all keys, for loads at which most keys have requests.
const RUN_COUNT_FACTOR: f32 = 3.0;

/// Steady load from which a key belongs to a run that may have ended: more than one request.
const MIN_FALLING_LOAD: f32 = 1.2;

/// Most quiet keys between two keys of a run. At 1.6 requests/s for each key, a longer gap follows
/// less than one key in 1,000.
const MAX_RUN_GAP: usize = 8;

/// Standard deviations by which the recent counts of a run must differ from the steady ones.
const SIGNIFICANCE: f32 = 3.0;

/// Recent count up to which a key counts fully for the mean of its run, so that one hot key does not
/// pass for several.
const RUN_MEAN_CAP: f32 = 3.0;

/// A key of a run with a recent count above this multiple of the run's mean, plus
/// `OUTLIER_COUNT`, is judged by itself.
const OUTLIER_FACTOR: f32 = 4.0;
const OUTLIER_COUNT: f32 = 4.0;

/// Weight of the run's mean in the estimate of its keys: within half a second each key has too few
/// requests of its own.
const RUN_MEAN_WEIGHT: f32 = 0.85;

/// Largest factor by which the recent counts of a load that has just appeared are raised: that of a load
/// which appeared a quarter of a second ago. An earlier moment cannot be told from chance.
const MAX_ONSET_FACTOR: f32 = 2.0;

/// Estimated weights of all keys: load plus a small weight for each key.
#[derive(Debug)]
pub(super) struct LoadEstimate {
    /// Sum of the weights of all keys below each key; one more entry for the total.
    sums: Vec<f64>,
}

impl LoadEstimate {
    pub(super) fn new(load: &RangeLoad) -> Self {
        let mut loads = load.keys(KeyRange::ALL).to_vec();
        if let Some((recent, factor)) = load.recent_keys() {
            for_each_run(recent, least_count(recent), |first, last| {
                raise_run(&mut loads[first..=last], &recent[first..=last], factor);
            });
            let steady = load.keys(KeyRange::ALL);
            for_each_run(steady, MIN_FALLING_LOAD, |first, last| {
                lower_run(&mut loads[first..=last], &recent[first..=last], factor);
            });
        }
        let total: f64 = loads.iter().map(|load| f64::from(*load)).sum();
        let keys = f64::from(KeyRange::ALL.keys());
        let idle_weight = total.max(1.0) * f64::from(IDLE_WEIGHT_SHARE) / keys;
        let mut sums = Vec::with_capacity(loads.len() + 1);
        let mut sum = 0.0;
        sums.push(sum);
        for load in loads {
            sum += f64::from(load) + idle_weight;
            sums.push(sum);
        }
        Self { sums }
    }

    /// Weight of a range.
    pub(super) fn of(&self, range: KeyRange) -> f32 {
        (self.sums[usize::from(range.last) + 1] - self.sums[usize::from(range.first)]) as f32
    }

    /// Weight of a key.
    pub(super) fn of_key(&self, key: u16) -> f32 {
        self.of(KeyRange {
            first: key,
            last: key,
        })
    }

    /// Longest prefix of a range that weighs at most `limit`.
    pub(super) fn prefix_within(&self, range: KeyRange, limit: f32) -> Option<KeyRange> {
        let first = usize::from(range.first);
        let bound = self.sums[first] + f64::from(limit);
        let sums = &self.sums[first + 1..=usize::from(range.last) + 1];
        let count = sums.partition_point(|sum| *sum <= bound);
        let last = range.first + u16::try_from(count.checked_sub(1)?).ok()?;
        Some(KeyRange { last, ..range })
    }

    /// Longest suffix of a range that weighs at most `limit`.
    pub(super) fn suffix_within(&self, range: KeyRange, limit: f32) -> Option<KeyRange> {
        let (first, last) = (usize::from(range.first), usize::from(range.last));
        let bound = self.sums[last + 1] - f64::from(limit);
        let skipped = self.sums[first..=last].partition_point(|sum| *sum < bound);
        let first = range.first.checked_add(u16::try_from(skipped).ok()?)?;
        (first <= range.last).then_some(KeyRange { first, ..range })
    }
}

/// Least recent count of the keys that belong to runs.
fn least_count(recent: &[f32]) -> f32 {
    let mean = recent.iter().sum::<f32>() / recent.len() as f32;
    MIN_RUN_COUNT.max(mean * RUN_COUNT_FACTOR)
}

/// Calls `visit` with the first and the last key of each run of keys with a count of at least `least`.
fn for_each_run(counts: &[f32], least: f32, mut visit: impl FnMut(usize, usize)) {
    let mut run: Option<(usize, usize)> = None;
    for (key, count) in counts.iter().enumerate() {
        if *count < least {
            continue;
        }
        run = match run {
            Some((first, last)) if key - last <= MAX_RUN_GAP + 1 => Some((first, key)),
            Some((first, last)) => {
                visit(first, last);
                Some((key, key))
            }
            None => Some((key, key)),
        };
    }
    if let Some((first, last)) = run {
        visit(first, last);
    }
}

/// Lowers the loads of a run that has ceased to be busy.
fn lower_run(loads: &mut [f32], recent: &[f32], factor: f32) {
    let steady: f32 = loads.iter().sum();
    let now: f32 = recent.iter().sum::<f32>() * factor;
    // Deviation of the recent count that the steady load leads to.
    let deviation = (steady / factor / 2.0).sqrt() * factor;
    if steady - now <= SIGNIFICANCE * deviation {
        return;
    }
    for load in loads {
        *load *= now / steady;
    }
}

/// Raises the loads of a run that has become busier.
fn raise_run(loads: &mut [f32], recent: &[f32], factor: f32) {
    let capped: f32 = recent.iter().map(|count| count.min(RUN_MEAN_CAP)).sum();
    let outlier = capped / recent.len() as f32 * OUTLIER_FACTOR + OUTLIER_COUNT;
    let (mut keys, mut count, mut steady) = (0.0, 0.0, 0.0);
    for (load, recent) in loads.iter_mut().zip(recent) {
        if *recent <= outlier {
            keys += 1.0;
            count += recent;
            steady += *load;
        } else if let Some(risen) = risen_load(*recent, *load, factor) {
            *load = load.max(risen);
        }
    }
    let Some(risen) = risen_load(count, steady, factor) else {
        return;
    };
    for (load, recent) in loads.iter_mut().zip(recent) {
        if *recent <= outlier {
            let own = risen * recent / count;
            let estimate = risen / keys * RUN_MEAN_WEIGHT + own * (1.0 - RUN_MEAN_WEIGHT);
            *load = load.max(estimate);
        }
    }
}

/// Load that a recent count shows, if it exceeds the steady load by more than chance explains.
fn risen_load(count: f32, steady: f32, factor: f32) -> Option<f32> {
    let recent = count * factor;
    // The variance of a decaying count of independent requests is half of its value.
    let deviation = (count / 2.0).sqrt() * factor;
    if recent - steady <= SIGNIFICANCE * deviation {
        return None;
    }
    Some(recent * onset_factor(steady, recent))
}

/// Ratio of a load that appeared at one moment to what the recent count shows of it.
///
/// With `u` as the decay of the steady count since that moment, the steady count shows the share
/// `1 - u` of the load, and the recent one, whose half-life is a quarter, `1 - u^4`.
fn onset_factor(steady: f32, recent: f32) -> f32 {
    let ratio = recent / steady.max(f32::MIN_POSITIVE);
    let largest = (1.0 - 1.0 / MAX_ONSET_FACTOR).powf(0.25);
    let (mut low, mut high) = (0.0, largest);
    for _ in 0..12 {
        let u: f32 = (low + high) / 2.0;
        // (1 - u^4) / (1 - u)
        match 1.0 + u + u * u + u * u * u < ratio {
            true => low = u,
            false => high = u,
        }
    }
    1.0 / (1.0 - low.powi(4))
}
