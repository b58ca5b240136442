//! What hosts tell each other about requests under which servers have crashed.

use {
    bincode::{Decode, Encode},
    camphorcove_core::{
        quarantine::{CrashId, CrashReport, RequestFingerprint, SharedSuspect},
        time::BootTime,
    },
    std::collections::VecDeque,
};

/// Times that a piece of news is sent.
const SENDS: u32 = 2;

/// Most pieces of news that wait; the oldest are dropped.
const MAX_WAITING: usize = 128;

/// News about suspected requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SuspectNews {
    /// Crashes that the sender has seen.
    pub crashes: Vec<CrashReport>,
    /// Suspected requests that a server has answered.
    pub answered: Vec<RequestFingerprint>,
    /// Suspected requests that the sender knows; empty in most messages.
    pub known: Vec<SharedSuspect>,
}

#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    request: RequestFingerprint,
    crash: CrashId,
    sent_at: BootTime,
    crashed_at: BootTime,
}

impl SeenCrash {
    fn report(&self, now: BootTime) -> CrashReport {
        CrashReport {
            request: self.request,
            crash: self.crash,
            sent_ago: now.since(self.sent_at),
            crashed_ago: now.since(self.crashed_at),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum NewsItem {
    Crash(SeenCrash),
    Answer(RequestFingerprint),
}

/// News of this host that other hosts have not been sent often enough, oldest first.
#[derive(Debug, Default)]
pub struct SuspectOutbox {
    waiting: VecDeque<(NewsItem, u32)>,
}

impl SuspectOutbox {
    /// Adds a crash that is reported at `now`.
    pub fn push_crash(&mut self, report: &CrashReport, now: BootTime) {
        self.push(NewsItem::Crash(SeenCrash {
            request: report.request,
            crash: report.crash,
            sent_at: now.minus(report.sent_ago),
            crashed_at: now.minus(report.crashed_ago),
        }));
    }

    /// Adds an answer to a suspected request.
    pub fn push_answer(&mut self, request: RequestFingerprint) {
        self.push(NewsItem::Answer(request));
    }

    /// Returns what is to be sent now; `None` if there is nothing.
    pub fn take(&mut self, now: BootTime) -> Option<SuspectNews> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut news = SuspectNews::default();
        for (item, sends_left) in &mut self.waiting {
            news.add(item, now);
            *sends_left -= 1;
        }
        self.waiting.retain(|(_, sends_left)| *sends_left > 0);
        Some(news)
    }

    fn push(&mut self, item: NewsItem) {
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back((item, SENDS));
    }
}

impl SuspectNews {
    fn add(&mut self, item: &NewsItem, now: BootTime) {
        match item {
            NewsItem::Crash(seen) => self.crashes.push(seen.report(now)),
            NewsItem::Answer(request) => self.answered.push(*request),
        }
    }
}
