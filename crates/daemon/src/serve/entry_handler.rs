//! Routing, attempts and answers on the entry host.

use {
    super::{
        CallerRequests, ServiceIndex,
        entry_request::{EntryRequest, check_request},
        refusal::refusal,
    },
    crate::{
        context::RequestContext,
        forward::{
            ForwardPlan, ForwardService, InFlightGuard, LoadGuard, RouterBody, set_result_headers,
            wait_for_change,
        },
        maps::TimedMap,
    },
    camphorcove_core::{
        balance::LoadTracker,
        dedup::home_host,
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

/// Most times that one request is routed again because its routing map was out of date.
const MAX_REROUTES: u32 = 8;

/// Answers callers' requests on the host that accepted them.
#[derive(Debug)]
pub struct EntryHandler {
    context: RequestContext,
    forward: Arc<ForwardService>,
    index: ServiceIndex,
    /// Number of the next request id made here.
    serial: AtomicU64,
    /// Whether answers ask their callers to close the connection.
    stopping: AtomicBool,
}

/// Destination of an attempt.
struct EntryRoute {
    plan: ForwardPlan,
    /// Host that runs the attempt: the server's forwarder, or the home host of an idempotency key.
    target: HostId,
    /// Load of the chosen server. `None` for a keyed request, whose server is its shard's owner,
    /// and for a home host, which chooses the server itself.
    load: Option<Arc<LoadTracker>>,
}

/// State of one request after the attempts made so far.
#[derive(Default)]
struct AttemptProgress {
    attempts: u32,
    /// Times routed again because the map was out of date; these are not attempts.
    reroutes: u32,
    /// Version of the map by which the last attempt was routed.
    version: MapVersion,
    last_server: Option<ServerId>,
    /// First result code after which the request may have run.
    in_doubt: Option<ResultCode>,
}

impl EntryHandler {
    /// Creates a handler that delivers requests through `forward`.
    pub fn new(context: RequestContext, forward: Arc<ForwardService>) -> Self {
        Self {
            context,
            forward,
            index: ServiceIndex::default(),
            serial: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Asks HTTP/1.1 callers from now on, with each answer, to close their connections.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Relaxed);
    }

    /// Answers one request of a caller.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
        requests: &CallerRequests,
    ) -> Response<RouterBody> {
        requests.begin();
        let counters = &self.context.counters;
        let in_flight_guard = InFlightGuard::new(counters.clone());
        let start = self.context.clock.now();
        let version = request.version();
        let checked = check_request(&self.context, &self.index, &self.serial, request);
        let (result, accepted) = match checked {
            Err(code) => (Err(code), None),
            Ok(entry) => (
                self.run_attempts(&entry).await,
                Some((entry.request, entry.rule)),
            ),
        };
        let code = result
            .as_ref()
            .err()
            .copied()
            .unwrap_or(ResultCode::Answered);
        counters.count_result(code);
        if let Some((_, rule)) = &accepted {
            let duration = self.context.clock.now().since(start);
            counters.services.record(&rule.config.name, code, duration);
        }
        let mut answer = result.unwrap_or_else(refusal);
        set_result_headers(answer.headers_mut(), code);
        requests.end();
        if version == Version::HTTP_11 && self.stopping.load(Relaxed) && requests.is_last() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let id = accepted.map(|(id, _)| id);
        if let Some(value) = id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
            answer.headers_mut().insert(REQUEST_ID, value);
        }
        answer.map(|body| body.with_in_flight_guard(in_flight_guard))
    }

    /// Sends the request until it is answered, or until another attempt would be unsafe, useless
    /// or over the retry budget.
    ///
    /// After an attempt that may have run, a later refusal does not prove that the request did
    /// not run, so the caller gets the code of the first such attempt.
    async fn run_attempts(&self, entry: &EntryRequest) -> Result<Response<RouterBody>, ResultCode> {
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
            if !self.prepare_retry(entry, code, &mut progress).await {
                let not_run = code.execution() == Execution::NotRun;
                return Err(progress.in_doubt.filter(|_| not_run).unwrap_or(code));
            }
        }
    }

    /// Routes the request by the current map and sends it once.
    async fn next_attempt(
        &self,
        entry: &EntryRequest,
        progress: &mut AttemptProgress,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let (route, timed_map) = self.route(entry, progress.last_server.as_ref()).await?;
        progress.version = timed_map.map.version;
        progress.last_server = Some(route.plan.envelope.server.clone());
        let result = self.attempt(entry, &route).await;
        result.map_err(|code| self.final_code(entry, code))
    }

    /// Waits until the request may be sent again; returns `false` if it may not.
    ///
    /// A stale route leads to a newer map, up to [`MAX_REROUTES`] times, and does not count as
    /// an attempt. Any other failure is retried after a back-off if [`Self::take_retry`] allows.
    async fn prepare_retry(
        &self,
        entry: &EntryRequest,
        code: ResultCode,
        progress: &mut AttemptProgress,
    ) -> bool {
        if code == ResultCode::StaleRoute && progress.reroutes < MAX_REROUTES {
            progress.reroutes += 1;
            progress.last_server = None;
            self.context.counters.reroutes.fetch_add(1, Relaxed);
            let replayable = entry.lease_body().is_some();
            return replayable && self.wait_for_newer(entry, progress.version).await.is_ok();
        }
        progress.attempts += 1;
        if !self.take_retry(entry, code, progress.attempts) {
            return false;
        }
        self.back_off(entry, progress.attempts).await;
        self.context.counters.retries.fetch_add(1, Relaxed);
        true
    }

    /// Sends the request once, along this route.
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

    /// Result code of an attempt: the fault of the caller's body if that is why it failed.
    fn final_code(&self, entry: &EntryRequest, code: ResultCode) -> ResultCode {
        match entry.body_fault() {
            Some(fault) if code.execution() == Execution::MayHaveRun => fault,
            _ => code,
        }
    }

    /// Whether the request may be sent again; if so, takes one retry from the service's budget.
    ///
    /// A retry must be safe and useful, start before the deadline, have the whole body at hand
    /// and not exceed [`MAX_ATTEMPTS`].
    fn take_retry(&self, entry: &EntryRequest, code: ResultCode, attempt: u32) -> bool {
        let idempotent = entry.rule.declares_idempotent(&entry.head.method);
        let safe = retry_is_safe(code.execution(), idempotent);
        let useful = worth_retrying(code, entry.key.is_none());
        let in_time = self.context.clock.now() < entry.deadline;
        let replayable = entry.lease_body().is_some();
        if !safe || !useful || !in_time || !replayable || attempt >= MAX_ATTEMPTS {
            return false;
        }
        let granted = entry.rule.budget.take();
        if !granted {
            self.context.counters.retries_refused.fetch_add(1, Relaxed);
        }
        granted
    }

    /// Waits before an attempt, at most until the deadline.
    async fn back_off(&self, entry: &EntryRequest, attempt: u32) {
        let left = entry.deadline.since(self.context.clock.now());
        tokio::time::sleep(backoff(attempt, self.forward.random_number()).min(left)).await;
    }

    /// Waits until this host has a newer map than `last_version`.
    async fn wait_for_newer(
        &self,
        entry: &EntryRequest,
        last_version: MapVersion,
    ) -> Result<(), ResultCode> {
        let service = &entry.rule.config.name;
        loop {
            let timed_map = self.context.maps.stored(service);
            if timed_map.is_some_and(|timed_map| timed_map.map.version > last_version) {
                return Ok(());
            }
            wait_for_change(&self.context, entry.deadline, ResultCode::StaleRoute).await?;
        }
    }

    /// Waits within the deadline until a valid map gives a route; `avoid` is the server that the
    /// last attempt used.
    async fn route(
        &self,
        entry: &EntryRequest,
        avoid: Option<&ServerId>,
    ) -> Result<(EntryRoute, TimedMap), ResultCode> {
        loop {
            let now = self.context.clock.now();
            let timed_map = self.context.maps.valid(&entry.rule.config.name, now);
            let code = match timed_map {
                None => ResultCode::NoMap,
                Some(timed_map) => match self.choose_route(entry, &timed_map, avoid) {
                    Ok(route) => return Ok((route, timed_map)),
                    Err(code) => code,
                },
            };
            wait_for_change(&self.context, entry.deadline, code).await?;
        }
    }

    fn choose_route(
        &self,
        entry: &EntryRequest,
        timed_map: &TimedMap,
        avoid: Option<&ServerId>,
    ) -> Result<EntryRoute, ResultCode> {
        match &entry.key {
            Some(key) => self.keyed_route(entry, timed_map, key),
            None => self.free_route(entry, timed_map, avoid),
        }
    }

    /// Route to the owner of the key's shard.
    fn keyed_route(
        &self,
        entry: &EntryRequest,
        timed_map: &TimedMap,
        key: &[u8],
    ) -> Result<EntryRoute, ResultCode> {
        let map = &timed_map.map;
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
        let mut plan = self.plan(entry, timed_map, server);
        plan.envelope.shard = Some(shard);
        plan.envelope.token = Some(shard_entry.token);
        Ok(EntryRoute {
            plan,
            target,
            load: None,
        })
    }

    /// Route to a server chosen by load, or to the home host of the idempotency key.
    fn free_route(
        &self,
        entry: &EntryRequest,
        timed_map: &TimedMap,
        avoid: Option<&ServerId>,
    ) -> Result<EntryRoute, ResultCode> {
        let now = self.context.clock.now();
        let loads = self.forward.loads().loads(&timed_map.map, now);
        let server = loads
            .choose(&timed_map.map, avoid, self.forward.random_number(), now)
            .ok_or(ResultCode::NoOwner)?;
        let plan = self.plan(entry, timed_map, server);
        if let Some(id) = &entry.idempotency_key {
            let forwarders = timed_map.map.servers.iter();
            let home = home_host(
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

    /// Plan for an attempt at this server.
    fn plan(
        &self,
        entry: &EntryRequest,
        timed_map: &TimedMap,
        server: &ServerEntry,
    ) -> ForwardPlan {
        let envelope = ForwardEnvelope {
            from: self.context.host.clone(),
            service: entry.rule.config.name.clone(),
            shard: None,
            token: None,
            server: server.id.clone(),
            map: timed_map.map.version,
            remaining_micros: 0,
            class: entry.rule.config.class,
            request_id: entry.request.clone(),
            idempotency_key: entry.idempotency_key.clone(),
        };
        ForwardPlan::new(envelope, entry.deadline)
    }
}
