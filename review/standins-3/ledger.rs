//! What all servers of a keyed service hold and run, and where the rules of ownership are broken.

use crate::record::Record;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time for which two servers may hold the same keys.
const HELD_TOGETHER: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub struct Hold {
    pub from: u16,
    pub to: u16,
    pub fence: u64,
    /// When the hold runs out.
    pub until: Instant,
    pub since: Instant,
}

#[derive(Clone, Debug)]
struct Run {
    server: usize,
    key: u16,
    request: String,
    /// When the hold under which the run began would run out, as of the latest grant.
    hold_until: Instant,
}

#[derive(Default)]
struct Inner {
    holds: HashMap<usize, Vec<Hold>>,
    runs: HashMap<u64, Run>,
    next_run: u64,
    names: HashMap<usize, String>,
    broken: Vec<String>,
    /// Pairs of servers, with the time since which they hold a key together.
    together: HashMap<(usize, usize), Instant>,
}

pub struct Ledger {
    inner: Mutex<Inner>,
    record: Record,
}

impl Ledger {
    pub fn new(record: Record) -> Ledger {
        Ledger {
            inner: Mutex::default(),
            record,
        }
    }

    pub fn name(&self, server: usize, name: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.names.insert(server, name.to_owned());
    }

    /// Records a grant that a server has accepted.
    pub fn grant(&self, server: usize, hold: Hold) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let mut broken = Vec::new();
        for run in inner.runs.values() {
            let is_other = run.server != server;
            let is_granted = (hold.from..=hold.to).contains(&run.key);
            if is_other && is_granted && run.hold_until > now {
                let left = run.hold_until - now;
                broken.push(format!(
                    "BROKEN OWNER: {} is given keys {} to {} (fence {}) while {} is still at work on key {} ({}), whose hold would have run {:.3} s longer",
                    inner.names[&server], hold.from, hold.to, hold.fence,
                    inner.names[&run.server], run.key, run.request, left.as_secs_f64()
                ));
            }
        }
        for run in inner.runs.values_mut() {
            if run.server == server && (hold.from..=hold.to).contains(&run.key) {
                run.hold_until = run.hold_until.max(hold.until);
            }
        }
        for line in broken {
            self.record.line(&line);
            inner.broken.push(line);
        }
        let holds = inner.holds.entry(server).or_default();
        let mut kept = Vec::new();
        let mut since = hold.since;
        for old in holds.drain(..) {
            if old.until <= now {
                continue;
            }
            if old.to < hold.from || old.from > hold.to {
                kept.push(old);
                continue;
            }
            since = since.min(old.since);
            if old.from < hold.from {
                let mut lower = old.clone();
                lower.to = hold.from - 1;
                kept.push(lower);
            }
            if old.to > hold.to {
                let mut upper = old.clone();
                upper.from = hold.to + 1;
                kept.push(upper);
            }
        }
        kept.push(Hold { since, ..hold });
        *holds = kept;
    }

    /// Records that a server gives keys back.
    pub fn release(&self, server: usize, from: u16, to: u16) {
        let mut inner = self.inner.lock().unwrap();
        let holds = inner.holds.entry(server).or_default();
        let mut kept = Vec::new();
        for old in holds.drain(..) {
            if old.to < from || old.from > to {
                kept.push(old);
                continue;
            }
            if old.from < from {
                let mut lower = old.clone();
                lower.to = from - 1;
                kept.push(lower);
            }
            if old.to > to {
                let mut upper = old.clone();
                upper.from = to + 1;
                kept.push(upper);
            }
        }
        *holds = kept;
    }

    /// Forgets a server that has ended.
    pub fn end(&self, server: usize) {
        let mut inner = self.inner.lock().unwrap();
        inner.holds.remove(&server);
        inner.runs.retain(|_, run| run.server != server);
    }

    pub fn holds(&self, server: usize, key: u16) -> Option<Instant> {
        let inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let holds = inner.holds.get(&server)?;
        let hold = holds
            .iter()
            .find(|hold| (hold.from..=hold.to).contains(&key) && hold.until > now)?;
        Some(hold.until)
    }

    /// Records the begin of a run; returns its number.
    pub fn begin(&self, server: usize, key: u16, request: &str, hold_until: Instant) -> u64 {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let mut others = Vec::new();
        for (other, holds) in &inner.holds {
            let has = holds
                .iter()
                .any(|hold| (hold.from..=hold.to).contains(&key) && hold.until > now);
            if *other != server && has {
                others.push(*other);
            }
        }
        for other in others {
            let line = format!(
                "BROKEN OWNER: {} begins {request} on key {key} while {} holds it",
                inner.names[&server], inner.names[&other]
            );
            self.record.line(&line);
            inner.broken.push(line);
        }
        let number = inner.next_run;
        inner.next_run += 1;
        inner.runs.insert(
            number,
            Run {
                server,
                key,
                request: request.to_owned(),
                hold_until,
            },
        );
        number
    }

    pub fn finish(&self, run: u64) {
        self.inner.lock().unwrap().runs.remove(&run);
    }

    /// Number of runs of a server on these keys.
    pub fn running(&self, server: usize, from: u16, to: u16) -> usize {
        let inner = self.inner.lock().unwrap();
        let runs = inner.runs.values();
        runs.filter(|run| run.server == server && (from..=to).contains(&run.key))
            .count()
    }

    /// Number of key ranges that a server holds.
    pub fn ranges(&self, server: usize) -> usize {
        let inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let holds = inner.holds.get(&server);
        holds.map_or(0, |holds| {
            holds.iter().filter(|hold| hold.until > now).count()
        })
    }

    /// Looks for servers that hold the same keys for too long; to be called often.
    pub fn check(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let mut pairs = Vec::new();
        for (left, left_holds) in &inner.holds {
            for (right, right_holds) in &inner.holds {
                if left >= right {
                    continue;
                }
                let meets = left_holds.iter().any(|one| {
                    one.until > now
                        && right_holds
                            .iter()
                            .any(|two| two.until > now && one.from <= two.to && two.from <= one.to)
                });
                if meets {
                    pairs.push((*left, *right));
                }
            }
        }
        inner.together.retain(|pair, _| pairs.contains(pair));
        for pair in pairs {
            let since = *inner.together.entry(pair).or_insert(now);
            if now.duration_since(since) > HELD_TOGETHER {
                let line = format!(
                    "BROKEN OWNER: {} and {} have held the same keys for over half a second",
                    inner.names[&pair.0], inner.names[&pair.1]
                );
                self.record.line(&line);
                inner.broken.push(line);
                inner.together.insert(pair, now + Duration::from_secs(3600));
            }
        }
    }

    pub fn broken(&self) -> usize {
        self.inner.lock().unwrap().broken.len()
    }
}
