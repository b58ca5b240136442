//! Counters of platform calls.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

/// Kind of a platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Read of an object.
    Get,
    /// Conditional write.
    Put,
    /// List of keys.
    List,
    /// Watch.
    Watch,
    /// Read of the host list.
    Hosts,
}

impl CallKind {
    /// All kinds, in the order of their counters.
    pub const ALL: [Self; 5] = [Self::Get, Self::Put, Self::List, Self::Watch, Self::Hosts];

    /// Name used as a metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Hosts => "hosts",
        }
    }
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// Calls made so far, by kind. A conflict counts as a success of the platform.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: [AtomicU64; CallKind::ALL.len()],
    failures: [AtomicU64; CallKind::ALL.len()],
}

impl CallCounts {
    /// Counts a call that is about to start.
    pub fn add_call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that failed with anything but a conflict.
    pub fn add_failure(&self, kind: CallKind) {
        self.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls started.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Calls that failed.
    pub fn failures(&self, kind: CallKind) -> u64 {
        self.failures[kind as usize].load(Ordering::Relaxed)
    }
}
