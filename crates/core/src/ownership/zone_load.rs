//! Request counts per group of keys and availability zone.

use {
    super::{KeyRange, LAST_KEY, range_load::scale},
    crate::ids::ZoneName,
    std::collections::BTreeMap,
};

/// Keys that share a count: 16 KiB for each zone. Counts for each key would need 256 KiB.
const GROUP_KEYS: u16 = 16;

/// Largest number of zones with counts; bounds the memory if hosts name odd zones.
const MAX_ZONES: usize = 8;

/// Recent requests of one service by the zone of the host that received them.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLoad {
    counts: BTreeMap<ZoneName, Vec<f32>>,
}

impl ZoneLoad {
    /// Adds requests for a key that hosts of `zone` have received.
    pub(super) fn add(&mut self, zone: &ZoneName, key: u16, requests: f32) {
        if !self.counts.contains_key(zone) {
            if self.counts.len() >= MAX_ZONES {
                return;
            }
            let groups = usize::from(LAST_KEY / GROUP_KEYS) + 1;
            self.counts.insert(zone.clone(), vec![0.0; groups]);
        }
        if let Some(counts) = self.counts.get_mut(zone) {
            counts[usize::from(key / GROUP_KEYS)] += requests;
        }
    }

    /// Multiplies all counts by `factor`.
    pub(super) fn scale(&mut self, factor: f32) {
        for counts in self.counts.values_mut() {
            scale(counts, factor);
        }
    }

    /// Zone with more than half of the requests for the groups that the range touches.
    pub(super) fn main_zone(&self, range: KeyRange) -> Option<&ZoneName> {
        if self.counts.len() < 2 {
            return None;
        }
        let groups = usize::from(range.first / GROUP_KEYS)..=usize::from(range.last / GROUP_KEYS);
        let mut total = 0.0;
        let mut most: Option<(&ZoneName, f32)> = None;
        for (zone, counts) in &self.counts {
            let sum: f32 = counts[groups.clone()].iter().sum();
            total += sum;
            if most.is_none_or(|(_, known)| sum > known) {
                most = Some((zone, sum));
            }
        }
        most.filter(|(_, sum)| *sum * 2.0 > total)
            .map(|(zone, _)| zone)
    }
}
