//! Ranges of numeric keys.

use {
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Highest key.
pub const LAST_KEY: u16 = u16::MAX;

/// Consecutive keys, both ends included.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct KeyRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: LAST_KEY,
    };

    /// Whether the range has the key.
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the ranges share a key.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of keys.
    pub fn keys(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Divides the range into `parts` ranges of nearly equal size.
    pub fn divide(self, parts: usize) -> Vec<Self> {
        let keys = u64::from(self.keys());
        let parts = u64::try_from(parts).unwrap_or(1).clamp(1, keys);
        let edge = |part: u64| u64::from(self.first) + keys * part / parts;
        (0..parts)
            .map(|part| Self {
                first: u16::try_from(edge(part)).unwrap_or(LAST_KEY),
                last: u16::try_from(edge(part + 1) - 1).unwrap_or(LAST_KEY),
            })
            .collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
