//! Computes the next assignment: completes moves of ranges, and starts those that the load asks for.

use {
    super::{
        AssignableServer, ChosenMoves, KeyRange, OwnerState, OwnershipPlanner, PlanContext,
        RangeLoad, RangePhase, RangeRecord, ServerInstance, ServiceOwners, choose_moves,
        ownership_planner::TOKENS_PER_MOVE, revocation_progress::RevocationStep,
    },
    crate::{fleet::ServerPhase, ids::ServiceName, time::BootTime},
    std::{borrow::Cow, collections::HashSet, time::Duration},
};

/// Time without a new server after which a service gets its first assignment, so that the
/// assignment covers all servers that start together.
const INITIAL_FLEET_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Longest time for which the first assignment waits for further servers.
const INITIAL_FLEET_MAX_WAIT: Duration = Duration::from_millis(4_000);

/// Interval at which load is balanced; long enough to see the effect of a move.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between two placements of keys without an owner: answers of servers
/// arrive in quick succession, and each placement scans all keys.
const UNOWNED_PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

impl OwnershipPlanner {
    /// Computes the next assignment; `None` if it equals the acknowledged one.
    pub(super) fn plan_next_state(
        &mut self,
        plan_context: PlanContext<'_>,
        now: BootTime,
    ) -> Option<OwnerState> {
        let mut next_state = self.state.clone();
        if let Some(epoch) = self.lost_in {
            next_state.enter_epoch(epoch);
        }
        // Nothing is planned before that is certain.
        next_state.may_lack_owners = false;
        next_state.earlier_leaders_may_act &= !self.lease_bounds.earlier_leaders_have_ended(now);
        let first_token = next_state.first_token();
        let mut moves_chosen = false;
        self.planned_at = now;
        self.track_fleet_size(plan_context, now);
        for service in plan_context.services {
            let owners = next_state
                .services
                .entry(service.clone())
                .or_insert_with(|| ServiceOwners::new(first_token));
            let assignable = self.assignable_servers(plan_context, service, owners, now);
            self.complete_moves(service, owners, &assignable, now);
            moves_chosen |= self.start_moves(plan_context, service, owners, &assignable, now);
            owners.merge();
        }
        if moves_chosen {
            self.moves_chosen_at = now;
        }
        if self.balance_due(now) {
            self.balanced_at = now;
        }
        let is_changed = next_state != self.state || self.lost_in.is_some();
        if let Some(electors) = &self.next_electors {
            if !is_changed && !next_state.electors.is_outdated(electors.hosts()) {
                return None;
            }
            next_state.electors.clone_from(electors);
            next_state.hosts = u32::try_from(electors.len()).unwrap_or(u32::MAX);
        } else if !is_changed {
            return None;
        }
        next_state.change += 1;
        Some(next_state)
    }

    pub(super) fn balance_due(&self, now: BootTime) -> bool {
        now.since(self.balanced_at) >= BALANCE_INTERVAL
    }

    /// Servers of the service that can take keys: ready, responsive, not ended and in no evacuated zone.
    pub(super) fn assignable_servers(
        &self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &ServiceOwners,
        now: BootTime,
    ) -> Vec<AssignableServer> {
        let mut assignable = Vec::new();
        let owning_instances: HashSet<&ServerInstance> = owners
            .ranges
            .iter()
            .filter_map(|record| match &record.phase {
                RangePhase::Owned { owner, .. } => Some(owner),
                RangePhase::Moving { .. } | RangePhase::Free => None,
            })
            .collect();
        for entry in plan_context.fleet.entries() {
            if entry.service != *service || entry.phase != ServerPhase::Ready {
                continue;
            }
            if plan_context.evacuations.is_evacuated(&entry.zone) {
                continue;
            }
            let instance = ServerInstance {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
            };
            if self.is_unresponsive(&instance, now) || self.has_ended(&instance) {
                continue;
            }
            let known = plan_context.capacity.get(&entry.id).copied();
            let capacity = known.unwrap_or(entry.slots as f32).max(0.1);
            let empty = !owning_instances.contains(&instance);
            assignable.push(AssignableServer {
                instance,
                capacity,
                empty,
                zone: entry.zone.clone(),
            });
        }
        assignable
    }

    pub(super) fn track_fleet_size(&mut self, plan_context: PlanContext<'_>, now: BootTime) {
        let size = plan_context.fleet.entries().count();
        if size > self.fleet_size {
            self.fleet_grew_at = now;
        }
        self.fleet_size = size;
    }

    /// Whether the first assignment need not wait for more servers.
    pub(super) fn is_fleet_settled(&self, owners: &ServiceOwners, now: BootTime) -> bool {
        let is_unassigned = owners
            .ranges
            .iter()
            .all(|record| record.phase == RangePhase::Free);
        !is_unassigned
            || now.since(self.fleet_grew_at) >= INITIAL_FLEET_SETTLE_TIME
            || now.since(self.started_at) >= INITIAL_FLEET_MAX_WAIT
    }

    /// Assigns moving ranges that no server can hold any more to their next owners.
    pub(super) fn complete_moves(
        &mut self,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        assignable: &[AssignableServer],
        now: BootTime,
    ) {
        let next_token = &mut owners.next_token;
        for record in &mut owners.ranges {
            let RangePhase::Moving {
                owner,
                token,
                target,
            } = &record.phase
            else {
                continue;
            };
            let range_id = (service.clone(), record.range, *token);
            let progress = self.revocations.get(&range_id);
            let raise_in_flight =
                progress.is_some_and(|progress| progress.in_flight && progress.is_grant);
            let released = progress.is_some_and(|progress| progress.step == RevocationStep::Done);
            let expired = || {
                !raise_in_flight
                    && now > self.lease_bounds.latest_end(service, owner, record.range)
                    && !self.has_renewal_in_flight(service, record.range)
            };
            // Only an owner that gives its range back shows that no lost successor has granted it.
            let has_ended = self.has_ended(owner);
            let has_lost_range = || has_ended || expired();
            if !(released || now > self.lost_successor_end && has_lost_range()) {
                continue;
            }
            let handover = progress.and_then(|progress| progress.handover.clone());
            if has_ended && !released {
                self.record_end(owner);
            }
            let is_assignable = |instance: &ServerInstance| {
                assignable
                    .iter()
                    .any(|candidate| candidate.instance == *instance)
            };
            record.phase = match target.clone().filter(is_assignable) {
                Some(target) => {
                    let token = *next_token;
                    *next_token += 1;
                    if let Some(handover) = handover {
                        self.handovers
                            .insert((service.clone(), record.range, token), handover);
                    }
                    RangePhase::Owned {
                        owner: target,
                        token,
                    }
                }
                None => RangePhase::Free,
            };
        }
    }

    /// Starts moving ranges whose owner is draining, in an evacuated zone, unresponsive or overloaded,
    /// and assigns free ranges.
    ///
    /// Returns `false` if it was too early to choose moves.
    pub(super) fn start_moves(
        &mut self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        assignable: &[AssignableServer],
        now: BootTime,
    ) -> bool {
        if now <= self.lost_successor_end {
            return false;
        }
        for record in &mut owners.ranges {
            if let RangePhase::Owned { owner, .. } = &record.phase
                && self.has_ended(owner)
            {
                self.record_end(owner);
                record.phase = RangePhase::Free;
            }
        }
        let movable = movable_records(plan_context, owners);
        let has_unowned = movable.iter().any(|record| match &record.phase {
            RangePhase::Free => true,
            RangePhase::Owned { owner, .. } => !assignable
                .iter()
                .any(|candidate| candidate.instance == *owner),
            RangePhase::Moving { .. } => false,
        });
        let due = match has_unowned {
            true => now.since(self.moves_chosen_at) >= UNOWNED_PLACEMENT_INTERVAL,
            false => self.balance_due(now),
        };
        if !due || !self.is_fleet_settled(owners, now) {
            return false;
        }
        let no_load = RangeLoad::new(now);
        let load = self.loads.get(service).unwrap_or(&no_load);
        let moves = choose_moves(&movable, load, assignable);
        for planned in &moves {
            Self::start_move(owners, planned.range, &planned.target);
        }
        if !moves.is_empty() {
            self.unlogged_moves.push(ChosenMoves {
                service: service.clone(),
                ranges: moves.len(),
                keys: moves.iter().map(|planned| planned.range.keys()).sum(),
            });
        }
        true
    }

    /// Assigns the free keys of `range` to `target`, and marks owned ones as moving to it.
    pub(super) fn start_move(owners: &mut ServiceOwners, range: KeyRange, target: &ServerInstance) {
        for at in owners.isolate(range) {
            let token = owners.reserve_tokens(TOKENS_PER_MOVE);
            let record = &mut owners.ranges[at];
            record.phase = match &record.phase {
                RangePhase::Free => RangePhase::Owned {
                    owner: target.clone(),
                    token,
                },
                RangePhase::Owned { owner, .. } if owner == target => continue,
                RangePhase::Owned { owner, .. } => RangePhase::Moving {
                    owner: owner.clone(),
                    token,
                    target: Some(target.clone()),
                },
                RangePhase::Moving { .. } => continue,
            };
        }
    }
}

/// Records that may be moved. An owner that the fleet does not show yet most likely lives, and its
/// leases are renewed meanwhile.
fn movable_records<'a>(
    plan_context: PlanContext<'_>,
    owners: &'a ServiceOwners,
) -> Cow<'a, [RangeRecord]> {
    if !plan_context.fleet_is_behind {
        return Cow::Borrowed(&owners.ranges);
    }
    let may_move = |record: &&RangeRecord| match &record.phase {
        RangePhase::Owned { owner, .. } => !plan_context.awaits_entry(owner),
        RangePhase::Moving { .. } | RangePhase::Free => true,
    };
    owners.ranges.iter().filter(may_move).cloned().collect()
}
