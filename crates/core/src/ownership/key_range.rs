//! Inclusive ranges of the 16-bit key space.

use {
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Highest key of the key space.
pub const LAST_KEY: u16 = u16::MAX;

/// A contiguous range of keys; both bounds are inclusive.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct KeyRange {
    /// Lowest key in the range.
    pub first: u16,
    /// Highest key in the range.
    pub last: u16,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: Self = Self {
        first: 0,
        last: LAST_KEY,
    };

    /// Returns whether `key` lies in the range.
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether the two ranges have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of keys in the range; at least 1.
    pub fn keys(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Divides the range into `parts` ranges of nearly equal size, at most one per key.
    pub fn divide(self, parts: usize) -> Vec<Self> {
        let keys = u64::from(self.keys());
        let parts = u64::try_from(parts).unwrap_or(1).clamp(1, keys);
        let boundary = |part: u64| u64::from(self.first) + keys * part / parts;
        (0..parts)
            .map(|part| Self {
                first: u16::try_from(boundary(part)).unwrap_or(LAST_KEY),
                last: u16::try_from(boundary(part + 1) - 1).unwrap_or(LAST_KEY),
            })
            .collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
