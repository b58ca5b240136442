//! Servers that do not answer any host, by the reports of all hosts.

use {
    crate::time::BootTime,
    std::{collections::BTreeMap, time::Duration},
};

/// Time without any answer after which a server with requests counts as silent: several digests, and
/// within the two seconds in which the loss of a zone has to count.
const MIN_SILENCE: Duration = Duration::from_millis(1_000);

/// The same as a multiple of the server's mean service time; work takes up to three times as long on
/// shared machines.
const SILENCE_FACTOR: f64 = 3.0;

#[derive(Clone, Copy, Debug, Default)]
struct AnswerRecord {
    /// `None` until it is first asked about.
    incarnation: Option<u64>,
    /// When a report first showed requests in flight after the last answer.
    waiting_since: Option<BootTime>,
}

/// What reports show about the answers of each server, known by a `K`.
#[derive(Clone, Debug)]
pub struct AnswerWatch<K> {
    records: BTreeMap<K, AnswerRecord>,
}

impl<K: Ord> Default for AnswerWatch<K> {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
        }
    }
}

impl<K: Ord> AnswerWatch<K> {
    /// Records the requests of one host at a server: those in flight, and those answered since its last
    /// report.
    pub fn record_load(&mut self, server: K, in_flight: u32, successes: u32, now: BootTime) {
        let record = self.records.entry(server).or_default();
        if successes > 0 {
            record.waiting_since = None;
        } else if in_flight > 0 {
            record.waiting_since.get_or_insert(now);
        }
    }

    /// Whether requests wait at this start of the server and it answers nobody. It stays silent until it answers;
    /// `service_time` is the mean time of a request there, in seconds.
    pub fn is_silent(
        &mut self,
        server: &K,
        incarnation: u64,
        service_time: f64,
        now: BootTime,
    ) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let known = record.incarnation.replace(incarnation);
        if known.is_some_and(|known| known != incarnation) {
            record.waiting_since = None;
        }
        let longest = MIN_SILENCE.max(Duration::from_secs_f64(service_time * SILENCE_FACTOR));
        record
            .waiting_since
            .is_some_and(|since| now.since(since) >= longest)
    }

    /// Forgets servers for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.records.retain(|server, _| is_known(server));
    }
}
