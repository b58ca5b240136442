//! Requests that wait at the host for room at a server.
//!
//! A request waits only if room is expected so soon that it is still answered within its target
//! latency. Otherwise it is refused at once, since one that is refused late has less time to return.

use {
    super::{AdmissionRule, GaugeReading, ReturnTarget},
    crate::routing::RouteRank,
    std::time::Duration,
};

/// Longest wait as a share of the target latency of the route.
const WAIT_SHARE: f64 = 0.15;

/// Most requests that wait at a host. The smallest hosts serve some ten requests a second, so more would
/// mean that most of them wait in vain.
const MAX_WAITING: usize = 64;

/// Most bytes of the bodies of waiting requests: small against the 28 MB that all bodies may take on
/// a host with 112 MB.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// Identifies a waiting request at its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(u64);

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: WaitTicket,
    target: ReturnTarget,
    rank: RouteRank,
    bytes: usize,
    is_woken: bool,
}

/// Requests that wait at one host, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<WaitingRequest>,
    next_ticket: u64,
}

impl AdmissionRule {
    /// Longest time for which an overloaded request may wait for room at a server with this reading;
    /// zero if room comes too late.
    pub fn longest_wait(self, reading: GaugeReading) -> Duration {
        // Hosts send only a share of the requests for a hot key; the rest must not wait for room.
        if self.is_hot_key || reading.avoided {
            return Duration::ZERO;
        }
        let target = self.target_latency.as_secs_f64();
        let limit = self.latency_limit().max(reading.service_time);
        let longest = (target * WAIT_SHARE).min(target - limit);
        let until_room = reading.expected - limit;
        match longest > 0.0 && until_room <= longest {
            true => Duration::from_secs_f64(longest),
            false => Duration::ZERO,
        }
    }
}

impl WaitQueue {
    /// Adds a request with a body of `bytes`; `None` if the queue is full.
    pub fn enter(
        &mut self,
        target: ReturnTarget,
        rank: RouteRank,
        bytes: usize,
    ) -> Option<WaitTicket> {
        let held: usize = self.waiting.iter().map(|waiting| waiting.bytes).sum();
        if self.waiting.len() >= MAX_WAITING || held.saturating_add(bytes) > MAX_WAITING_BYTES {
            return None;
        }
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(WaitingRequest {
            ticket,
            target,
            rank,
            bytes,
            is_woken: false,
        });
        Some(ticket)
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// The request that is to try next, as a request of its target has ended: the first one of the
    /// most urgent rank.
    pub fn wake_next(&mut self, target: &ReturnTarget) -> Option<WaitTicket> {
        let sleeping = self
            .waiting
            .iter_mut()
            .filter(|waiting| !waiting.is_woken && waiting.target == *target);
        let next = sleeping.min_by_key(|waiting| (waiting.rank, waiting.ticket))?;
        next.is_woken = true;
        Some(next.ticket)
    }

    /// All requests that have not been woken yet, by rank and arrival.
    pub fn wake_all(&mut self) -> Vec<WaitTicket> {
        let mut woken = Vec::new();
        for waiting in &mut self.waiting {
            if !waiting.is_woken {
                waiting.is_woken = true;
                woken.push((waiting.rank, waiting.ticket));
            }
        }
        woken.sort();
        woken.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Lets a request wait on that was woken and found no room.
    pub fn wait_on(&mut self, ticket: WaitTicket) {
        let waiting = self.waiting.iter_mut();
        for waiting in waiting.filter(|waiting| waiting.ticket == ticket) {
            waiting.is_woken = false;
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
