//! Accepts each signed request once.

use {
    super::{KeyRing, RefusalReason, RequestLine, SignedHead},
    std::{
        collections::{BTreeSet, HashSet},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Limits of an [`OperatorAuthenticator`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthenticatorLimits {
    /// Largest difference between the request's time and this host's.
    pub window: Duration,
    /// Nonces remembered; further requests are refused until old ones expire.
    pub nonces: usize,
}

impl Default for AuthenticatorLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(60),
            nonces: 20_000,
        }
    }
}

/// Checks signatures, times and nonces, and counts refusals.
///
/// Only requests with a valid signature take space in the nonce table. A request
/// older than this process is refused, because its nonce may have been used
/// before the restart.
#[derive(Debug)]
pub struct OperatorAuthenticator {
    ring: KeyRing,
    limits: AuthenticatorLimits,
    started_millis: u64,
    nonces: Mutex<NonceTable>,
    refusals: [AtomicU64; RefusalReason::ALL.len()],
}

#[derive(Debug, Default)]
struct NonceTable {
    seen: HashSet<(String, [u8; 16])>,
    by_time: BTreeSet<(u64, String, [u8; 16])>,
    /// Latest time of a forgotten request. Requests up to it are refused, so that
    /// a clock set back does not make a forgotten nonce usable again.
    floor: u64,
}

impl OperatorAuthenticator {
    /// Authenticator of a process that started at `started_millis` of wall time.
    pub fn new(ring: KeyRing, limits: AuthenticatorLimits, started_millis: u64) -> Self {
        Self {
            ring,
            limits,
            started_millis,
            nonces: Mutex::default(),
            refusals: Default::default(),
        }
    }

    /// Accepts or refuses the signed part of a request at wall time `now_millis`.
    pub fn accept(
        &self,
        head: &SignedHead,
        line: RequestLine<'_>,
        now_millis: u64,
    ) -> Result<(), RefusalReason> {
        let Some(secret) = self.ring.secret(&head.key) else {
            return Err(RefusalReason::UnknownKey);
        };
        if !head.matches(secret, line) {
            return Err(RefusalReason::WrongSignature);
        }
        let window = self.window_millis();
        let distance = head.wall_millis.abs_diff(now_millis);
        if distance > window || head.wall_millis < self.started_millis {
            return Err(RefusalReason::StaleTime);
        }
        let mut table = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        table.forget_before(now_millis.saturating_sub(window));
        if head.wall_millis <= table.floor {
            return Err(RefusalReason::StaleTime);
        }
        table.insert(head, self.limits.nonces)
    }

    /// Counts a refusal.
    pub fn count(&self, reason: RefusalReason) {
        let index = RefusalReason::ALL.iter().position(|other| *other == reason);
        if let Some(counter) = index.and_then(|index| self.refusals.get(index)) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Refusals since the start, by reason.
    pub fn refusals(&self) -> Vec<(RefusalReason, u64)> {
        let counts = self
            .refusals
            .iter()
            .map(|count| count.load(Ordering::Relaxed));
        RefusalReason::ALL.into_iter().zip(counts).collect()
    }

    fn window_millis(&self) -> u64 {
        u64::try_from(self.limits.window.as_millis()).unwrap_or(u64::MAX)
    }
}

impl NonceTable {
    fn insert(&mut self, head: &SignedHead, limit: usize) -> Result<(), RefusalReason> {
        let entry = (head.key.clone(), head.nonce);
        if self.seen.contains(&entry) {
            return Err(RefusalReason::ReplayedNonce);
        }
        if self.seen.len() >= limit {
            return Err(RefusalReason::TooMany);
        }
        self.seen.insert(entry);
        let timed = (head.wall_millis, head.key.clone(), head.nonce);
        self.by_time.insert(timed);
        Ok(())
    }

    /// Forgets requests that would be refused for their time.
    fn forget_before(&mut self, millis: u64) {
        while let Some((time, key, nonce)) = self.by_time.pop_first() {
            if time >= millis {
                self.by_time.insert((time, key, nonce));
                return;
            }
            self.floor = self.floor.max(time);
            self.seen.remove(&(key, nonce));
        }
    }
}
