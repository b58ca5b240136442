//! Promises that one host has given as an elector, for all scopes.

use {
    super::{PromiseReply, PromiseRequest, RefuseReason},
    crate::{
        ids::{Epoch, HostId, ServiceName},
        time::{BootTime, PROMISE_TTL, with_drift},
    },
    std::collections::HashMap,
};

/// A term and the controller process that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TermHolder {
    epoch: Epoch,
    controller: HostId,
    nonce: u64,
}

/// The promise of a scope that a controller may still rely on; there is at most one.
#[derive(Clone, Debug)]
struct ActivePromise {
    holder: TermHolder,
    /// Includes the bound on clock drift between hosts.
    expires_at: BootTime,
}

/// What an elector knows about one scope.
#[derive(Clone, Debug, Default)]
struct ElectorScope {
    /// The scope object was read since the process started.
    object_read: bool,
    /// Highest term seen in the scope object or in a request.
    newest_term: Option<TermHolder>,
    active_promise: Option<ActivePromise>,
}

/// Promises that one host has given as an elector, for all scopes; kept in memory only.
#[derive(Clone, Debug)]
pub struct ElectorTable {
    abstains_until: BootTime,
    scopes: HashMap<ServiceName, ElectorScope>,
}

impl ElectorTable {
    /// Creates the table of a process that started at `started_at`.
    ///
    /// The previous process of this host may have given a promise just before it
    /// ended, so the table abstains until such a promise has expired.
    pub fn new(started_at: BootTime) -> Self {
        Self {
            abstains_until: started_at + with_drift(PROMISE_TTL),
            scopes: HashMap::new(),
        }
    }

    /// Records the term and the controller that the scope object names.
    ///
    /// If the term is already known with another holder, the first holder stays.
    pub fn record_scope_object(
        &mut self,
        service: &ServiceName,
        epoch: Epoch,
        controller: &HostId,
        nonce: u64,
        _now: BootTime,
    ) {
        let scope = self.scopes.entry(service.clone()).or_default();
        scope.object_read = true;
        scope.observe_term(TermHolder {
            epoch,
            controller: controller.clone(),
            nonce,
        });
    }

    /// Whether the scope object was read since the process started.
    ///
    /// The daemon reads the object when the elector is asked about a scope that
    /// it has not read; without that read the elector would abstain forever.
    pub fn has_read_scope_object(&self, service: &ServiceName) -> bool {
        self.scopes
            .get(service)
            .is_some_and(|scope| scope.object_read)
    }

    /// Answers a promise request and records the promise, if one is given.
    pub fn answer(&mut self, request: &PromiseRequest, now: BootTime) -> PromiseReply {
        let scope = self.scopes.entry(request.service.clone()).or_default();
        scope.observe_term(TermHolder {
            epoch: request.epoch,
            controller: request.controller.clone(),
            nonce: request.nonce,
        });
        if !scope.object_read || now < self.abstains_until {
            return scope.refuse(RefuseReason::Abstains);
        }
        scope.answer(request, now)
    }
}

impl ElectorScope {
    fn observe_term(&mut self, holder: TermHolder) {
        let newer = self
            .newest_term
            .as_ref()
            .is_none_or(|newest_term| newest_term.epoch < holder.epoch);
        if newer {
            self.newest_term = Some(holder);
        }
    }

    fn answer(&mut self, request: &PromiseRequest, now: BootTime) -> PromiseReply {
        let Some(newest_term) = self.newest_term.clone() else {
            return self.refuse(RefuseReason::Abstains);
        };
        if newest_term.epoch > request.epoch {
            return self.refuse(RefuseReason::HigherEpoch);
        }
        if newest_term.controller != request.controller || newest_term.nonce != request.nonce {
            return self.refuse(RefuseReason::OtherHolder);
        }
        if self.is_promised_elsewhere(&newest_term, request.resigned, now) {
            return self.refuse(RefuseReason::PromisedElsewhere);
        }
        self.active_promise = Some(ActivePromise {
            holder: newest_term,
            expires_at: now + with_drift(PROMISE_TTL),
        });
        PromiseReply::Promised
    }

    /// Whether a promise for another holder is still binding.
    ///
    /// A promise for the term `resigned` is not, because its controller resigned.
    fn is_promised_elsewhere(
        &self,
        holder: &TermHolder,
        resigned: Option<Epoch>,
        now: BootTime,
    ) -> bool {
        let Some(active_promise) = &self.active_promise else {
            return false;
        };
        active_promise.holder != *holder
            && now < active_promise.expires_at
            && resigned != Some(active_promise.holder.epoch)
    }

    fn refuse(&self, reason: RefuseReason) -> PromiseReply {
        let known = self
            .newest_term
            .as_ref()
            .map_or(Epoch::default(), |newest_term| newest_term.epoch);
        PromiseReply::Refused { reason, known }
    }
}
