//! This host's estimate of the load, speed and failure rate of one server.

use {
    super::{LimitGate, RequestRate, WarmupGate, WorkTime},
    crate::time::BootTime,
    bincode::{Decode, Encode},
    std::time::Duration,
};

/// Service time assumed before the first measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(150);

/// Weight of a new latency in the moving average of the service time.
const LATENCY_WEIGHT: f64 = 0.15;

/// Weight of a new outcome in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.12;

/// Age from which a load reported by the server is no longer used.
const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_millis(400);

/// Time for which a server is avoided after a first failed or unresponsive connection.
const INITIAL_AVOID_TIME: Duration = Duration::from_millis(400);

/// Upper bound of the time for which a server is avoided before it is tried again.
const MAX_AVOID_TIME: Duration = Duration::from_millis(3_200);

/// Factor on the service time of a server that is warming up.
const WARMUP_FACTOR: f64 = 2.0;

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in execution.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Number of requests that the server can run at once.
    pub slots: u32,
    /// How long work takes at present.
    pub work_time: WorkTime,
}

/// How a request to the server ended, as far as it tells something about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was complete and reported no failure of the server.
    Success,
    /// The server answered with a failure of its own, or its answer was invalid or cut off.
    Failure,
    /// The server refused the request before running it.
    Refused,
    /// No connection could be made, or the connection got no answer.
    Unresponsive,
    /// This host or the caller ended the request.
    Abandoned,
}

/// What a host has learned from a server's answers about its limit since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum NamedLimit {
    /// No answer has come.
    #[default]
    Unknown,
    /// The last answer named no limit, unlike earlier ones.
    Lifted,
    /// The last answer named this limit.
    Named(RequestRate),
    /// No answer has come; the host knows this limit from before.
    Held(RequestRate),
}

/// Estimates the load, speed and failure share of one server.
#[derive(Clone, Debug)]
pub struct ServerGauge {
    slots: u32,
    /// Requests that this host has in flight at the server.
    own_in_flight: u32,
    /// Requests that other hosts have in flight at the server.
    remote_in_flight: u32,
    /// Number of this host's requests in flight that was last reported to the leader.
    published: u32,
    /// Last load reported by the server, when it arrived, and this host's requests in flight then.
    reported_load: Option<(ReportedLoad, BootTime, u32)>,
    /// Estimated seconds that a request runs, without queueing.
    service_time: f64,
    /// Whether `service_time` contains a measurement.
    measured: bool,
    failure_share: f64,
    avoid_until: BootTime,
    /// Length of the next avoidance.
    next_avoid_time: Duration,
    /// When the server has warmed up.
    warmed_up_at: BootTime,
    /// Time that work takes there at present, and when the server reported it.
    work_time: Option<(WorkTime, BootTime)>,
    /// This host's part of the limit that the server names, if it does.
    limit_gate: Option<LimitGate>,
    /// This host's part of what the server takes while it is cold, if that is limited.
    warmup_gate: Option<WarmupGate>,
    /// What answers told about the limit since the last report.
    named_limit: NamedLimit,
    /// Successes since the last call of `take_period`, and their total service time in seconds.
    period: (u32, f64),
}

/// Values of a gauge at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaugeReading {
    /// Requests of all hosts at the server, as far as known.
    pub backlog: u32,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Expected seconds until a request sent now is answered, including queueing.
    pub expected: f64,
    /// Mean seconds that a request runs, without queueing.
    pub service_time: f64,
    /// Time that work takes at present, as a multiple of the usual time.
    pub work_factor: f64,
    /// Share of recent requests that failed.
    pub failure_share: f64,
    /// Whether the server is to be avoided, because it did not respond recently.
    pub avoided: bool,
}

impl ServerGauge {
    /// Creates the gauge of a newly discovered server that warms up for `warmup`.
    pub fn new(slots: u32, warmup: Duration, now: BootTime) -> Self {
        Self {
            slots: slots.max(1),
            own_in_flight: 0,
            remote_in_flight: 0,
            published: 0,
            reported_load: None,
            service_time: INITIAL_SERVICE_TIME.as_secs_f64(),
            measured: false,
            failure_share: 0.0,
            avoid_until: BootTime::default(),
            next_avoid_time: INITIAL_AVOID_TIME,
            warmed_up_at: now + warmup,
            work_time: None,
            limit_gate: None,
            warmup_gate: None,
            named_limit: NamedLimit::Unknown,
            period: (0, 0.0),
        }
    }

    /// This host's part of the limit that the server names, if it does.
    pub fn limit_gate(&self) -> Option<&LimitGate> {
        self.limit_gate.as_ref()
    }

    /// The same, for a request that asks to pass or a share that is set.
    pub fn limit_gate_mut(&mut self) -> Option<&mut LimitGate> {
        self.limit_gate.as_mut()
    }

    /// Sets the gate for a limit that another host has learned of, or removes it.
    pub fn set_limit_gate(&mut self, gate: Option<LimitGate>) {
        self.limit_gate = gate;
    }

    /// This host's part of what the server takes while it is cold, if that is limited.
    pub fn warmup_gate(&self) -> Option<&WarmupGate> {
        self.warmup_gate.as_ref()
    }

    /// The same, for a request that asks to pass or a share that is set.
    pub fn warmup_gate_mut(&mut self) -> Option<&mut WarmupGate> {
        self.warmup_gate.as_mut()
    }

    /// Sets or removes the gate of a cold server.
    pub fn set_warmup_gate(&mut self, gate: Option<WarmupGate>) {
        self.warmup_gate = gate;
    }

    /// Records until when the server warms up, as its latest entry says.
    pub fn set_warmed_up_at(&mut self, at: BootTime) {
        self.warmed_up_at = at;
    }

    /// Whether the server warms up, by its latest entry.
    pub fn is_warming_up(&self, now: BootTime) -> bool {
        now < self.warmed_up_at
    }

    /// Records the limit in an answer of the server; `None` if the answer named none. `phase` is a
    /// random number in 0..1.
    pub fn record_limit(&mut self, limit: Option<RequestRate>, phase: f64, now: BootTime) {
        match limit {
            Some(limit) => {
                let gate = self
                    .limit_gate
                    .get_or_insert_with(|| LimitGate::new(limit, phase, now));
                gate.record_named(limit, now);
                self.named_limit = NamedLimit::Named(limit);
            }
            None => {
                if self.limit_gate.take().is_some() {
                    self.named_limit = NamedLimit::Lifted;
                }
            }
        }
    }

    /// Returns what answers told about the limit since the last call.
    pub fn take_named_limit(&mut self) -> NamedLimit {
        std::mem::take(&mut self.named_limit)
    }

    /// Records that a request was sent to the server.
    pub fn record_sent(&mut self) {
        self.own_in_flight += 1;
    }

    /// Records how a request ended, and after which latency.
    pub fn record_ended(&mut self, outcome: RequestOutcome, latency: Duration, now: BootTime) {
        let backlog = f64::from(self.backlog(now).max(1));
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        match outcome {
            RequestOutcome::Success => {
                self.record_latency(latency.as_secs_f64(), backlog, now);
                self.record_outcome(0.0);
                self.avoid_until = BootTime::default();
                self.next_avoid_time = INITIAL_AVOID_TIME;
            }
            RequestOutcome::Failure => self.record_outcome(1.0),
            RequestOutcome::Refused => self.record_outcome(0.6),
            RequestOutcome::Unresponsive => self.avoid(now),
            RequestOutcome::Abandoned => {}
        }
    }

    /// Avoids the server for a time that doubles each time, up to a limit; does nothing while
    /// the server is already avoided.
    pub fn avoid(&mut self, now: BootTime) {
        if now < self.avoid_until {
            return;
        }
        self.avoid_until = now + self.next_avoid_time;
        self.next_avoid_time = (self.next_avoid_time * 2).min(MAX_AVOID_TIME);
    }

    /// Records the load that the server reported with an answer.
    pub fn record_reported_load(&mut self, load: ReportedLoad, now: BootTime) {
        self.slots = load.slots.max(1);
        self.reported_load = Some((load, now, self.own_in_flight));
        self.record_work_time(load.work_time, now);
    }

    /// Records how long work takes at the server at present.
    pub fn record_work_time(&mut self, work_time: WorkTime, now: BootTime) {
        self.work_time = Some((work_time, now));
    }

    /// Age of the load that the server has last reported; `None` if it has not.
    pub fn reported_load_age(&self, now: BootTime) -> Option<Duration> {
        self.reported_load.map(|(_, at, _)| now.since(at))
    }

    /// Number of this host's requests in flight that was last reported to the leader.
    pub fn published_in_flight(&self) -> u32 {
        self.published
    }

    /// Number of this host's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the number of this host's requests in flight, and records it as reported to the
    /// leader.
    pub fn publish_in_flight(&mut self) -> u32 {
        self.published = self.own_in_flight;
        self.own_in_flight
    }

    /// Sets the number of requests that other hosts have in flight at the server.
    pub fn set_remote_load(&mut self, remote_in_flight: u32) {
        self.remote_in_flight = remote_in_flight;
    }

    /// Returns the number of successes since the last call and their mean service time in seconds,
    /// and resets both.
    pub fn take_period(&mut self) -> (u32, f64) {
        let (count, sum) = std::mem::take(&mut self.period);
        (count, sum / f64::from(count.max(1)))
    }

    /// Returns the values at time `now`.
    pub fn read(&self, now: BootTime) -> GaugeReading {
        let backlog = self.backlog(now);
        let warmup_factor = if now < self.warmed_up_at {
            WARMUP_FACTOR
        } else {
            1.0
        };
        let service_time = self.service_time * warmup_factor;
        let slots = f64::from(self.slots);
        // Expected queueing time, in service times: all slots together finish one request each
        // per service time.
        let rounds = (f64::from(backlog + 1) - slots).max(0.0) / slots;
        GaugeReading {
            backlog,
            slots: self.slots,
            expected: service_time * (1.0 + rounds),
            service_time,
            work_factor: self.work_factor(now),
            failure_share: self.failure_share,
            avoided: now < self.avoid_until,
        }
    }

    /// Time that work takes at present, as a multiple of the usual time.
    fn work_factor(&self, now: BootTime) -> f64 {
        match self.work_time {
            Some((work_time, at)) if now.since(at) < REPORTED_LOAD_MAX_AGE => work_time.factor(),
            _ => 1.0,
        }
    }

    /// Requests at the server: those of this host, and the best estimate for other hosts.
    fn backlog(&self, now: BootTime) -> u32 {
        let remote_in_flight = match self.reported_load {
            Some((load, at, own_in_flight)) if now.since(at) < REPORTED_LOAD_MAX_AGE => {
                // Subtracts this host's own requests. The request that was just answered is
                // not one of them: the server no longer counted it when it reported.
                let reported_requests =
                    (load.running + load.waiting).saturating_sub(own_in_flight.saturating_sub(1));
                reported_requests.max(self.remote_in_flight / 2)
            }
            _ => self.remote_in_flight,
        };
        self.own_in_flight + remote_in_flight
    }

    /// Updates the service time from a latency, after removing the estimated queueing time.
    fn record_latency(&mut self, latency: f64, backlog: f64, now: BootTime) {
        let slots = f64::from(self.slots);
        // Expected latency, in service times: queueing time plus one.
        let rounds = 1.0 + (backlog - slots).max(0.0) / slots;
        let warmup_factor = if now < self.warmed_up_at {
            WARMUP_FACTOR
        } else {
            1.0
        };
        let run_time = latency / rounds / warmup_factor;
        self.period.0 += 1;
        self.period.1 += run_time;
        if !self.measured {
            self.measured = true;
            self.service_time = (self.service_time + run_time) / 2.0;
            return;
        }
        self.service_time += (run_time - self.service_time) * LATENCY_WEIGHT;
    }

    fn record_outcome(&mut self, failure: f64) {
        self.failure_share += (failure - self.failure_share) * FAILURE_WEIGHT;
    }
}
