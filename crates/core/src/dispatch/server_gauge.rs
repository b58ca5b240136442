//! What this host knows of one server's load, speed and faults.

use {crate::time::BootTime, std::time::Duration};

/// Service time assumed before any answer.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(150);

/// Weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.15;

/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.12;

/// Age beyond which the load that a server reported is no longer used.
const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_millis(400);

/// First time for which a server is avoided after a connection failed or hung.
const AVOID_FIRST: Duration = Duration::from_millis(400);

/// Longest time for which a server is avoided before it is tried again.
const AVOID_LIMIT: Duration = Duration::from_millis(3_200);

/// Factor by which a server is slower while it warms up.
const WARMUP_FACTOR: f64 = 2.0;

/// Load that a server tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How an exchange ended, as far as it tells something of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Whole answer, no failure of the server.
    Success,
    /// The server answered with a failure of its own, or spoiled its answer.
    Failure,
    /// The server refused before running.
    Refused,
    /// No connection, or silence on one.
    Silent,
    /// Ended by this host or the caller.
    Abandoned,
}

/// Load and speed of one server.
#[derive(Clone, Debug)]
pub struct ServerGauge {
    slots: u32,
    own: u32,
    remote: u32,
    /// Requests in flight when they were last reported to the leader.
    published: u32,
    reported_load: Option<(ReportedLoad, BootTime, u32)>,
    service_time: f64,
    measured: bool,
    failure_share: f64,
    avoid_until: BootTime,
    avoid_step: Duration,
    warm_at: BootTime,
    /// Successes since the last report, and the sum of their latencies in seconds.
    period: (u32, f64),
}

/// Reading of a gauge at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaugeReading {
    /// Requests at the server, of all hosts, as far as known.
    pub backlog: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Expected seconds until a request sent now is answered.
    pub expected: f64,
    /// Mean seconds that a request runs.
    pub service_time: f64,
    /// Share of recent failures.
    pub failure_share: f64,
    /// The server did not react lately.
    pub avoided: bool,
}

impl ServerGauge {
    /// Gauge of a server that was just learned of.
    pub fn new(slots: u32, warmup: Duration, now: BootTime) -> Self {
        Self {
            slots: slots.max(1),
            own: 0,
            remote: 0,
            published: 0,
            reported_load: None,
            service_time: FIRST_SERVICE_TIME.as_secs_f64(),
            measured: false,
            failure_share: 0.0,
            avoid_until: BootTime::default(),
            avoid_step: AVOID_FIRST,
            warm_at: now + warmup,
            period: (0, 0.0),
        }
    }

    /// Records that a request was sent to the server.
    pub fn record_sent(&mut self) {
        self.own += 1;
    }

    /// Records how and after what latency a request ended.
    pub fn record_ended(&mut self, kind: AnswerKind, latency: Duration, now: BootTime) {
        let backlog = f64::from(self.backlog(now).max(1));
        self.own = self.own.saturating_sub(1);
        match kind {
            AnswerKind::Success => {
                self.note_latency(latency.as_secs_f64(), backlog, now);
                self.note_outcome(0.0);
                self.avoid_until = BootTime::default();
                self.avoid_step = AVOID_FIRST;
            }
            AnswerKind::Failure => self.note_outcome(1.0),
            AnswerKind::Refused => self.note_outcome(0.6),
            AnswerKind::Silent => self.avoid(now),
            AnswerKind::Abandoned => {}
        }
    }

    /// Avoids the server for a time that doubles with each failure.
    pub fn avoid(&mut self, now: BootTime) {
        if now < self.avoid_until {
            return;
        }
        self.avoid_until = now + self.avoid_step;
        self.avoid_step = (self.avoid_step * 2).min(AVOID_LIMIT);
    }

    /// Records the load that the server reported with an answer.
    pub fn record_reported_load(&mut self, load: ReportedLoad, now: BootTime) {
        self.slots = load.slots.max(1);
        self.reported_load = Some((load, now, self.own));
    }

    /// Requests of this host in flight, as last reported to the leader.
    pub fn published_in_flight(&self) -> u32 {
        self.published
    }

    /// Requests of this host in flight; remembers them as reported to the leader.
    pub fn publish_in_flight(&mut self) -> u32 {
        self.published = self.own;
        self.own
    }

    /// Sets the number of requests that other hosts have in flight at the server.
    pub fn set_remote_load(&mut self, remote: u32) {
        self.remote = remote;
    }

    /// Takes what was measured since the last call: successes and mean seconds.
    pub fn take_period(&mut self) -> (u32, f64) {
        let (count, sum) = std::mem::take(&mut self.period);
        (count, sum / f64::from(count.max(1)))
    }

    /// Current reading.
    pub fn read(&self, now: BootTime) -> GaugeReading {
        let backlog = self.backlog(now);
        let warming = if now < self.warm_at {
            WARMUP_FACTOR
        } else {
            1.0
        };
        let service_time = self.service_time * warming;
        let slots = f64::from(self.slots);
        let turns = (f64::from(backlog + 1) - slots).max(0.0) / slots;
        GaugeReading {
            backlog,
            slots: self.slots,
            expected: service_time * (1.0 + turns),
            service_time,
            failure_share: self.failure_share,
            avoided: now < self.avoid_until,
        }
    }

    fn backlog(&self, now: BootTime) -> u32 {
        let remote = match self.reported_load {
            Some((load, at, own)) if now.since(at) < REPORTED_LOAD_MAX_AGE => {
                // The request that was just answered is not in the reported load.
                let reported_requests =
                    (load.running + load.waiting).saturating_sub(own.saturating_sub(1));
                reported_requests.max(self.remote / 2)
            }
            _ => self.remote,
        };
        self.own + remote
    }

    /// Removes the wait for a slot from a latency as far as it is known.
    fn note_latency(&mut self, latency: f64, backlog: f64, now: BootTime) {
        let slots = f64::from(self.slots);
        let turns = 1.0 + (backlog - slots).max(0.0) / slots;
        let warming = if now < self.warm_at {
            WARMUP_FACTOR
        } else {
            1.0
        };
        let net = latency / turns / warming;
        self.period.0 += 1;
        self.period.1 += net;
        if !self.measured {
            self.measured = true;
            self.service_time = (self.service_time + net) / 2.0;
            return;
        }
        self.service_time += (net - self.service_time) * LATENCY_WEIGHT;
    }

    fn note_outcome(&mut self, failure: f64) {
        self.failure_share += (failure - self.failure_share) * FAILURE_WEIGHT;
    }
}
