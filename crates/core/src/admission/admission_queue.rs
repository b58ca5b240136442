//! Admission queue of one server: slots for running requests and a bounded queue of waiters.

use {
    super::QueueOrder,
    crate::{conf::RequestClass, outcome::ResultCode, time::BootTime},
    std::{collections::VecDeque, time::Duration},
};

/// While both classes wait, batch requests get one in this many starts and the same share of the
/// queue.
const BATCH_SHARE_DIVISOR: u32 = 5;

/// Divisor of a new sample in the moving average of service times.
///
/// It applies to the first sample too, and the average starts at zero: counted in full, one slow
/// first request on a cold server would make the queue refuse requests that the server can
/// complete in time.
const AVERAGE_DIVISOR: u64 = 8;

/// Limits of an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
}

/// A request that asks for a slot or is waiting for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request within this queue.
    pub ticket: u64,
    /// Priority class of the request.
    pub class: RequestClass,
    /// Time at which the request must be complete.
    pub deadline: BootTime,
}

/// Result of [`AdmissionQueue::admit`]: the request runs, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot and runs now.
    Run,
    /// The request waits, possibly in place of a waiter of the other class.
    Wait {
        /// Ticket of the waiter removed from the full queue. Refuse it with
        /// [`ResultCode::QueueFull`].
        evicted: Option<u64>,
    },
    /// The request is refused with this result code.
    Refuse(ResultCode),
}

/// What [`AdmissionQueue::next_step`] decided for the waiter with the given ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// The request holds a slot and runs now.
    Run(u64),
    /// The request cannot complete by its deadline any more; refuse it.
    Expire(u64),
}

/// Admits requests to one server: a limited number run, a limited number wait, others are refused.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: AdmissionLimits,
    order: QueueOrder,
    running: u32,
    interactive: VecDeque<QueuedRequest>,
    batch: VecDeque<QueuedRequest>,
    /// Interactive requests started since the last batch request, while batch requests wait.
    starts_since_batch: u32,
    average_service_micros: u64,
}

impl AdmissionQueue {
    /// Creates a queue without running or waiting requests.
    pub fn new(limits: AdmissionLimits, order: QueueOrder) -> Self {
        Self {
            limits,
            order,
            running: 0,
            interactive: VecDeque::new(),
            batch: VecDeque::new(),
            starts_since_batch: 0,
            average_service_micros: 0,
        }
    }

    /// Replaces the limits. Requests that already run or wait stay, even beyond the new limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of requests that wait for a slot, in both classes.
    pub fn waiting(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Moving average of the time that a completed request held its slot.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.average_service_micros)
    }

    /// Admits, queues or refuses an arriving request.
    ///
    /// The estimated completion time is compared with the deadline only if the request would have
    /// to wait. With a free slot and no waiters it always runs, so that a wrong estimate is
    /// corrected by new samples.
    pub fn admit(&mut self, waiter: QueuedRequest, now: BootTime) -> AdmissionDecision {
        if now >= waiter.deadline {
            return AdmissionDecision::Refuse(ResultCode::DeadlineTooShort);
        }
        if self.running < self.limits.slots && self.waiting() == 0 {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        if now + self.expected_completion_time(waiter.class) > waiter.deadline {
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

    /// Removes the next waiter to run or to refuse. Call it until it returns `None`.
    pub fn next_step(&mut self, now: BootTime) -> Option<QueueStep> {
        if let Some(ticket) = self.remove_expired(now) {
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
        self.count_start(class);
        self.running += 1;
        Some(QueueStep::Run(waiter.ticket))
    }

    /// Frees a slot. `held` is the time that the request held it, or `None` if it did not complete.
    pub fn finish(&mut self, held: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(held) = held else {
            return;
        };
        let sample = u64::try_from(held.as_micros()).unwrap_or(u64::MAX);
        let old = self.average_service_micros;
        self.average_service_micros = old - old / AVERAGE_DIVISOR + sample / AVERAGE_DIVISOR;
    }

    /// Removes a waiter whose caller disconnected. Returns `false` if no waiter has this ticket.
    pub fn remove_waiter(&mut self, ticket: u64) -> bool {
        for queue in [&mut self.interactive, &mut self.batch] {
            if let Some(index) = queue.iter().position(|waiter| waiter.ticket == ticket) {
                queue.remove(index);
                return true;
            }
        }
        false
    }

    /// Removes all waiters and returns their tickets. Used when this host no longer forwards to the
    /// server.
    pub fn remove_all_waiters(&mut self) -> Vec<u64> {
        let waiters = self.interactive.drain(..).chain(self.batch.drain(..));
        waiters.map(|waiter| waiter.ticket).collect()
    }

    /// Earliest deadline among the waiters.
    pub fn next_deadline(&self) -> Option<BootTime> {
        let waiters = self.interactive.iter().chain(&self.batch);
        waiters.map(|waiter| waiter.deadline).min()
    }

    /// Expected time until a request that arrives now completes, its wait included.
    ///
    /// Zero until the first request has completed. See [`Self::admit`] for how a wrong estimate
    /// corrects itself.
    fn expected_completion_time(&self, class: RequestClass) -> Duration {
        let ahead = match (class, self.order) {
            (_, QueueOrder::NewestFirst) => 0,
            (RequestClass::Interactive, _) => self.interactive.len(),
            (RequestClass::Batch, _) => self.waiting(),
        };
        let rounds = u64::try_from(ahead).unwrap_or(u64::MAX) + 1;
        let wait = self.average_service_micros * rounds / u64::from(self.limits.slots.max(1));
        Duration::from_micros(wait + self.average_service_micros)
    }

    /// Removes the last waiter of the other class if `class` is below its share of the queue.
    fn evict_for(&mut self, class: RequestClass) -> Option<u64> {
        let batch_share = to_usize(self.limits.queue / BATCH_SHARE_DIVISOR).max(1);
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

    /// Removes a waiter that cannot complete by its deadline even if it started now.
    fn remove_expired(&mut self, now: BootTime) -> Option<u64> {
        let expected_end = now + self.service_time();
        for queue in [&mut self.interactive, &mut self.batch] {
            let is_too_late =
                |waiter: &QueuedRequest| now >= waiter.deadline || expected_end > waiter.deadline;
            if let Some(index) = queue.iter().position(is_too_late) {
                return queue.remove(index).map(|waiter| waiter.ticket);
            }
        }
        None
    }

    /// Class of the next request to start, or `None` if no request waits.
    fn next_class(&self) -> Option<RequestClass> {
        let batch_due = self.starts_since_batch + 1 >= BATCH_SHARE_DIVISOR;
        match (self.interactive.is_empty(), self.batch.is_empty()) {
            (true, true) => None,
            (false, true) => Some(RequestClass::Interactive),
            (true, false) => Some(RequestClass::Batch),
            (false, false) if batch_due => Some(RequestClass::Batch),
            (false, false) => Some(RequestClass::Interactive),
        }
    }

    fn count_start(&mut self, class: RequestClass) {
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
