//! A host's part of what all hosts may send to a cold server.
//!
//! A share of the requests, as [`LimitGate`](super::LimitGate) uses it, follows a burst only after the
//! next reports and digests. A cold server does not bear that, so permits for it come at fixed rates
//! that no burst raises, start at a random time on each host and expire when unused. Only requests for
//! keys, which no other server can take, pass by the leader's share, because the leader gives a cold
//! server only keys with few requests.

use {
    super::{AdmittedShare, LimitedRequests, WarmupLimit, bounded_retry_after},
    crate::time::BootTime,
    std::time::Duration,
};

/// Age from which the leader's share is no longer used: a change of leader takes less.
const SHARE_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time constant of the average of this host's requests, close to that of the leader's average.
const DEMAND_TIME: Duration = Duration::from_millis(1_000);

/// Part of the even share that a host without recent requests keeps, so that it can send some.
const IDLE_HOST_PART: f64 = 0.25;

/// Requests a second that a host may send for keys beside those that it usually has. Hosts learn of a
/// burst from the leader after about 0.6 s; until then, few requests of each host pass.
const KEYED_BURST_RATE: f64 = 1.0;

/// Factor on a host's usual requests for keys up to which they pass by the share.
const KEYED_BURST_FACTOR: f64 = 2.0;

/// Multiple of the allowed rate that requests are assumed to come at before reports tell: bursts of 2.6 times
/// the usual load occur.
const ASSUMED_BURST: f64 = 3.0;

/// Reports after which the leader's share takes a rise of this host's requests into account, with one lost.
const REPORTS_UNTIL_SHARE: usize = 3;

/// Limits the requests of one host to one cold server.
#[derive(Clone, Debug)]
pub struct WarmupGate {
    limit: WarmupLimit,
    /// The leader's share and when it arrived.
    share: Option<(AdmittedShare, BootTime)>,
    /// Part of the next permit that has accrued.
    accrued: f64,
    /// Until when an unused permit is valid.
    permit_until: Option<BootTime>,
    /// Part of a request that may pass by the share.
    share_credit: f64,
    /// Part of a request for a key that this host may send, whatever the share is.
    burst_credit: f64,
    /// When the parts were last advanced.
    advanced_at: BootTime,
    /// Requests a second of this host, as of the last reports, the newest one first.
    own_rates: [f64; REPORTS_UNTIL_SHARE],
    reported_at: BootTime,
    requests: LimitedRequests,
}

impl WarmupGate {
    /// Creates the gate. `phase`, a random number in 0..1, spreads the first permits of all hosts.
    pub fn new(limit: WarmupLimit, phase: f64, now: BootTime) -> Self {
        Self {
            limit,
            share: None,
            accrued: phase,
            permit_until: None,
            share_credit: phase,
            burst_credit: 1.0,
            advanced_at: now,
            own_rates: [0.0; REPORTS_UNTIL_SHARE],
            reported_at: now,
            requests: LimitedRequests::default(),
        }
    }

    /// Limit for all hosts together.
    pub fn limit(&self) -> WarmupLimit {
        self.limit
    }

    /// Replaces the limit, after a change of the configuration.
    pub fn set_limit(&mut self, limit: WarmupLimit) {
        self.limit = limit;
    }

    /// Share of the requests that the leader last set, or one with which a leader starts.
    pub fn share(&self) -> AdmittedShare {
        let initial = AdmittedShare::from_fraction(1.0 / ASSUMED_BURST);
        self.share.map_or(initial, |(share, _)| share)
    }

    /// Sets the share that the leader lists.
    pub fn set_share(&mut self, share: AdmittedShare, now: BootTime) {
        self.share = Some((share, now));
    }

    /// Whether a request could pass now.
    pub fn is_open(&mut self, hosts: u32, now: BootTime) -> bool {
        self.advance(hosts, now);
        match self.keyed_share(now) {
            Some(share) => self.burst_credit >= 1.0 && self.share_credit + share >= 1.0,
            None => self.permit_until.is_some_and(|until| now < until),
        }
    }

    /// Asks for a request to pass; `hosts` is the number of hosts that share the limit.
    pub fn admit(&mut self, hosts: u32, now: BootTime) -> bool {
        let is_open = self.is_open(hosts, now);
        self.requests.offered += 1;
        // Requests beyond the bound of bursts earn no credit, which would pass whatever the share is by then.
        if let Some(share) = self.keyed_share(now)
            && self.burst_credit >= 1.0
        {
            self.share_credit = (self.share_credit + share).min(1.0);
            if is_open {
                self.share_credit -= 1.0;
                self.burst_credit -= 1.0;
            }
        }
        if is_open {
            self.permit_until = None;
            self.requests.admitted += 1;
        }
        is_open
    }

    /// Returns the requests since the last call, for the report to the leader.
    pub fn take_requests(&mut self, now: BootTime) -> LimitedRequests {
        let elapsed = now.since(self.reported_at).as_secs_f64();
        if elapsed > 0.0 {
            let rate = f64::from(self.requests.offered) / elapsed;
            let weight = 1.0 - (-elapsed / DEMAND_TIME.as_secs_f64()).exp();
            let latest = self.own_rates[0] + (rate - self.own_rates[0]) * weight;
            self.own_rates.rotate_right(1);
            self.own_rates[0] = latest;
            self.reported_at = now;
        }
        std::mem::take(&mut self.requests)
    }

    /// Time after which the caller of a refused request should retry. `spread` is a random number in
    /// 0..1.
    pub fn retry_after(&self, hosts: u32, spread: f64, now: BootTime) -> Duration {
        let wait = match self.keyed_share(now) {
            Some(share) => 1.0 / share - 1.0,
            None => (1.0 - self.accrued) / self.local_rate(hosts, now).max(f64::MIN_POSITIVE),
        };
        bounded_retry_after(wait, spread)
    }

    fn fresh_share(&self, now: BootTime) -> Option<f64> {
        let (share, at) = self.share?;
        (now.since(at) < SHARE_MAX_AGE).then(|| share.fraction())
    }

    /// Share by which requests for keys pass, while it is fresh.
    fn keyed_share(&self, now: BootTime) -> Option<f64> {
        self.fresh_share(now).filter(|_| self.limit.is_keyed())
    }

    /// Requests a second of this host that the leader's share takes into account.
    fn settled_rate(&self) -> f64 {
        self.own_rates.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Permits a second of this host.
    fn local_rate(&self, hosts: u32, now: BootTime) -> f64 {
        let total = self.limit.permit_rate();
        let even = total / f64::from(hosts.max(1));
        match self.fresh_share(now) {
            Some(share) => (share * self.settled_rate()).clamp(even * IDLE_HOST_PART, total),
            None => even,
        }
    }

    fn advance(&mut self, hosts: u32, now: BootTime) {
        let elapsed = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let own_burst_rate = KEYED_BURST_FACTOR * self.settled_rate();
        let burst_rate = own_burst_rate.max(KEYED_BURST_RATE);
        self.burst_credit = (self.burst_credit + burst_rate * elapsed).min(1.0);
        let rate = self.local_rate(hosts, now);
        let accrued = self.accrued + rate * elapsed;
        self.accrued = accrued.fract();
        if accrued < 1.0 {
            return;
        }
        let age = Duration::from_secs_f64(self.accrued / rate);
        self.permit_until = Some(now.minus(age) + self.limit.permit_time());
    }
}
