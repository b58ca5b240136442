//! Keys that their owners have refused as not their own.

use {
    crate::{ids::ServerId, time::BootTime},
    std::{collections::HashMap, time::Duration},
};

/// Time for which a range that its owner has refused gets no requests. The assignment shows a new
/// owner of the range earlier, unless datagrams are lost.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Ranges that a server has refused within `REFUSAL_PAUSE`, without serving any, from which all its
/// keys are stopped: another server has most likely taken its address.
const MAX_REFUSED_RANGES: usize = 3;

/// What a refusal tells about the server at the owner's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalScope {
    /// The owner may have lost the range only.
    Range,
    /// Another server is known to have the address, so that the refusal concerns all keys.
    Address,
}

/// Refusals of one server.
#[derive(Clone, Debug, Default)]
struct ServerRefusals {
    /// Fencing tokens of the refused ranges, each with the end of its pause.
    ranges: Vec<(u64, BootTime)>,
    /// Ranges refused since the server last ran a request.
    unserved: usize,
    /// End of the pause of all keys.
    all_until: Option<BootTime>,
}

/// Ranges and servers that get no keyed requests for a moment, as the owner has refused a key.
#[derive(Clone, Debug, Default)]
pub struct RefusalTable {
    servers: HashMap<ServerId, ServerRefusals>,
}

impl RefusalTable {
    /// Records that a server refused a key of the range that it owns under `token`.
    pub fn record(&mut self, server: &ServerId, token: u64, scope: RefusalScope, now: BootTime) {
        self.servers.retain(|_, refusals| refusals.is_current(now));
        let refusals = self.servers.entry(server.clone()).or_default();
        let until = now + REFUSAL_PAUSE;
        let is_known = refusals.ranges.iter().any(|(range, _)| *range == token);
        refusals.unserved += usize::from(!is_known);
        refusals
            .ranges
            .retain(|(range, end)| *range != token && now < *end);
        refusals.ranges.push((token, until));
        let refuses_all = refusals.unserved >= MAX_REFUSED_RANGES;
        if scope == RefusalScope::Address || refuses_all {
            refusals.all_until = Some(until);
        }
    }

    /// Records that a server has run a request, so it has its address and owns keys.
    pub fn record_served(&mut self, server: &ServerId) {
        if self.servers.is_empty() {
            return;
        }
        if let Some(refusals) = self.servers.get_mut(server) {
            refusals.all_until = None;
            refusals.unserved = 0;
        }
    }

    /// Whether no request for a key of the range that `server` owns under `token` is to be sent.
    pub fn stops(&self, server: &ServerId, token: u64, now: BootTime) -> bool {
        let Some(refusals) = self.servers.get(server) else {
            return false;
        };
        let mut ranges = refusals.ranges.iter();
        refusals.all_until.is_some_and(|until| now < until)
            || ranges.any(|(range, until)| *range == token && now < *until)
    }

    /// Forgets all refusals, as after a change of the assignment.
    pub fn clear(&mut self) {
        self.servers.clear();
    }
}

impl ServerRefusals {
    fn is_current(&self, now: BootTime) -> bool {
        self.ranges.iter().any(|(_, until)| now < *until)
    }
}
