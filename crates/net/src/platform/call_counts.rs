//! Counters of platform calls and their failures, by kind of call.

use std::{
    fmt,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Operation of the platform's object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Read of an object.
    Get,
    /// Conditional write of an object.
    Put,
    /// Listing of keys with a prefix.
    List,
    /// Wait for changes of keys with a prefix.
    Watch,
    /// Read of the host list.
    Hosts,
}

impl CallKind {
    /// All kinds, in declaration order; a kind's discriminant indexes its counters.
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

/// Calls started and failed since the program started, by kind.
///
/// A version conflict is not a failure: the platform handled the call correctly.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: [AtomicU64; CallKind::ALL.len()],
    failures: [AtomicU64; CallKind::ALL.len()],
    /// Whether the last answer had parts that cannot be read.
    odd: [AtomicBool; CallKind::ALL.len()],
}

impl CallCounts {
    /// Counts a call that is about to start.
    pub fn add_call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that failed for any reason other than a version conflict.
    pub fn add_failure(&self, kind: CallKind) {
        self.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Records whether an answer had parts that cannot be read; returns whether that is news.
    pub fn record_odd_parts(&self, kind: CallKind, has_odd_parts: bool) -> bool {
        let had_odd_parts = self.odd[kind as usize].swap(has_odd_parts, Ordering::Relaxed);
        has_odd_parts && !had_odd_parts
    }

    /// Number of calls started, whether or not they have finished.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Number of calls that failed, version conflicts excluded.
    pub fn failures(&self, kind: CallKind) -> u64 {
        self.failures[kind as usize].load(Ordering::Relaxed)
    }
}
