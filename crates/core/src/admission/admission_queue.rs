//! Slots and queue of one server.

use {
    super::QueueOrder,
    crate::{conf::RequestClass, outcome::ResultCode, time::BootTime},
    std::{collections::VecDeque, time::Duration},
};

/// While both classes wait, one start in this many is a batch request.
const BATCH_TURN: u32 = 5;

/// A new sample's weight in the service-time average is one in this many. The average
/// starts at zero: taken whole, the first sample of a cold server would refuse requests
/// that it can serve.
const AVERAGE_WEIGHT: u64 = 8;

/// Limits of an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
}

/// A request that asks for a slot or waits for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Number that is unique within this queue.
    pub ticket: u64,
    /// Class.
    pub class: RequestClass,
    /// Deadline of the request.
    pub deadline: BootTime,
}

/// Whether an arriving request runs, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It has a slot.
    Run,
    /// It waits. A waiter of the other class may have lost its place to it.
    Wait {
        /// Ticket to refuse with [`ResultCode::QueueFull`].
        evicted: Option<u64>,
    },
    /// It is refused.
    Refuse(ResultCode),
}

/// Next step for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// It has a slot now.
    Run(u64),
    /// Its deadline cannot be met any more.
    Expire(u64),
}

/// Slots and queue of one server.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: AdmissionLimits,
    order: QueueOrder,
    running: u32,
    interactive: VecDeque<QueuedRequest>,
    batch: VecDeque<QueuedRequest>,
    starts_since_batch: u32,
    service_micros: u64,
}

impl AdmissionQueue {
    /// A queue with no running or waiting request.
    pub fn new(limits: AdmissionLimits, order: QueueOrder) -> Self {
        Self {
            limits,
            order,
            running: 0,
            interactive: VecDeque::new(),
            batch: VecDeque::new(),
            starts_since_batch: 0,
            service_micros: 0,
        }
    }

    /// Replaces the limits; requests already admitted stay.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Average time a slot is held.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_micros)
    }

    /// Admits, queues or refuses an arriving request.
    pub fn offer(&mut self, waiter: QueuedRequest, now: BootTime) -> AdmissionDecision {
        if now >= waiter.deadline {
            return AdmissionDecision::Refuse(ResultCode::DeadlineTooShort);
        }
        if self.running < self.limits.slots && self.waiting() == 0 {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        if now + self.expected_time(waiter.class) > waiter.deadline {
            return AdmissionDecision::Refuse(ResultCode::DeadlineTooShort);
        }
        let full = self.waiting() >= to_usize(self.limits.queue);
        let evicted = if full {
            self.evict_for(waiter.class)
        } else {
            None
        };
        if full && evicted.is_none() {
            return AdmissionDecision::Refuse(ResultCode::QueueFull);
        }
        self.queue(waiter.class).push_back(waiter);
        AdmissionDecision::Wait { evicted }
    }

    /// Next waiter to run or to refuse; called until it returns `None`.
    pub fn next_turn(&mut self, now: BootTime) -> Option<QueueStep> {
        if let Some(ticket) = self.take_expired(now) {
            return Some(QueueStep::Expire(ticket));
        }
        if self.running >= self.limits.slots {
            return None;
        }
        let class = self.next_class()?;
        let order = self.order;
        let queue = self.queue(class);
        let waiter = match order {
            QueueOrder::OldestFirst => queue.pop_front(),
            QueueOrder::NewestFirst => queue.pop_back(),
        }?;
        self.note_start(class);
        self.running += 1;
        Some(QueueStep::Run(waiter.ticket))
    }

    /// Frees a slot; `held` is the time it was held, if the request completed.
    pub fn finish(&mut self, held: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(held) = held else {
            return;
        };
        let sample = u64::try_from(held.as_micros()).unwrap_or(u64::MAX);
        let old = self.service_micros;
        self.service_micros = old - old / AVERAGE_WEIGHT + sample / AVERAGE_WEIGHT;
    }

    /// Removes a waiter whose caller left; `false` if it does not wait.
    pub fn leave(&mut self, ticket: u64) -> bool {
        for queue in [&mut self.interactive, &mut self.batch] {
            if let Some(index) = queue.iter().position(|waiter| waiter.ticket == ticket) {
                queue.remove(index);
                return true;
            }
        }
        false
    }

    /// Removes all waiters, for a server that is no longer this host's.
    pub fn drain(&mut self) -> Vec<u64> {
        let waiters = self.interactive.drain(..).chain(self.batch.drain(..));
        waiters.map(|waiter| waiter.ticket).collect()
    }

    /// Earliest deadline among the waiters.
    pub fn next_deadline(&self) -> Option<BootTime> {
        let waiters = self.interactive.iter().chain(&self.batch);
        waiters.map(|waiter| waiter.deadline).min()
    }

    /// Expected time until a request arriving now would complete.
    ///
    /// Zero until the first request completed. It is used only when all slots
    /// are taken, so a wrong estimate is corrected by the requests that run.
    fn expected_time(&self, class: RequestClass) -> Duration {
        let ahead = match (class, self.order) {
            (_, QueueOrder::NewestFirst) => 0,
            (RequestClass::Interactive, _) => self.interactive.len(),
            (RequestClass::Batch, _) => self.waiting(),
        };
        let rounds = u64::try_from(ahead).unwrap_or(u64::MAX) + 1;
        let wait = self.service_micros * rounds / u64::from(self.limits.slots.max(1));
        Duration::from_micros(wait + self.service_micros)
    }

    /// Frees a place if the arriving class is below its share of the queue.
    fn evict_for(&mut self, class: RequestClass) -> Option<u64> {
        let batch_share = to_usize(self.limits.queue / BATCH_TURN).max(1);
        let interactive_share = to_usize(self.limits.queue).saturating_sub(batch_share);
        let other = match class {
            RequestClass::Interactive if self.interactive.len() < interactive_share => {
                &mut self.batch
            }
            RequestClass::Batch if self.batch.len() < batch_share => &mut self.interactive,
            _ => return None,
        };
        other.pop_back().map(|waiter| waiter.ticket)
    }

    fn take_expired(&mut self, now: BootTime) -> Option<u64> {
        let end = now + self.service_time();
        for queue in [&mut self.interactive, &mut self.batch] {
            let late = |waiter: &QueuedRequest| now >= waiter.deadline || end > waiter.deadline;
            if let Some(index) = queue.iter().position(late) {
                return queue.remove(index).map(|waiter| waiter.ticket);
            }
        }
        None
    }

    fn next_class(&self) -> Option<RequestClass> {
        let batch_due = self.starts_since_batch + 1 >= BATCH_TURN;
        match (self.interactive.is_empty(), self.batch.is_empty()) {
            (true, true) => None,
            (false, true) => Some(RequestClass::Interactive),
            (true, false) => Some(RequestClass::Batch),
            (false, false) if batch_due => Some(RequestClass::Batch),
            (false, false) => Some(RequestClass::Interactive),
        }
    }

    fn note_start(&mut self, class: RequestClass) {
        match class {
            RequestClass::Batch => self.starts_since_batch = 0,
            RequestClass::Interactive if !self.batch.is_empty() => self.starts_since_batch += 1,
            RequestClass::Interactive => {}
        }
    }

    fn queue(&mut self, class: RequestClass) -> &mut VecDeque<QueuedRequest> {
        match class {
            RequestClass::Interactive => &mut self.interactive,
            RequestClass::Batch => &mut self.batch,
        }
    }
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
