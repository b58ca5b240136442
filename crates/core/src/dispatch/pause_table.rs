//! Times for which servers want no requests from this host.

use {
    crate::{fleet::ServerEntry, ids::ServerId, time::BootTime},
    std::{collections::HashMap, time::Duration},
};

/// Longest pause that a server can name. Servers recover within seconds, so it is generous; a
/// mistyped or malformed number would otherwise take a server out of use until it starts again.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Time that is added to the rest of a pause in answers to callers: they are told hundredths of
/// seconds, and come back after the end, not at it.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Time over which callers are spread that come back after a pause. A server that has just
/// recovered would get all of them at once otherwise.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct ServerPause {
    incarnation: u64,
    end: BootTime,
}

/// Pauses that servers have named to this host, each for one start of its server.
#[derive(Clone, Debug, Default)]
pub struct PauseTable {
    pauses: HashMap<ServerId, ServerPause>,
}

impl PauseTable {
    /// Records a pause that a server names. The latest end counts. Returns the time left if the
    /// server was not paused before.
    pub fn record(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        pause: Duration,
        now: BootTime,
    ) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let end = now + pause;
        let known = self.pauses.get(server).copied();
        let is_outdated = known.is_some_and(|known| known.incarnation > incarnation);
        if pause.is_zero() || is_outdated {
            return None;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let end = known.map_or(end, |known| known.end.max(end));
        let pause_named = ServerPause { incarnation, end };
        self.pauses.insert(server.clone(), pause_named);
        let was_paused = known.is_some_and(|known| now < known.end);
        (!was_paused).then_some(pause)
    }

    /// Time for which a server still wants no requests; `None` if it takes them.
    pub fn time_left(&self, entry: &ServerEntry, now: BootTime) -> Option<Duration> {
        let pause = self.pauses.get(&entry.id)?;
        let is_paused = pause.incarnation == entry.incarnation && now < pause.end;
        is_paused.then(|| pause.end.since(now))
    }

    /// Forgets the pauses that are over and returns their servers.
    pub fn expire(&mut self, now: BootTime) -> Vec<ServerId> {
        let mut ended = Vec::new();
        self.pauses.retain(|server, pause| {
            let is_paused = now < pause.end;
            if !is_paused {
                ended.push(server.clone());
            }
            is_paused
        });
        ended
    }

    /// Number of servers that want no requests.
    pub fn count(&self, now: BootTime) -> usize {
        let paused = |pause: &&ServerPause| now < pause.end;
        self.pauses.values().filter(paused).count()
    }
}

/// Time after which the caller of a request should retry that a pause of `left` kept from its server.
/// `spread` is a random number in 0..1.
pub fn retry_after_pause(left: Duration, spread: f64) -> Duration {
    left + RETURN_MARGIN + RETURN_SPREAD.mul_f64(spread)
}
