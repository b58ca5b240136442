//! Checks whether a request may be sent to its server now.

use {
    super::ForwardPlan,
    crate::{context::RequestContext, maps::TimedMap},
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

/// Interval at which waiting requests check the map again; an extension of a map's validity
/// sends no notification.
const MAP_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Most requests of one host that may wait for a map; this bounds memory, not load.
const MAX_WAITERS: u64 = 8_192;

/// Result of [`check_route`].
pub enum RouteCheck {
    /// The request may be sent to this server, which may work on it until the given time.
    Allow(Box<ServerEntry>, BootTime),
    /// A newer map must decide; the request fails with this code if its deadline passes first.
    Wait(ResultCode),
    /// The request may not be sent, for this reason.
    Refuse(ResultCode),
}

/// Checks whether a request may be sent now.
///
/// This host must hold a valid map at least as new as the plan's and be the forwarder of the
/// plan's server, and in that map the server must own the shard under the plan's token. The
/// request may run until its deadline or the end of the map's validity, whichever is earlier.
pub fn check_route(context: &RequestContext, plan: &ForwardPlan) -> RouteCheck {
    let now = context.clock.now();
    if now >= plan.deadline {
        return RouteCheck::Refuse(ResultCode::DeadlineTooShort);
    }
    let Some(timed_map) = current_map(context, plan) else {
        return RouteCheck::Wait(ResultCode::NoMap);
    };
    let Some(server) = timed_map.map.server(&plan.envelope.server) else {
        return RouteCheck::Refuse(ResultCode::StaleRoute);
    };
    let shard = plan.envelope.shard;
    let is_forwarder = server.forwarder.as_ref() == Some(&context.host);
    if !is_forwarder || !accepts_requests(server.phase, shard.is_some()) {
        return RouteCheck::Refuse(ResultCode::StaleRoute);
    }
    if let Some(shard) = shard
        && let Some(check) = check_owner(&timed_map.map, shard, plan)
    {
        return check;
    }
    let end = plan.deadline.min(timed_map.valid_until);
    RouteCheck::Allow(Box::new(server.clone()), end)
}

/// Checks the owner of the shard; `None` if it is the plan's server under the plan's token.
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

/// Whether a server in this phase accepts requests; a draining server accepts only keyed ones.
fn accepts_requests(phase: ServerPhase, keyed: bool) -> bool {
    match phase {
        ServerPhase::Ready | ServerPhase::Suspect => true,
        ServerPhase::Draining => keyed,
        ServerPhase::Lost => false,
    }
}

/// Valid map of the plan's service that is at least as new as the map the plan was made by.
fn current_map(context: &RequestContext, plan: &ForwardPlan) -> Option<TimedMap> {
    let now = context.clock.now();
    let timed_map = context.maps.valid(&plan.envelope.service, now);
    timed_map.filter(|timed_map| timed_map.map.version >= plan.envelope.map)
}

/// Waits until the request may be sent, within its deadline.
pub async fn wait_for_route(
    context: &RequestContext,
    plan: &ForwardPlan,
) -> Result<ServerEntry, ResultCode> {
    loop {
        let code = match check_route(context, plan) {
            RouteCheck::Allow(server, _) => return Ok(*server),
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
) -> Result<TimedMap, ResultCode> {
    loop {
        if let Some(timed_map) = current_map(context, plan) {
            return Ok(timed_map);
        }
        wait_for_change(context, plan.deadline, ResultCode::NoMap).await?;
    }
}

/// Waits for a change of the maps, at most `MAP_RECHECK_INTERVAL`.
///
/// Fails with `code` once the deadline has passed, or at once if `MAX_WAITERS` requests
/// already wait.
pub async fn wait_for_change(
    context: &RequestContext,
    deadline: BootTime,
    code: ResultCode,
) -> Result<(), ResultCode> {
    let now = context.clock.now();
    if now >= deadline {
        return Err(code);
    }
    let _guard = WaiterGuard::take(&context.counters.waiting).ok_or(code)?;
    let mut changes = context.maps.changes();
    let wait = deadline.since(now).min(MAP_RECHECK_INTERVAL);
    // After a change and after a timeout alike, the route is checked again.
    let _ = timeout_at(Instant::now() + wait, changes.changed()).await;
    Ok(())
}

/// Counts a waiting request until dropped.
struct WaiterGuard<'a>(&'a AtomicU64);

impl<'a> WaiterGuard<'a> {
    fn take(waiting: &'a AtomicU64) -> Option<Self> {
        let guard = Self(waiting);
        (waiting.fetch_add(1, Relaxed) < MAX_WAITERS).then_some(guard)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
