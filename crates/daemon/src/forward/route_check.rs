//! Whether a request may be sent to its server at this moment.

use {
    super::ForwardPlan,
    crate::{context::RequestContext, maps::HeldMap},
    camphorcove_core::{
        ids::ShardId,
        map::{RoutingMap, ServerEntry, ServerPhase},
        outcome::ResultCode,
        time::BootTime,
    },
    std::{
        sync::atomic::{AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// A prolonged validity sends no signal, so waiters look again this often.
const MAP_RECHECK: Duration = Duration::from_millis(50);

/// Requests of one host that may wait for a map; a bound on memory, not on load.
const WAITER_LIMIT: u64 = 8_192;

/// Whether a request may be sent now.
pub enum RouteCheck {
    /// It may, until the given end.
    Go(Box<ServerEntry>, BootTime),
    /// A newer map will tell; the code is for a deadline that passes first.
    Wait(ResultCode),
    /// It may not.
    Refuse(ResultCode),
}

/// Checks token, map validity and deadline at this moment.
pub fn check_route(context: &RequestContext, plan: &ForwardPlan) -> RouteCheck {
    let now = context.clock.now();
    if now >= plan.deadline {
        return RouteCheck::Refuse(ResultCode::DeadlineTooShort);
    }
    let Some(held) = current_map(context, plan) else {
        return RouteCheck::Wait(ResultCode::NoMap);
    };
    let Some(server) = held.map.server(&plan.envelope.server) else {
        return RouteCheck::Refuse(ResultCode::StaleRoute);
    };
    let shard = plan.envelope.shard;
    let here = server.forwarder.as_ref() == Some(&context.host);
    if !here || !takes_work(server.phase, shard.is_some()) {
        return RouteCheck::Refuse(ResultCode::StaleRoute);
    }
    if let Some(shard) = shard
        && let Some(check) = check_owner(&held.map, shard, plan)
    {
        return check;
    }
    let end = plan.deadline.min(held.valid_until);
    RouteCheck::Go(Box::new(server.clone()), end)
}

/// Why the plan's server and token do not own the shard; `None` if they do.
fn check_owner(map: &RoutingMap, shard: ShardId, plan: &ForwardPlan) -> Option<RouteCheck> {
    let entry = map.entry(shard);
    if entry.is_some_and(|entry| entry.moving) {
        return Some(RouteCheck::Wait(ResultCode::ShardMoving));
    }
    let owner = map.owner(shard).map(|owner| &owner.id);
    let token = entry.map(|entry| entry.token);
    let owns = owner == Some(&plan.envelope.server) && token == plan.envelope.token;
    (!owns).then_some(RouteCheck::Refuse(ResultCode::StaleRoute))
}

/// Whether a server in this phase takes a request.
fn takes_work(phase: ServerPhase, keyed: bool) -> bool {
    match phase {
        ServerPhase::Ready | ServerPhase::Suspect => true,
        ServerPhase::Draining => keyed,
        ServerPhase::Lost => false,
    }
}

/// A valid map that is at least as new as the plan's.
fn current_map(context: &RequestContext, plan: &ForwardPlan) -> Option<HeldMap> {
    let now = context.clock.now();
    let held = context.maps.valid(&plan.envelope.service, now);
    held.filter(|held| held.map.version >= plan.envelope.map)
}

/// Waits until the request may be sent, within its deadline.
pub async fn wait_for_route(
    context: &RequestContext,
    plan: &ForwardPlan,
) -> Result<ServerEntry, ResultCode> {
    loop {
        let code = match check_route(context, plan) {
            RouteCheck::Go(server, _) => return Ok(*server),
            RouteCheck::Refuse(code) => return Err(code),
            RouteCheck::Wait(code) => code,
        };
        wait_for_change(context, plan.deadline, code).await?;
    }
}

/// Waits for a valid map that is at least as new as the plan's.
pub async fn wait_for_map(
    context: &RequestContext,
    plan: &ForwardPlan,
) -> Result<HeldMap, ResultCode> {
    loop {
        if let Some(held) = current_map(context, plan) {
            return Ok(held);
        }
        wait_for_change(context, plan.deadline, ResultCode::NoMap).await?;
    }
}

/// Waits for a change of the maps; fails with `code` once the deadline has passed,
/// or at once if too many requests wait already.
pub async fn wait_for_change(
    context: &RequestContext,
    deadline: BootTime,
    code: ResultCode,
) -> Result<(), ResultCode> {
    let now = context.clock.now();
    if now >= deadline {
        return Err(code);
    }
    let _place = WaiterPlace::take(&context.counters.waiting).ok_or(code)?;
    let mut changes = context.maps.changes();
    let wait = deadline.since(now).min(MAP_RECHECK);
    // Both a change and the end of the wait lead to another look at the map.
    let _ = timeout_at(Instant::now() + wait, changes.changed()).await;
    Ok(())
}

/// Counts a waiting request for as long as it lives.
struct WaiterPlace<'a>(&'a AtomicU64);

impl<'a> WaiterPlace<'a> {
    fn take(waiting: &'a AtomicU64) -> Option<Self> {
        let place = Self(waiting);
        (waiting.fetch_add(1, Relaxed) < WAITER_LIMIT).then_some(place)
    }
}

impl Drop for WaiterPlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
