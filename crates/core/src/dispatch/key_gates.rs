//! Lets the share of requests for hot keys through that the leader lists.

use {
    super::{AdmittedShare, KeyShare},
    crate::{ids::ServiceName, time::BootTime},
    std::{collections::HashMap, time::Duration},
};

/// Time for which a host relies on the leader's list: a change of leader takes less, and hot keys
/// stay hot for several seconds. Without a list, the load of the owner alone decides.
const LIST_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Decision on a request by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The key has no more requests than its owner can take.
    NotHot,
    /// The request belongs to the share that may be sent.
    Admitted,
    /// The request is more than the owner can take.
    Refused(AdmittedShare),
}

#[derive(Clone, Copy, Debug)]
struct KeyGate {
    share: AdmittedShare,
    /// Part of a request that may pass already; the next request passes when it reaches 1.
    credit: f64,
}

/// Hot keys, as the leader has last listed them.
#[derive(Clone, Debug, Default)]
pub struct KeyGates {
    gates: HashMap<ServiceName, HashMap<u16, KeyGate>>,
    listed_at: BootTime,
}

impl KeyGates {
    /// Replaces the list. `phase`, a random number in 0..1, keeps hosts from sending the first requests
    /// for a new hot key together.
    pub fn set_shares(&mut self, shares: &[KeyShare], phase: f64, now: BootTime) {
        let earlier = std::mem::take(&mut self.gates);
        for listed in shares {
            let known = earlier
                .get(&listed.service)
                .and_then(|gates| gates.get(&listed.key));
            let gate = KeyGate {
                share: listed.share,
                credit: known.map_or(phase, |gate| gate.credit),
            };
            let gates = self.gates.entry(listed.service.clone()).or_default();
            gates.insert(listed.key, gate);
        }
        self.listed_at = now;
    }

    /// Asks for a request to pass.
    pub fn admit(&mut self, service: &ServiceName, key: u16, now: BootTime) -> KeyAdmission {
        if now.since(self.listed_at) >= LIST_MAX_AGE {
            return KeyAdmission::NotHot;
        }
        let gate = self
            .gates
            .get_mut(service)
            .and_then(|gates| gates.get_mut(&key));
        let Some(gate) = gate else {
            return KeyAdmission::NotHot;
        };
        gate.credit += gate.share.fraction();
        if gate.credit < 1.0 {
            return KeyAdmission::Refused(gate.share);
        }
        gate.credit -= 1.0;
        KeyAdmission::Admitted
    }

    /// Number of hot keys; zero if the list is too old.
    pub fn count(&self, now: BootTime) -> usize {
        match now.since(self.listed_at) < LIST_MAX_AGE {
            true => self.gates.values().map(HashMap::len).sum(),
            false => 0,
        }
    }
}
