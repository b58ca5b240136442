//! Servers that do not answer any host, by the reports of all hosts.

use {
    crate::{ids::ZoneName, time::BootTime},
    std::{collections::BTreeMap, time::Duration},
};

/// Time without any answer after which a server with requests counts as silent: several digests, and
/// within the two seconds in which the loss of a zone has to count.
const MIN_SILENCE: Duration = Duration::from_millis(1_000);

/// The same as a multiple of the server's mean service time, for servers that take longer than half a
/// second. At 3 times, the loss of a zone counted after 2.25 s; a slow server that is
/// mistaken for a silent one counts again with its next answer.
const SILENCE_FACTOR: f64 = 2.0;

/// Server about which the watch is asked.
#[derive(Clone, Copy, Debug)]
pub struct WatchedServer<'a> {
    /// Start of the server.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Mean time that a request runs there, in seconds.
    pub service_time: f64,
}

#[derive(Clone, Debug, Default)]
struct AnswerRecord {
    /// Incarnation and zone; `None` until the watch is first asked about the server.
    start: Option<(u64, ZoneName)>,
    /// When a report first showed requests in flight after the last answer.
    waiting_since: Option<BootTime>,
    is_silent: bool,
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

impl AnswerRecord {
    fn end_silence(&mut self) {
        self.waiting_since = None;
        self.is_silent = false;
    }
}

impl<K: Ord> AnswerWatch<K> {
    /// Records the requests of one host at a server: those in flight, and those answered since its last
    /// report.
    ///
    /// When a silent server answers, the other silent ones of its zone count again as well: they have
    /// most likely been lost by one cause, and too few requests are still sent to show it for each.
    pub fn record_load(&mut self, server: K, in_flight: u32, successes: u32, now: BootTime) {
        let record = self.records.entry(server).or_default();
        if successes == 0 {
            if in_flight > 0 {
                record.waiting_since.get_or_insert(now);
            }
            return;
        }
        let was_silent = record.is_silent;
        record.end_silence();
        let zone = record.start.as_ref().map(|(_, zone)| zone.clone());
        if !was_silent {
            return;
        }
        for record in self.records.values_mut() {
            let other = record.start.as_ref().map(|(_, zone)| zone);
            if record.is_silent && other == zone.as_ref() {
                record.end_silence();
            }
        }
    }

    /// Whether requests wait at this start of the server and it answers nobody. It stays silent until it or
    /// another silent server of its zone answers.
    pub fn is_silent(&mut self, id: &K, server: WatchedServer<'_>, now: BootTime) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let start = (server.incarnation, server.zone.clone());
        if let Some(known) = record.start.replace(start)
            && known.0 != server.incarnation
        {
            record.end_silence();
        }
        let limit = Duration::from_secs_f64(server.service_time * SILENCE_FACTOR).max(MIN_SILENCE);
        let since = record.waiting_since;
        record.is_silent = since.is_some_and(|since| now.since(since) >= limit);
        record.is_silent
    }

    /// Forgets servers for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.records.retain(|server, _| is_known(server));
    }
}
