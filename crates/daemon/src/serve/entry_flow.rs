//! Routing, attempts and answers at the entry host.

use {
    super::{
        ServiceIndex,
        entry_request::{EntryRequest, check_request},
        refusal::refusal,
    },
    crate::{
        context::RequestContext,
        forward::{
            FlightGuard, ForwardPlan, ForwardService, LoadGuard, RouterBody, mark_result,
            wait_for_change,
        },
        maps::HeldMap,
    },
    camphorcove_core::{
        balance::LoadTracker,
        dedup::home_of,
        headers::REQUEST_ID,
        ids::{HostId, ServerId},
        map::{MapVersion, ServerEntry, ServerPhase},
        outcome::{Execution, ResultCode},
        retry::{MAX_ATTEMPTS, backoff, retry_is_safe, worth_retrying},
    },
    camphorcove_net::peer::ForwardEnvelope,
    http::{HeaderValue, Request, Response, Version, header::CONNECTION},
    hyper::body::Incoming,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

/// Times one request is routed again because a map changed under it.
const MAX_REROUTES: u32 = 8;

/// Handles callers' requests on one entry host.
#[derive(Debug)]
pub struct EntryFlow {
    context: RequestContext,
    forward: Arc<ForwardService>,
    index: ServiceIndex,
    serial: AtomicU64,
    stopping: AtomicBool,
}

/// Where an attempt goes.
struct EntryRoute {
    plan: ForwardPlan,
    target: HostId,
    /// Load of the server; `None` for a home host, which picks the server itself.
    load: Option<Arc<LoadTracker>>,
}

/// What the attempts of one request have led to so far.
#[derive(Default)]
struct AttemptProgress {
    attempts: u32,
    reroutes: u32,
    /// Map that the last attempt was routed by.
    version: MapVersion,
    last_server: Option<ServerId>,
    /// First result after which the request may have run.
    in_doubt: Option<ResultCode>,
}

impl EntryFlow {
    /// A flow that delivers through `forward`.
    pub fn new(context: RequestContext, forward: Arc<ForwardService>) -> Self {
        Self {
            context,
            forward,
            index: ServiceIndex::default(),
            serial: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Asks callers to close their connections from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Relaxed);
    }

    /// Answers one request of a caller.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<RouterBody> {
        let counters = &self.context.counters;
        let flight = FlightGuard::new(counters.clone());
        let start = self.context.clock.now();
        let version = request.version();
        let checked = check_request(&self.context, &self.index, &self.serial, request);
        let (result, known) = match checked {
            Err(code) => (Err(code), None),
            Ok(entry) => (
                self.attempts(&entry).await,
                Some((entry.request, entry.rule)),
            ),
        };
        let code = result
            .as_ref()
            .err()
            .copied()
            .unwrap_or(ResultCode::Answered);
        counters.count_result(code);
        if let Some((_, rule)) = &known {
            let duration = self.context.clock.now().since(start);
            counters.services.record(&rule.config.name, code, duration);
        }
        let mut answer = result.unwrap_or_else(refusal);
        mark_result(answer.headers_mut(), code);
        if version == Version::HTTP_11 && self.stopping.load(Relaxed) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let id = known.map(|(id, _)| id);
        if let Some(value) = id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
            answer.headers_mut().insert(REQUEST_ID, value);
        }
        answer.map(|body| body.with_flight(flight))
    }

    /// Sends the request until it is answered or another attempt is unsafe, useless or too costly.
    ///
    /// After an attempt that may have run, a later refusal proves nothing about the
    /// request as a whole, so the code of the first such attempt is told.
    async fn attempts(&self, entry: &EntryRequest) -> Result<Response<RouterBody>, ResultCode> {
        entry.rule.budget.earn();
        let mut progress = AttemptProgress::default();
        loop {
            let code = match self.next_attempt(entry, &mut progress).await {
                Ok(answer) => return Ok(answer),
                Err(code) => code,
            };
            if code.execution() == Execution::MayHaveRun {
                progress.in_doubt.get_or_insert(code);
            }
            if !self.prepare_repeat(entry, code, &mut progress).await {
                let not_run = code.execution() == Execution::NotRun;
                return Err(progress.in_doubt.filter(|_| not_run).unwrap_or(code));
            }
        }
    }

    async fn next_attempt(
        &self,
        entry: &EntryRequest,
        progress: &mut AttemptProgress,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let (route, held) = self.route(entry, progress.last_server.as_ref()).await?;
        progress.version = held.map.version;
        progress.last_server = Some(route.plan.envelope.server.clone());
        let result = self.attempt(entry, &route).await;
        result.map_err(|code| self.final_code(entry, code))
    }

    /// Waits until the request may be sent again; `false` if it may not.
    async fn prepare_repeat(
        &self,
        entry: &EntryRequest,
        code: ResultCode,
        progress: &mut AttemptProgress,
    ) -> bool {
        if code == ResultCode::StaleRoute && progress.reroutes < MAX_REROUTES {
            progress.reroutes += 1;
            progress.last_server = None;
            self.context.counters.reroutes.fetch_add(1, Relaxed);
            let repeatable = entry.lease_body().is_some();
            return repeatable && self.wait_for_newer(entry, progress.version).await.is_ok();
        }
        progress.attempts += 1;
        if !self.may_retry(entry, code, progress.attempts) {
            return false;
        }
        self.pause(entry, progress.attempts).await;
        self.context.counters.retries.fetch_add(1, Relaxed);
        true
    }

    async fn attempt(
        &self,
        entry: &EntryRequest,
        route: &EntryRoute,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let body = entry.lease_body().ok_or(ResultCode::BodyBroken)?;
        let load = route.load.clone().map(LoadGuard::new);
        let delivery = self
            .forward
            .deliver(&route.target, &route.plan, &entry.head, body);
        let result = delivery.await;
        LoadGuard::attach(load, result, self.context.clock.now())
    }

    /// Blames the caller's body if that is what broke.
    fn final_code(&self, entry: &EntryRequest, code: ResultCode) -> ResultCode {
        match entry.body_fault() {
            Some(fault) if code.execution() == Execution::MayHaveRun => fault,
            _ => code,
        }
    }

    fn may_retry(&self, entry: &EntryRequest, code: ResultCode, attempt: u32) -> bool {
        let idempotent = entry.rule.declares_idempotent(&entry.head.method);
        let safe = retry_is_safe(code.execution(), idempotent);
        let useful = worth_retrying(code, entry.key.is_none());
        let in_time = self.context.clock.now() < entry.deadline;
        let repeatable = entry.lease_body().is_some();
        if !safe || !useful || !in_time || !repeatable || attempt >= MAX_ATTEMPTS {
            return false;
        }
        let granted = entry.rule.budget.take();
        if !granted {
            self.context.counters.retries_refused.fetch_add(1, Relaxed);
        }
        granted
    }

    async fn pause(&self, entry: &EntryRequest, attempt: u32) {
        let left = entry.deadline.since(self.context.clock.now());
        tokio::time::sleep(backoff(attempt, self.forward.draw()).min(left)).await;
    }

    /// Waits until a newer map than `used` is held.
    async fn wait_for_newer(
        &self,
        entry: &EntryRequest,
        used: MapVersion,
    ) -> Result<(), ResultCode> {
        let service = &entry.rule.config.name;
        loop {
            let held = self.context.maps.held(service);
            if held.is_some_and(|held| held.map.version > used) {
                return Ok(());
            }
            wait_for_change(&self.context, entry.deadline, ResultCode::StaleRoute).await?;
        }
    }

    /// Waits for a usable route within the deadline.
    async fn route(
        &self,
        entry: &EntryRequest,
        avoid: Option<&ServerId>,
    ) -> Result<(EntryRoute, HeldMap), ResultCode> {
        loop {
            let now = self.context.clock.now();
            let held = self.context.maps.valid(&entry.rule.config.name, now);
            let code = match held {
                None => ResultCode::NoMap,
                Some(held) => match self.route_by(entry, &held, avoid) {
                    Ok(route) => return Ok((route, held)),
                    Err(code) => code,
                },
            };
            wait_for_change(&self.context, entry.deadline, code).await?;
        }
    }

    fn route_by(
        &self,
        entry: &EntryRequest,
        held: &HeldMap,
        avoid: Option<&ServerId>,
    ) -> Result<EntryRoute, ResultCode> {
        match &entry.key {
            Some(key) => self.keyed_route(entry, held, key),
            None => self.free_route(entry, held, avoid),
        }
    }

    fn keyed_route(
        &self,
        entry: &EntryRequest,
        held: &HeldMap,
        key: &[u8],
    ) -> Result<EntryRoute, ResultCode> {
        let map = &held.map;
        let shard = map.shard(key).ok_or(ResultCode::NoMap)?;
        let shard_entry = map.entry(shard).ok_or(ResultCode::NoMap)?;
        if shard_entry.moving {
            return Err(ResultCode::ShardMoving);
        }
        let server = map.owner(shard).ok_or(ResultCode::NoOwner)?;
        if server.phase == ServerPhase::Lost {
            return Err(ResultCode::NoOwner);
        }
        let target = server.forwarder.clone().ok_or(ResultCode::NoForwarder)?;
        let mut plan = self.plan(entry, held, server);
        plan.envelope.shard = Some(shard);
        plan.envelope.token = Some(shard_entry.token);
        Ok(EntryRoute {
            plan,
            target,
            load: None,
        })
    }

    fn free_route(
        &self,
        entry: &EntryRequest,
        held: &HeldMap,
        avoid: Option<&ServerId>,
    ) -> Result<EntryRoute, ResultCode> {
        let now = self.context.clock.now();
        let loads = self.forward.loads().loads(&held.map, now);
        let server = loads
            .choose(&held.map, avoid, self.forward.draw(), now)
            .ok_or(ResultCode::NoOwner)?;
        let plan = self.plan(entry, held, server);
        if let Some(id) = &entry.idempotency {
            let forwarders = held.map.servers.iter();
            let home = home_of(
                id,
                forwarders.filter_map(|server| server.forwarder.as_ref()),
            );
            return Ok(EntryRoute {
                plan,
                target: home.cloned().ok_or(ResultCode::NoForwarder)?,
                load: None,
            });
        }
        Ok(EntryRoute {
            target: server.forwarder.clone().ok_or(ResultCode::NoForwarder)?,
            load: loads.tracker(&server.id),
            plan,
        })
    }

    fn plan(&self, entry: &EntryRequest, held: &HeldMap, server: &ServerEntry) -> ForwardPlan {
        let envelope = ForwardEnvelope {
            from: self.context.host.clone(),
            service: entry.rule.config.name.clone(),
            shard: None,
            token: None,
            server: server.id.clone(),
            map: held.map.version,
            remaining_micros: 0,
            class: entry.rule.config.class,
            request: entry.request.clone(),
            idempotency: entry.idempotency.clone(),
        };
        ForwardPlan::new(envelope, entry.deadline)
    }
}
