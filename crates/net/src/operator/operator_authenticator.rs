//! Authenticates operator requests and rejects replays.

use {
    super::{KeyRing, RefusalReason, RequestLine, RequestSignature},
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
    /// Maximum difference between the time of a request and this host's clock.
    pub window: Duration,
    /// Maximum number of nonces kept; when it is reached, requests are refused until
    /// older nonces expire.
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

/// Checks the signature, time and nonce of requests, and counts refusals.
///
/// Only the nonces of correctly signed requests are stored, so requests without a
/// valid key cannot fill the table. A request signed before this process started is
/// refused: its nonce may have been used before the restart, which cleared the
/// table.
#[derive(Debug)]
pub struct OperatorAuthenticator {
    ring: KeyRing,
    limits: AuthenticatorLimits,
    started_millis: u64,
    nonces: Mutex<NonceTable>,
    refusals: [AtomicU64; RefusalReason::ALL.len()],
}

/// Nonces of the accepted requests within the time window, each with its key id: once
/// for look-up and once in the order of the request times.
#[derive(Debug, Default)]
struct NonceTable {
    seen: HashSet<(String, [u8; 16])>,
    by_time: BTreeSet<(u64, String, [u8; 16])>,
    /// Latest time of a request whose nonce was removed. Requests with this time or
    /// an earlier one are refused, so that a removed nonce cannot be replayed after
    /// the host's clock was set back.
    newest_expired_millis: u64,
}

impl OperatorAuthenticator {
    /// Creates the authenticator of a process that started at the wall time
    /// `started_millis`.
    pub fn new(ring: KeyRing, limits: AuthenticatorLimits, started_millis: u64) -> Self {
        Self {
            ring,
            limits,
            started_millis,
            nonces: Mutex::default(),
            refusals: Default::default(),
        }
    }

    /// Accepts or refuses a request at the wall time `now_millis`. The nonce of an
    /// accepted request is stored.
    pub fn accept(
        &self,
        signature: &RequestSignature,
        line: RequestLine<'_>,
        now_millis: u64,
    ) -> Result<(), RefusalReason> {
        let Some(secret) = self.ring.secret(&signature.key) else {
            return Err(RefusalReason::UnknownKey);
        };
        if !signature.matches(secret, line) {
            return Err(RefusalReason::WrongSignature);
        }
        let window = self.window_millis();
        let time_difference = signature.wall_millis.abs_diff(now_millis);
        if time_difference > window || signature.wall_millis < self.started_millis {
            return Err(RefusalReason::StaleTime);
        }
        let mut table = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        table.expire_before(now_millis.saturating_sub(window));
        if signature.wall_millis <= table.newest_expired_millis {
            return Err(RefusalReason::StaleTime);
        }
        table.insert(signature, self.limits.nonces)
    }

    /// Counts a refused request. [`Self::accept`] does not count, because a request
    /// can also be refused before or after that check.
    pub fn count(&self, reason: RefusalReason) {
        let index = RefusalReason::ALL.iter().position(|other| *other == reason);
        if let Some(counter) = index.and_then(|index| self.refusals.get(index)) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of refused requests since the start, by reason.
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
    /// Stores the nonce of a request unless it is known or the table is full.
    fn insert(&mut self, signature: &RequestSignature, limit: usize) -> Result<(), RefusalReason> {
        let entry = (signature.key.clone(), signature.nonce);
        if self.seen.contains(&entry) {
            return Err(RefusalReason::ReplayedNonce);
        }
        if self.seen.len() >= limit {
            return Err(RefusalReason::TooMany);
        }
        self.seen.insert(entry);
        let nonce_by_time = (
            signature.wall_millis,
            signature.key.clone(),
            signature.nonce,
        );
        self.by_time.insert(nonce_by_time);
        Ok(())
    }

    /// Removes the nonces of requests older than `millis`, which are refused for their
    /// time.
    fn expire_before(&mut self, millis: u64) {
        while let Some((time, key, nonce)) = self.by_time.pop_first() {
            if time >= millis {
                self.by_time.insert((time, key, nonce));
                return;
            }
            self.newest_expired_millis = self.newest_expired_millis.max(time);
            self.seen.remove(&(key, nonce));
        }
    }
}
