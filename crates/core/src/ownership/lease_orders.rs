//! Orders of the planner to servers: renewals of leases, and the revocation of ranges that move.

use {
    super::{
        KeyRange, LEASE_DURATION, ORDER_TIMEOUT, OrderFailure, OwnerState, OwnershipPlanner,
        PlanAction, PlanContext, RENEW_INTERVAL, RangePhase, RangeRecord, ServerInstance,
        ownership_planner::{TOKENS_PER_MOVE, current_range_ids},
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

/// Steps in which a range is revoked from its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RevocationStep {
    /// Send a grant with a higher token, so that the server refuses renewals by earlier leaders.
    #[default]
    RaiseToken,
    /// Send a release, which ends the lease.
    Release,
    /// The server no longer holds the range.
    Done,
}

/// Revocation of one moving range.
#[derive(Clone, Debug, Default)]
pub(super) struct RevocationProgress {
    pub(super) step: RevocationStep,
    pub(super) in_flight: bool,
    /// Whether the order sent last is a grant (a raise of the token).
    pub(super) is_grant: bool,
    pub(super) due_at: BootTime,
    /// Number of grants sent to raise the token.
    pub(super) raises_sent: u64,
    pub(super) handover: Option<String>,
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
            match result {
                Ok(()) => progress.step = RevocationStep::Release,
                Err(OrderFailure::OtherServer) => progress.step = RevocationStep::Done,
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
        server: &ServerInstance,
        result: Result<Option<String>, OrderFailure>,
        now: BootTime,
    ) {
        self.record_result(server, result.as_ref().err().copied(), now);
        let Some(progress) = self.revocations.get_mut(&range_id) else {
            return;
        };
        progress.in_flight = false;
        match (result, progress.step) {
            (Ok(handover), RevocationStep::Release) => {
                progress.step = RevocationStep::Done;
                progress.handover = handover;
            }
            (Err(OrderFailure::OtherServer), _) => progress.step = RevocationStep::Done,
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
                if self.end_proof(plan_context.fleet, owner).is_some() {
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
    pub(super) fn revoke(&mut self, now: BootTime, actions: &mut Vec<PlanAction>) {
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
                if progress.in_flight
                    || now < progress.due_at
                    || progress.step == RevocationStep::Done
                {
                    continue;
                }
                let unresponsive = self
                    .responsiveness
                    .get(owner)
                    .is_some_and(|responsiveness| responsiveness.is_unresponsive(now));
                let (service, server, range, token) =
                    (service.clone(), owner.clone(), record.range, *token);
                // A release, unlike a grant, cannot extend the lease, so an unresponsive server
                // gets only releases. The same holds when no token is left to raise to: the
                // range then moves when the lease has ended.
                let token_offset = progress.raises_sent;
                let release_only = unresponsive
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
                        token_offset: token_offset.saturating_sub(1),
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
