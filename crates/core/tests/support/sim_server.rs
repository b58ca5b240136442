//! Server of the simulation, with the leases that it holds and the work on released keys.

use {
    camphorcove_core::{
        ownership::{KeyRange, ServerInstance},
        time::BootTime,
    },
    std::net::SocketAddr,
};

/// Lease of a server on a range.
#[derive(Clone, Debug)]
pub struct HeldLease {
    pub range: KeyRange,
    pub token: u64,
    pub end: BootTime,
}

#[derive(Debug)]
pub struct SimServer {
    pub instance: ServerInstance,
    pub up: bool,
    pub started_at: BootTime,
    pub crashed_at: Option<BootTime>,
    /// Set when the server has removed its entry: until then it serves on.
    pub serves_until: Option<BootTime>,
    /// Until then, no leader reaches the server.
    pub cut_until: BootTime,
    /// Until then, the newest leader does not reach the server; earlier ones do.
    pub newest_cut_until: BootTime,
    pub draining: bool,
    pub leases: Vec<HeldLease>,
    /// Work that runs on after the release of its keys, with the token and the end of their lease.
    pub work: Vec<HeldLease>,
    /// Ranges and tokens of all grants that the server accepted since its start.
    pub accepted_grants: Vec<(KeyRange, u64)>,
}

/// Address that no other server has had.
pub fn new_address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

impl SimServer {
    /// Creates a running server with an id and address of its own.
    pub fn new(number: u16) -> Self {
        Self {
            instance: ServerInstance {
                id: format!("s-{number}").parse().expect("valid id"),
                incarnation: 1,
                address: new_address(number),
            },
            up: true,
            started_at: BootTime::default(),
            crashed_at: None,
            serves_until: None,
            cut_until: BootTime::default(),
            newest_cut_until: BootTime::default(),
            draining: false,
            leases: Vec::new(),
            work: Vec::new(),
            accepted_grants: Vec::new(),
        }
    }

    pub fn crash(&mut self, now: BootTime) {
        if !self.up {
            return;
        }
        self.up = false;
        self.crashed_at = Some(now);
        self.leases.clear();
        self.work.clear();
    }

    /// Restarts under the same id without any state.
    pub fn restart(&mut self, now: BootTime) {
        self.up = true;
        self.started_at = now;
        self.crashed_at = None;
        self.serves_until = None;
        self.instance.incarnation += 1;
        self.leases.clear();
        self.work.clear();
        self.accepted_grants.clear();
        self.draining = false;
    }

    /// Lets work on the held keys of a range run on until `end`, but not beyond their lease.
    pub fn begin_work(&mut self, range: KeyRange, now: BootTime, end: BootTime) {
        for held_lease in &self.leases {
            if held_lease.end <= now || !held_lease.range.overlaps(range) {
                continue;
            }
            self.work.push(HeldLease {
                range: KeyRange {
                    first: held_lease.range.first.max(range.first),
                    last: held_lease.range.last.min(range.last),
                },
                token: held_lease.token,
                end: held_lease.end.min(end),
            });
        }
    }

    /// Time at which no work runs on keys of the range any more.
    pub fn work_end(&self, range: KeyRange, now: BootTime) -> BootTime {
        let overlapping = self.work.iter().filter(|work| work.range.overlaps(range));
        overlapping.map(|work| work.end).fold(now, BootTime::max)
    }

    /// Releases the leases on a range; leases that overlap it partly keep the rest.
    pub fn release(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for held_lease in self.leases.drain(..) {
            if !held_lease.range.overlaps(range) {
                kept.push(held_lease);
                continue;
            }
            if held_lease.range.first < range.first {
                let mut lower = held_lease.clone();
                lower.range.last = range.first - 1;
                kept.push(lower);
            }
            if held_lease.range.last > range.last {
                let mut upper = held_lease.clone();
                upper.range.first = range.last + 1;
                kept.push(upper);
            }
        }
        self.leases = kept;
    }
}
