//! Requests under which servers have crashed, and those that are quarantined.

use {
    super::{CrashId, CrashReport, RequestFingerprint},
    crate::time::BootTime,
    bincode::{Decode, Encode},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Most suspected requests that are kept: several for each server of a large service.
const MAX_SUSPECTS: usize = 1_024;

/// Most suspected requests in one message to other hosts, so that it fits into a datagram.
const MAX_SHARED: usize = 256;

/// Most crashes that are remembered of one request, and of all.
const MAX_CRASHES: usize = 16;
const MAX_RECENT_CRASHES: usize = 64;

/// Age up to which a crash without the request shows that servers crash for another reason as well.
const RECENT_CRASH_AGE: Duration = Duration::from_secs(10);

/// Crashes in sequence after which a request is quarantined if it explains all recent crashes and no
/// other request was there each time.
const CRASHES_ALONE: u32 = 2;

/// Crashes in sequence after which a request is quarantined in any case.
const CRASHES_TOGETHER: u32 = 3;

/// Time after a crash in which the reports of all hosts arrive: who else was there decides whether a
/// request is the only cause.
const REPORT_TIME: Duration = Duration::from_millis(50);

/// Age that a list of another host may have: it may have been sent before an answer that cleared a
/// request, and arrive after it.
const LIST_MAX_AGE: Duration = Duration::from_secs(5);

/// Time without another crash after which a request is no longer suspected.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(60);

/// Length of the first quarantine: a server that is upgraded may run the request later, and a request
/// that is quarantined by mistake is not kept out for long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);

/// Longest quarantine. Each crash after a quarantine doubles its length.
const MAX_QUARANTINE: Duration = Duration::from_secs(15 * 60);

/// Time after the end of a quarantine for which the next crash counts as a repeat.
const PROBATION: Duration = Duration::from_secs(60 * 60);

/// Pause between two attempts of one host at a request after its quarantine: other hosts hear of a
/// crash within it.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What a host may do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admittance {
    /// It may be sent to a server.
    Open,
    /// It is decided after this time.
    Wait(Duration),
    /// It may not be sent to a server for this time.
    Quarantined(Duration),
}

/// A suspected request, as hosts tell it each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SharedSuspect {
    /// The request.
    pub request: RequestFingerprint,
    /// Crashes in sequence.
    pub crashes: u32,
    /// Number of its quarantines.
    pub quarantines: u32,
    /// Time left of the quarantine; zero if there is none.
    pub quarantine_left: Duration,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Crashes, oldest first, each at most once.
    crashes: Vec<CrashId>,
    /// Crashes of attempts that were sent after the crash before was known. Attempts that run at the
    /// same time may fail for one and the same other reason.
    sequence: u32,
    /// When the last crash in sequence happened.
    crashed_at: BootTime,
    quarantines: u32,
    quarantined_until: BootTime,
    /// When the request was last let through after a quarantine.
    probed_at: Option<BootTime>,
}

/// Suspected requests of all hosts, as far as this host knows them.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// Recent crashes, oldest first.
    crashes: VecDeque<(CrashId, BootTime)>,
    /// Suspected requests that were answered recently, oldest first.
    answered: VecDeque<(RequestFingerprint, BootTime)>,
}

impl Suspect {
    fn new(now: BootTime) -> Self {
        Self {
            crashes: Vec::new(),
            sequence: 0,
            crashed_at: now,
            quarantines: 0,
            quarantined_until: BootTime::default(),
            probed_at: None,
        }
    }

    fn is_quarantined(&self, now: BootTime) -> bool {
        now < self.quarantined_until
    }

    fn expires_at(&self) -> BootTime {
        match self.quarantines {
            0 => self.crashed_at + SUSPICION_LIFETIME,
            _ => self.quarantined_until.max(self.crashed_at) + PROBATION,
        }
    }

    fn quarantine(&mut self, now: BootTime) {
        let doublings = 1 << self.quarantines.min(10);
        self.quarantined_until = now + (FIRST_QUARANTINE * doublings).min(MAX_QUARANTINE);
        self.quarantines += 1;
    }
}

impl SuspectTable {
    /// Whether there is no suspected request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspected requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Number of requests in quarantine.
    pub fn quarantined(&self, now: BootTime) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.is_quarantined(now))
            .count()
    }

    /// Time left of the quarantine of the request; zero if there is none.
    pub fn quarantine_left(&self, request: &RequestFingerprint, now: BootTime) -> Duration {
        let suspect = self.suspects.get(request);
        suspect.map_or(Duration::ZERO, |suspect| {
            suspect.quarantined_until.since(now)
        })
    }

    /// Records a crash; returns whether it is news.
    pub fn record_crash(&mut self, report: &CrashReport, now: BootTime) -> bool {
        self.expire(now);
        if !self.suspects.contains_key(&report.request) {
            self.make_room(now);
        }
        let sent_at = now.minus(report.sent_ago);
        let crashed_at = now.minus(report.crashed_ago);
        self.add_recent_crash(report.crash, crashed_at, now);
        let suspect = self
            .suspects
            .entry(report.request)
            .or_insert_with(|| Suspect::new(crashed_at));
        if suspect.crashes.contains(&report.crash) {
            return false;
        }
        if suspect.crashes.len() == MAX_CRASHES {
            suspect.crashes.remove(0);
        }
        suspect.crashes.push(report.crash);
        let follows = suspect.sequence == 0 || sent_at >= suspect.crashed_at;
        if !follows {
            return true;
        }
        suspect.sequence += 1;
        suspect.crashed_at = crashed_at.max(suspect.crashed_at);
        let is_certain = suspect.quarantines > 0 || suspect.sequence >= CRASHES_TOGETHER;
        if is_certain && !suspect.is_quarantined(now) {
            suspect.quarantine(now);
        }
        true
    }

    /// Quarantines a request that is the only cause of the recent crashes, once all reports are in.
    fn decide(&mut self, request: &RequestFingerprint, now: BootTime) {
        // What another host has told does not name the other requests at these crashes.
        let is_undecided = |suspect: &Suspect| {
            suspect.quarantines == 0
                && suspect.sequence >= CRASHES_ALONE
                && suspect.crashes.len() >= CRASHES_ALONE as usize
                && now.since(suspect.crashed_at) >= REPORT_TIME
        };
        if self.suspects.get(request).is_some_and(is_undecided)
            && self.is_only_cause(request)
            && let Some(suspect) = self.suspects.get_mut(request)
        {
            suspect.quarantine(now);
        }
    }

    /// Records that a server has answered the request; returns whether it was suspected.
    pub fn record_answer(&mut self, request: &RequestFingerprint, now: BootTime) -> bool {
        let is_old = |(_, at): &(RequestFingerprint, BootTime)| now.since(*at) >= LIST_MAX_AGE;
        while self.answered.front().is_some_and(is_old) || self.answered.len() >= MAX_SHARED {
            self.answered.pop_front();
        }
        self.answered.push_back((*request, now));
        self.suspects.remove(request).is_some()
    }

    /// Whether the request may be sent now. After a quarantine, this host waits for `probe_delay`
    /// longer, so that hosts do not try it at the same time.
    pub fn admit(
        &mut self,
        request: &RequestFingerprint,
        probe_delay: Duration,
        now: BootTime,
    ) -> Admittance {
        self.decide(request, now);
        let Some(suspect) = self.suspects.get_mut(request) else {
            return Admittance::Open;
        };
        if suspect.quarantines == 0 || suspect.expires_at() <= now {
            let undecided = REPORT_TIME.saturating_sub(now.since(suspect.crashed_at));
            return match suspect.sequence >= CRASHES_ALONE && !undecided.is_zero() {
                true => Admittance::Wait(undecided),
                false => Admittance::Open,
            };
        }
        let open_at = suspect.quarantined_until + probe_delay;
        let open_at = match suspect.probed_at {
            Some(probed_at) => open_at.max(probed_at + PROBE_INTERVAL),
            None => open_at,
        };
        if now < open_at {
            return Admittance::Quarantined(open_at.since(now));
        }
        suspect.probed_at = Some(now);
        Admittance::Open
    }

    /// Suspected requests for other hosts, those in quarantine first.
    pub fn shared(&mut self, now: BootTime) -> Vec<SharedSuspect> {
        self.expire(now);
        let requests: Vec<_> = self.suspects.keys().copied().collect();
        for request in requests {
            self.decide(&request, now);
        }
        let mut shared: Vec<_> = self
            .suspects
            .iter()
            .map(|(request, suspect)| SharedSuspect {
                request: *request,
                crashes: suspect.sequence,
                quarantines: suspect.quarantines,
                quarantine_left: suspect.quarantined_until.since(now),
            })
            .collect();
        shared.sort_by_key(|suspect| std::cmp::Reverse((suspect.quarantine_left, suspect.crashes)));
        shared.truncate(MAX_SHARED);
        shared
    }

    /// Merges what another host knows.
    pub fn merge(&mut self, shared: &[SharedSuspect], now: BootTime) {
        for known in shared {
            let is_same = |(request, at): &(RequestFingerprint, BootTime)| {
                *request == known.request && now.since(*at) < LIST_MAX_AGE
            };
            if self.answered.iter().any(is_same) {
                continue;
            }
            if !self.suspects.contains_key(&known.request) {
                self.make_room(now);
            }
            let suspect = self
                .suspects
                .entry(known.request)
                .or_insert_with(|| Suspect::new(now));
            suspect.sequence = suspect.sequence.max(known.crashes);
            suspect.quarantines = suspect.quarantines.max(known.quarantines);
            let left = known.quarantine_left.min(MAX_QUARANTINE);
            if left > Duration::ZERO {
                suspect.quarantined_until = suspect.quarantined_until.max(now + left);
            }
        }
    }

    /// Whether the request was at all recent crashes, and no other one that was at one of them has as
    /// many crashes in sequence.
    fn is_only_cause(&self, request: &RequestFingerprint) -> bool {
        let Some(suspect) = self.suspects.get(request) else {
            return false;
        };
        let was_at = |crash: &CrashId| suspect.crashes.contains(crash);
        self.crashes.iter().all(|(crash, _)| was_at(crash))
            && self.suspects.iter().all(|(other_request, other)| {
                other_request == request
                    || other.sequence < CRASHES_ALONE
                    || !other.crashes.iter().any(was_at)
            })
    }

    fn add_recent_crash(&mut self, crash: CrashId, crashed_at: BootTime, now: BootTime) {
        let is_old = |(_, at): &(CrashId, BootTime)| now.since(*at) >= RECENT_CRASH_AGE;
        while self.crashes.front().is_some_and(is_old) || self.crashes.len() > MAX_RECENT_CRASHES {
            self.crashes.pop_front();
        }
        if self.crashes.iter().all(|(known, _)| *known != crash) {
            self.crashes.push_back((crash, crashed_at));
        }
    }

    /// Drops requests that are no longer suspected.
    pub fn expire(&mut self, now: BootTime) {
        self.suspects
            .retain(|_, suspect| now < suspect.expires_at());
    }

    /// Drops the suspect that matters least, if the table is full.
    fn make_room(&mut self, now: BootTime) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| {
                let until = suspect.quarantined_until.since(now);
                (until, suspect.sequence, suspect.crashed_at)
            })
            .map(|(request, _)| *request);
        if let Some(least) = least {
            self.suspects.remove(&least);
        }
    }
}
