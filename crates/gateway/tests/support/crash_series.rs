//! Requests that come again and again and crash each server which begins to run them.

use {
    super::{
        soak_callers::{CallerLedger, call_in_time, status_of},
        soak_host::SoakHost,
        soak_servers::SoakServers,
    },
    camphorcove_platform_standin::{
        caller::{key_header, request},
        crash_trigger::{CrashClose, CrashTrigger},
        owning_server::OwnershipLedger,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Number of crashes by one request after which hosts are to withhold it.
const CRASHES_KNOWN: usize = 3;

/// Time after that crash in which all hosts are to learn of it, and for which a host is excused
/// after it was restarted, stopped, frozen or cut off.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Further times that the request may reach a server then.
const MAX_LATER_CRASHES: usize = 3;

/// Length of a series and the pause between its requests, in milliseconds.
const SERIES_TIME_MS: std::ops::Range<u64> = 6_000..12_000;
const PAUSE_MS: std::ops::Range<u64> = 50..400;

/// What a series needs of the run.
#[derive(Clone)]
pub struct SeriesContext {
    pub hosts: Vec<Arc<SoakHost>>,
    pub servers: SoakServers,
    pub ownership_ledger: OwnershipLedger,
    pub caller_ledger: Arc<Mutex<CallerLedger>>,
}

/// A request that crashes servers, or one that differs from it in one point.
#[derive(Clone)]
struct RepeatedRequest {
    trigger: CrashTrigger,
    /// Header line with the key, or nothing.
    key: String,
}

/// A running series of requests.
pub struct CrashSeries {
    harmful: RepeatedRequest,
    task: JoinHandle<SeriesRecord>,
}

/// What was sent in a series.
#[derive(Default)]
struct SeriesRecord {
    /// Host to which each harmful request was sent, by request id.
    hosts: HashMap<String, usize>,
    /// Harmless requests sent and refused while no server was down.
    harmless: usize,
    harmless_refused: usize,
}

impl CrashSeries {
    /// Starts series `number` of the run.
    pub fn start(number: usize, random: &mut ChaCha8Rng, context: &SeriesContext) -> Self {
        let (method, route, keyed) = match random.random_range(0..4) {
            0 => ("GET", "read", false),
            1 => ("POST", "write", false),
            2 => ("GET", "key", true),
            _ => ("POST", "claim", true),
        };
        let trigger = CrashTrigger {
            method: method.into(),
            path: format!("/{route}/crash-{number}"),
            cookie: format!("session={number}"),
            body: match method {
                "POST" => format!("content {number}"),
                _ => String::new(),
            },
        };
        let key = match keyed {
            true => key_header(random.random_range(0..65_536)),
            false => String::new(),
        };
        let close = match random.random_bool(0.5) {
            true => CrashClose::Regular,
            false => CrashClose::Reset,
        };
        let duration = Duration::from_millis(random.random_range(SERIES_TIME_MS));
        context.ownership_ledger.add_trigger(trigger.clone(), close);
        let harmful = RepeatedRequest { trigger, key };
        let random = ChaCha8Rng::seed_from_u64(random.random());
        let sending = send_series(number, harmful.clone(), duration, random, context.clone());
        Self {
            harmful,
            task: tokio::spawn(sending),
        }
    }

    /// Waits for the end of the series, prints what came of it, and returns the violations.
    pub async fn finish(&mut self, context: &SeriesContext) -> Vec<String> {
        let record = (&mut self.task).await.expect("the series ends");
        let path = &self.harmful.trigger.path;
        let crashes = context.ownership_ledger.crashes(&self.harmful.trigger);
        let known_at = crashes
            .get(CRASHES_KNOWN - 1)
            .map(|crash| crash.at + NOTICE_TIME);
        let is_late = |at: Instant, request: &String| {
            let host = &context.hosts[record.hosts[request]];
            known_at.is_some_and(|known_at| at > known_at)
                && !host.was_disturbed(at - NOTICE_TIME, at)
        };
        let late = crashes
            .iter()
            .filter(|crash| is_late(crash.at, &crash.request))
            .count();
        println!(
            "{path}: sent {} times, {} crashes, {late} after hosts could know; harmless requests \
             beside it while no server was down: {}, refused {}",
            record.hosts.len(),
            crashes.len(),
            record.harmless,
            record.harmless_refused
        );
        match late > MAX_LATER_CRASHES {
            true => vec![format!(
                "{path} reached servers {late} times after {CRASHES_KNOWN} crashes"
            )],
            false => Vec::new(),
        }
    }

    /// Whether all hosts serve requests that only resemble the harmful one.
    pub async fn serves_similar(&self, context: &SeriesContext) -> bool {
        for (number, host) in context.hosts.iter().enumerate() {
            for (difference, similar) in self.harmful.similar_requests() {
                let id = format!("after-{}-{number}-{difference}", self.harmful.trigger.path);
                if status_of(host.callers, &similar.text(&id)).await != Some(200) {
                    return false;
                }
            }
        }
        true
    }
}

async fn send_series(
    number: usize,
    harmful: RepeatedRequest,
    duration: Duration,
    mut random: ChaCha8Rng,
    context: SeriesContext,
) -> SeriesRecord {
    let mut record = SeriesRecord::default();
    let ends_at = Instant::now() + duration;
    for sent in 0.. {
        if Instant::now() >= ends_at {
            break;
        }
        let host = random.random_range(0..context.hosts.len());
        let id = format!("x-{number}-{sent}");
        record.hosts.insert(id.clone(), host);
        harmful.send(&id, host, &context).await;
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let similar = harmful.similar_requests();
        let (difference, similar) = &similar[random.random_range(0..similar.len())];
        let id = format!("y-{number}-{sent}-{difference}");
        let from = Instant::now();
        let status = similar.send(&id, host, &context).await;
        if context.servers.any_down(from, Instant::now()) {
            continue;
        }
        record.harmless += 1;
        record.harmless_refused += usize::from(matches!(status, Some(408 | 421 | 429 | 503)));
    }
    record
}

impl RepeatedRequest {
    fn text(&self, id: &str) -> String {
        let CrashTrigger {
            method,
            path,
            cookie,
            body,
        } = &self.trigger;
        let extra = format!("Cookie: {cookie}\r\n{}", self.key);
        request(method, path, id, &extra, body)
    }

    /// Sends the request and records it like those of other callers; returns the status.
    async fn send(&self, id: &str, host: usize, context: &SeriesContext) -> Option<u16> {
        let lock = || context.caller_ledger.lock().expect("not poisoned");
        if self.trigger.method == "POST" {
            lock().at_most_once.insert(id.to_owned());
        }
        let response = call_in_time(context.hosts[host].callers, &self.text(id)).await;
        lock().record(id, response)
    }

    /// Harmless requests with another path, cookie or body, each named by the difference.
    fn similar_requests(&self) -> Vec<(&'static str, Self)> {
        let vary = |change: fn(&mut String), part: fn(&mut CrashTrigger) -> &mut String| {
            let mut similar = self.clone();
            change(part(&mut similar.trigger));
            similar
        };
        let extend = |text: &mut String| text.push('0');
        let mut similar = vec![
            ("path", vary(extend, |trigger| &mut trigger.path)),
            ("cookie", vary(extend, |trigger| &mut trigger.cookie)),
        ];
        if self.trigger.method == "POST" {
            similar.push(("body", vary(extend, |trigger| &mut trigger.body)));
        }
        similar
    }
}
