//! The leader's decision as a host applies it.

use {
    crate::{
        dispatch::ZoneTransfer,
        ids::{ServiceName, ZoneName},
        time::BootTime,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a host uses a decision: a change of leader takes less.
const DECISION_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Zone whose servers a request is to go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestZone {
    /// No recent decision; the host weighs all servers.
    Undecided,
    /// The host's own zone.
    Own,
    /// Another zone.
    Other(ZoneName),
}

/// Requests for one service that leave for one zone.
#[derive(Clone, Debug)]
struct Outflow {
    to: ZoneName,
    share: f64,
    /// Part of a request that is due; the next request leaves when it reaches 1.
    credit: f64,
}

/// Decision for the requests that arrive in this host's zone.
#[derive(Clone, Debug)]
pub struct TransferTable {
    zone: ZoneName,
    outflows: BTreeMap<ServiceName, Vec<Outflow>>,
    /// All transfers of the last decision, for a successor of the leader.
    transfers: Vec<ZoneTransfer>,
    /// When the last decision arrived.
    decided_at: Option<BootTime>,
}

impl TransferTable {
    /// Table of a host in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            outflows: BTreeMap::new(),
            transfers: Vec::new(),
            decided_at: None,
        }
    }

    /// Adopts the transfers of a digest. An empty list is no decision: the leader is of an earlier build,
    /// or it does not have the reports of all hosts yet. `phase`, a random number in 0..1, keeps hosts
    /// from sending their first requests together.
    pub fn set_transfers(&mut self, transfers: Vec<ZoneTransfer>, phase: f64, now: BootTime) {
        if transfers.is_empty() {
            return;
        }
        let mut outflows = BTreeMap::<ServiceName, Vec<Outflow>>::new();
        for transfer in &transfers {
            if transfer.from != self.zone || transfer.to == self.zone {
                continue;
            }
            let known = self.outflows.get(&transfer.service);
            let known = known.and_then(|known| known.iter().find(|old| old.to == transfer.to));
            let outflow = Outflow {
                to: transfer.to.clone(),
                share: transfer.share.fraction(),
                credit: known.map_or(phase, |known| known.credit),
            };
            let service = transfer.service.clone();
            outflows.entry(service).or_default().push(outflow);
        }
        self.outflows = outflows;
        self.transfers = transfers;
        self.decided_at = Some(now);
    }

    /// Whether the last decision still applies.
    pub fn is_decided(&self, now: BootTime) -> bool {
        self.decided_at
            .is_some_and(|at| now.since(at) < DECISION_MAX_AGE)
    }

    /// Zone for the next request.
    pub fn next_zone(&mut self, service: &ServiceName, now: BootTime) -> RequestZone {
        if !self.is_decided(now) {
            return RequestZone::Undecided;
        }
        let Some(outflows) = self.outflows.get_mut(service) else {
            return RequestZone::Own;
        };
        let mut due: Option<&mut Outflow> = None;
        for outflow in outflows {
            outflow.credit += outflow.share;
            let is_due = outflow.credit >= 1.0;
            if is_due && due.as_ref().is_none_or(|due| due.credit < outflow.credit) {
                due = Some(outflow);
            }
        }
        match due {
            Some(outflow) => {
                outflow.credit -= 1.0;
                RequestZone::Other(outflow.to.clone())
            }
            None => RequestZone::Own,
        }
    }

    /// Transfers of the last decision between different zones, if it still applies.
    pub fn transfers(&self, now: BootTime) -> impl Iterator<Item = &ZoneTransfer> {
        let applies = self.is_decided(now);
        let between_zones = move |transfer: &&ZoneTransfer| applies && transfer.from != transfer.to;
        self.transfers.iter().filter(between_zones)
    }
}
