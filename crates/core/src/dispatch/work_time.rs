//! Time that work takes on a server's machine, compared to the usual time.

use std::fmt;

/// Time that work takes at present, in hundredths of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkTime {
    percent: u32,
}

impl WorkTime {
    /// The usual time.
    pub const USUAL: Self = Self { percent: 100 };

    /// A time of `percent` hundredths of the usual one; 0 counts as 1.
    pub fn from_percent(percent: u32) -> Self {
        Self {
            percent: percent.max(1),
        }
    }

    /// The time as a multiple of the usual one.
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

impl Default for WorkTime {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for WorkTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.percent)
    }
}
