//! Promises of one host, for all scopes.

use {
    super::{PromiseReply, PromiseRequest, RefuseReason},
    crate::{
        ids::{Epoch, HostId, ServiceName},
        time::{BootTime, PROMISE_TTL, with_drift},
    },
    std::collections::HashMap,
};

/// Process that holds a term.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TermHolder {
    epoch: Epoch,
    controller: HostId,
    nonce: u64,
}

/// The only promise of a scope that may still be relied on.
#[derive(Clone, Debug)]
struct GivenPromise {
    holder: TermHolder,
    waited_out_at: BootTime,
}

/// What an elector knows of one scope.
#[derive(Clone, Debug, Default)]
struct ElectorRecord {
    read: bool,
    newest: Option<TermHolder>,
    given: Option<GivenPromise>,
}

/// Promises of one host, for all scopes; lives in memory only.
#[derive(Clone, Debug)]
pub struct ElectorTable {
    abstains_until: BootTime,
    scopes: HashMap<ServiceName, ElectorRecord>,
}

impl ElectorTable {
    /// Table of a process that started at `started_at`.
    ///
    /// An earlier process of this host may have given a promise just before, so
    /// the table abstains until such a promise has been waited out.
    pub fn new(started_at: BootTime) -> Self {
        Self {
            abstains_until: started_at + with_drift(PROMISE_TTL),
            scopes: HashMap::new(),
        }
    }

    /// Notes the term that the scope object names.
    ///
    /// If a term is already known to belong to another process, the first holder stays.
    pub fn scope_read(
        &mut self,
        service: &ServiceName,
        epoch: Epoch,
        controller: &HostId,
        nonce: u64,
        _now: BootTime,
    ) {
        let record = self.scopes.entry(service.clone()).or_default();
        record.read = true;
        record.learn(TermHolder {
            epoch,
            controller: controller.clone(),
            nonce,
        });
    }

    /// Whether the scope object was read since the process started.
    ///
    /// The daemon reads the object when an elector is asked about a scope that
    /// it has not read; without that it would abstain for good.
    pub fn has_read(&self, service: &ServiceName) -> bool {
        self.scopes.get(service).is_some_and(|record| record.read)
    }

    /// Answers a request for a promise.
    pub fn answer(&mut self, request: &PromiseRequest, now: BootTime) -> PromiseReply {
        let record = self.scopes.entry(request.service.clone()).or_default();
        record.learn(TermHolder {
            epoch: request.epoch,
            controller: request.controller.clone(),
            nonce: request.nonce,
        });
        if !record.read || now < self.abstains_until {
            return record.refuse(RefuseReason::Abstains);
        }
        record.answer(request, now)
    }
}

impl ElectorRecord {
    fn learn(&mut self, holder: TermHolder) {
        let newer = self
            .newest
            .as_ref()
            .is_none_or(|newest| newest.epoch < holder.epoch);
        if newer {
            self.newest = Some(holder);
        }
    }

    fn answer(&mut self, request: &PromiseRequest, now: BootTime) -> PromiseReply {
        let Some(newest) = self.newest.clone() else {
            return self.refuse(RefuseReason::Abstains);
        };
        if newest.epoch > request.epoch {
            return self.refuse(RefuseReason::HigherEpoch);
        }
        if newest.controller != request.controller || newest.nonce != request.nonce {
            return self.refuse(RefuseReason::OtherHolder);
        }
        if self.is_bound_elsewhere(&newest, request.resigned, now) {
            return self.refuse(RefuseReason::PromisedElsewhere);
        }
        self.given = Some(GivenPromise {
            holder: newest,
            waited_out_at: now + with_drift(PROMISE_TTL),
        });
        PromiseReply::Promised
    }

    fn is_bound_elsewhere(
        &self,
        holder: &TermHolder,
        resigned: Option<Epoch>,
        now: BootTime,
    ) -> bool {
        let Some(given) = &self.given else {
            return false;
        };
        given.holder != *holder && now < given.waited_out_at && resigned != Some(given.holder.epoch)
    }

    fn refuse(&self, reason: RefuseReason) -> PromiseReply {
        let known = self
            .newest
            .as_ref()
            .map_or(Epoch::default(), |newest| newest.epoch);
        PromiseReply::Refused { reason, known }
    }
}
