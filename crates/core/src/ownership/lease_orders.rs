//! Orders of the planner to servers: renewals of leases, and the revocation of ranges that move.

use {
    super::{
        KeyRange, LEASE_DURATION, ORDER_TIMEOUT, OrderFailure, OwnerState, OwnershipPlanner,
        PlanAction, PlanContext, RENEW_INTERVAL, RangePhase, RangeRecord, ServerInstance,
        ownership_planner::{TOKENS_PER_MOVE, current_range_ids},
        revocation_progress::{RevocationStep, RevocationTarget},
    },
    crate::{ids::ServiceName, time::BootTime},
    std::time::Duration,
};

/// Delay before a failed order is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for the answer to a release, which a server sends when requests in progress have
/// ended. After a lost answer, the release is sent again.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Identifies one ownership record: service, range and token.
pub(super) type RangeId = (ServiceName, KeyRange, u64);

/// Lease renewal of one owned range.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantProgress {
    pub(super) in_flight: bool,
    pub(super) due_at: BootTime,
}

impl OwnershipPlanner {
    pub(super) fn handle_grant_result(
        &mut self,
        range_id: RangeId,
        server: &ServerInstance,
        result: Result<(), OrderFailure>,
        now: BootTime,
    ) {
        let may_have_arrived = match result {
            Ok(()) | Err(OrderFailure::Unanswered) => true,
            Err(_) => false,
        };
        if may_have_arrived {
            self.lease_bounds
                .record_grant(&range_id.0, server, range_id.1, now, LEASE_DURATION);
        }
        // A renewal that was overtaken by this leader's own raise of the token is refused as well,
        // but its record is no longer current.
        if result == Err(OrderFailure::Superseded)
            && current_range_ids(&self.state).contains(&range_id)
        {
            self.superseded = true;
        }
        self.record_result(server, result.err(), now);
        if let Some(progress) = self.revocations.get_mut(&range_id) {
            progress.in_flight = false;
            progress.failed = result.is_err();
            match result {
                Ok(()) => progress.step = RevocationStep::Release,
                Err(_) => progress.due_at = now + ORDER_RETRY_DELAY,
            }
        }
        if let Some(progress) = self.grants.get_mut(&range_id) {
            progress.in_flight = false;
            progress.due_at = match result {
                Ok(()) => now + RENEW_INTERVAL,
                Err(_) => now + ORDER_RETRY_DELAY,
            };
        }
        if result.is_ok() {
            self.handovers.remove(&range_id);
        }
    }

    pub(super) fn handle_release_result(
        &mut self,
        range_id: RangeId,
        token_offset: u64,
        server: &ServerInstance,
        result: Result<Option<String>, OrderFailure>,
        now: BootTime,
    ) {
        self.record_result(server, result.as_ref().err().copied(), now);
        let Some(progress) = self.revocations.get_mut(&range_id) else {
            return;
        };
        // A raise of the token that was sent meanwhile has given the range back to the server.
        if token_offset != progress.release_offset() {
            return;
        }
        progress.in_flight = false;
        progress.failed = result.is_err();
        match (result, progress.step) {
            (Ok(handover), RevocationStep::Release) => {
                progress.step = RevocationStep::Done;
                progress.handover = handover;
            }
            (Ok(_), _) if progress.asked_later_start.as_ref() == Some(server) => {
                progress.step = RevocationStep::Done;
            }
            // The release was sent before the token was raised, as the server did not respond or
            // no token was left. The usual steps follow.
            (Ok(_), _) => {}
            (Err(_), _) => progress.due_at = now + ORDER_RETRY_DELAY,
        }
    }

    /// Renews the leases of all owners in the acknowledged assignment.
    pub(super) fn renew(
        &mut self,
        plan_context: PlanContext<'_>,
        now: BootTime,
        actions: &mut Vec<PlanAction>,
    ) {
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Owned { owner, token } = &record.phase else {
                    continue;
                };
                // A range that the pending write changes gets no more renewals.
                if !is_unchanged(self.pending.as_ref(), service, record) {
                    continue;
                }
                // A later start of the owner would carry out the renewal with a token that has been used.
                if self.has_ended(owner) || plan_context.later_start(owner).is_some() {
                    continue;
                }
                // An unresponsive server gets no renewals: each could extend its lease.
                if self
                    .responsiveness
                    .get(owner)
                    .is_some_and(|responsiveness| responsiveness.is_unresponsive(now))
                {
                    continue;
                }
                let range_id = (service.clone(), record.range, *token);
                let progress = self.grants.entry(range_id.clone()).or_default();
                if progress.in_flight || now < progress.due_at {
                    continue;
                }
                progress.in_flight = true;
                actions.push(PlanAction::Grant {
                    service: service.clone(),
                    server: owner.clone(),
                    range: record.range,
                    token: *token,
                    token_offset: 0,
                    lease: LEASE_DURATION,
                    handover: self.handovers.get(&range_id).cloned(),
                });
            }
        }
    }

    /// Revokes the moving ranges from their owners.
    pub(super) fn revoke(
        &mut self,
        plan_context: PlanContext<'_>,
        now: BootTime,
        actions: &mut Vec<PlanAction>,
    ) {
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Moving { owner, token, .. } = &record.phase else {
                    continue;
                };
                // The pending write names the next owner, so the old one has lost the range;
                // raising the token with a grant would give it back.
                if !is_unchanged(self.pending.as_ref(), service, record) {
                    continue;
                }
                let range_id = (service.clone(), record.range, *token);
                let progress = self.revocations.entry(range_id).or_default();
                if progress.step == RevocationStep::Done {
                    continue;
                }
                let is_due = !progress.in_flight && now >= progress.due_at;
                if !is_due && !progress.is_prompted(plan_context.fleet, owner) {
                    continue;
                }
                let has_ended = |start: &ServerInstance| self.ended_instances.contains(start);
                let later_start = plan_context.later_start(owner);
                let target = progress.choose_target(
                    owner.address,
                    has_ended(owner),
                    later_start.filter(|start| !has_ended(start)),
                );
                let server = match target {
                    RevocationTarget::Owner => owner.clone(),
                    RevocationTarget::LaterStart(start) => start,
                    RevocationTarget::Nobody => continue,
                };
                let unresponsive = self
                    .responsiveness
                    .get(&server)
                    .is_some_and(|responsiveness| responsiveness.is_unresponsive(now));
                let (service, range, token) = (service.clone(), record.range, *token);
                // A release, unlike a grant, cannot extend the lease, so an unresponsive server
                // gets only releases. The same holds when no token is left to raise to: the
                // range then moves when the lease has ended.
                let token_offset = progress.raises_sent;
                let release_only = unresponsive
                    || progress.asked_later_start.is_some()
                    || (progress.step == RevocationStep::RaiseToken
                        && token_offset + 1 >= TOKENS_PER_MOVE);
                progress.in_flight = true;
                progress.is_grant = progress.step == RevocationStep::RaiseToken && !release_only;
                actions.push(match progress.step {
                    RevocationStep::RaiseToken if !release_only => {
                        progress.raises_sent += 1;
                        PlanAction::Grant {
                            service,
                            server,
                            range,
                            token,
                            token_offset,
                            lease: LEASE_DURATION,
                            handover: None,
                        }
                    }
                    _ => PlanAction::Release {
                        service,
                        server,
                        range,
                        token,
                        token_offset: progress.release_offset(),
                        limit: match unresponsive {
                            true => ORDER_TIMEOUT,
                            false => RELEASE_TIMEOUT,
                        },
                    },
                });
            }
        }
    }

    /// Whether a renewal for keys of the range may still reach a server.
    pub(super) fn has_renewal_in_flight(&self, service: &ServiceName, range: KeyRange) -> bool {
        self.grants.iter().any(|((name, granted, _), progress)| {
            progress.in_flight && name == service && granted.overlaps(range)
        })
    }
}

/// Whether the pending write, if any, leaves the phase of all keys of the record as it is.
pub(super) fn is_unchanged(
    pending: Option<&OwnerState>,
    service: &ServiceName,
    record: &RangeRecord,
) -> bool {
    let Some(pending) = pending else {
        return true;
    };
    let Some(owners) = pending.services.get(service) else {
        return false;
    };
    // Split and merged records count as unchanged if all keys keep their phase.
    owners
        .overlapping(record.range)
        .iter()
        .all(|other| other.phase == record.phase)
}
