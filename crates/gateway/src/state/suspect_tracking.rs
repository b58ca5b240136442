//! Requests under which servers have crashed, as this host and others know them.

use {
    super::{HostState, LogTopic, suspect_news::SuspectNews},
    camphorcove_core::{
        fleet::ServerEntry,
        ids::ServerId,
        quarantine::{Admittance, CrashId, CrashReport, RequestFingerprint},
        time::BootTime,
    },
    std::time::Duration,
};

/// Mean time between the attempts of two hosts at a request after its quarantine. A crash is known to
/// all hosts within it.
const PROBE_SPREAD_PER_HOST: Duration = Duration::from_millis(500);

impl HostState {
    /// Whether servers have crashed under any request recently.
    pub fn has_suspects(&self) -> bool {
        !self.lock().suspects.is_empty()
    }

    /// Number of requests in quarantine.
    pub fn quarantined_requests(&self) -> usize {
        let now = self.now();
        self.lock().suspects.quarantined(now)
    }

    /// Whether the request may be sent to a server now.
    pub fn admit_request(&self, request: &RequestFingerprint) -> Admittance {
        let now = self.now();
        let mut inner = self.lock();
        let spread = PROBE_SPREAD_PER_HOST * inner.hosts();
        let probe_delay = spread.mul_f64(request.fraction(self.nonce));
        let before = inner.suspects.quarantine_left(request, now);
        let admittance = inner.suspects.admit(request, probe_delay, now);
        let left = inner.suspects.quarantine_left(request, now);
        if before.is_zero() && !left.is_zero() {
            log_quarantine(request, left);
        }
        admittance
    }

    /// Whether the server has announced to leave, drains, or has lost its entry.
    pub fn is_leaving(&self, server: &ServerId) -> bool {
        self.lock().fleet.leaving_since(server).is_some()
    }

    /// Records that a server crashed while it had a request that was sent at `sent_at`.
    pub fn record_crash(
        &self,
        request: &RequestFingerprint,
        server: &ServerEntry,
        sent_at: BootTime,
    ) {
        let now = self.now();
        let crash = CrashId::of(&server.id, server.incarnation);
        let report = CrashReport {
            request: *request,
            crash,
            sent_ago: now.since(sent_at),
            crashed_ago: Duration::ZERO,
        };
        self.lock().suspect_outbox.push_crash(&report, now);
        if let Some(left_out) = self.may_log(LogTopic::Server) {
            log::warn!(
                fingerprint:% = request,
                server = server.id.as_str(),
                incarnation = server.incarnation,
                ran_ms:% = now.since(sent_at).as_millis(),
                left_out;
                "server crashed while it had a request"
            );
        }
        self.apply_suspect_news(&SuspectNews {
            crashes: vec![report],
            ..SuspectNews::default()
        });
        self.suspects_changed.notify_one();
    }

    /// Records that a server answered a request, which clears it of suspicion.
    pub fn record_answered_request(&self, request: &RequestFingerprint) {
        let now = self.now();
        let mut inner = self.lock();
        if !inner.suspects.record_answer(request, now) {
            return;
        }
        inner.suspect_outbox.push_answer(*request);
        drop(inner);
        self.suspects_changed.notify_one();
    }

    /// Drops requests that are no longer suspected.
    pub fn expire_suspects(&self) {
        let now = self.now();
        self.lock().suspects.expire(now);
    }

    /// News for the other hosts, each to be sent twice as datagrams may be lost; `None` if there are none.
    pub fn take_suspect_news(&self) -> Option<SuspectNews> {
        let now = self.now();
        self.lock().suspect_outbox.take(now)
    }

    /// All suspected requests, for hosts that missed the news; `None` if there are none.
    pub fn known_suspects(&self) -> Option<SuspectNews> {
        let now = self.now();
        let known = self.lock().suspects.shared(now);
        (!known.is_empty()).then(|| SuspectNews {
            known,
            ..SuspectNews::default()
        })
    }

    /// Applies news of this host or another one.
    pub fn apply_suspect_news(&self, news: &SuspectNews) {
        let now = self.now();
        let mut inner = self.lock();
        for report in &news.crashes {
            let before = inner.suspects.quarantine_left(&report.request, now);
            inner.suspects.record_crash(report, now);
            let left = inner.suspects.quarantine_left(&report.request, now);
            if before.is_zero() && !left.is_zero() {
                log_quarantine(&report.request, left);
            }
        }
        for request in &news.answered {
            inner.suspects.record_answer(request, now);
        }
        inner.suspects.merge(&news.known, now);
    }
}

fn log_quarantine(request: &RequestFingerprint, left: Duration) {
    log::warn!(
        fingerprint:% = request,
        quarantine_s:% = left.as_secs();
        "servers crash under a request, refusing it"
    );
}
