//! Delivery of requests to servers, here or through another host.

use {
    super::{
        ForwardPlan, LoadBook, PeerLinks, RequestBody, RequestHead, RouterBody, ServerHandle,
        home_desk::HomeDesk,
        peer_hop::{hop_reply, hop_request, read_hop_reply, read_hop_request},
        peer_links::send_to_peer,
        server_exchange::{
            ensure_connection, exchange, probe_clock, runtime_instant, stamp_headers,
        },
        server_table::ServerTable,
    },
    crate::{context::RequestContext, maps::HeldMap},
    camphorcove_core::{
        balance::LoadReport,
        conf::FencingMode,
        dedup::home_of,
        ids::{HostId, ServiceName},
        map::{ServerEntry, ServerPhase},
        outcome::{Execution, ResultCode},
        retry::SeededDraw,
        time::BootTime,
    },
    http::{HeaderValue, Request, Response, header::HOST},
    hyper::body::Incoming,
    std::{
        sync::{Arc, Weak, atomic::Ordering::Relaxed},
        time::Duration,
    },
    tokio::time::{Instant, MissedTickBehavior, interval, timeout_at},
};

/// A prolonged validity sends no signal, so waiters look again this often.
const MAP_RECHECK: Duration = Duration::from_millis(50);

/// Interval at which coverage of idempotency keys follows the maps' validity.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Delivers requests to servers, here or through another host.
#[derive(Debug)]
pub struct ForwardService {
    context: RequestContext,
    servers: ServerTable,
    links: PeerLinks,
    loads: LoadBook,
    homes: HomeDesk,
    draws: SeededDraw,
}

/// Whether a request may be sent now.
enum RouteCheck {
    /// It may, until the given end.
    Go(Box<ServerEntry>, BootTime),
    /// A newer map will tell; the code is for a deadline that passes first.
    Wait(ResultCode),
    /// It may not.
    Refuse(ResultCode),
}

impl ForwardService {
    /// Starts the service and its task that follows the routing maps.
    pub fn start(context: RequestContext) -> Arc<Self> {
        let service = Arc::new(Self {
            draws: SeededDraw::new(context.tuning.seed),
            context,
            servers: ServerTable::default(),
            links: PeerLinks::default(),
            loads: LoadBook::default(),
            homes: HomeDesk::default(),
        });
        tokio::spawn(follow_maps(Arc::downgrade(&service)));
        service
    }

    /// Load of servers as this host sees it.
    pub fn loads(&self) -> &LoadBook {
        &self.loads
    }

    /// Random numbers for choices of this host.
    pub fn draw(&self) -> u64 {
        self.draws.draw()
    }

    /// Handles `POST /peer/forward` of another host.
    pub async fn handle_peer(&self, request: Request<Incoming>) -> Response<RouterBody> {
        self.context.counters.hops_in.fetch_add(1, Relaxed);
        let now = self.context.clock.now();
        let (plan, head, body) = match read_hop_request(&self.context, request, now) {
            Ok(read) => read,
            Err(code) => return hop_reply(Err(code), None),
        };
        let result = self.run(&plan, head, RequestBody::Peer(body)).await;
        let load = self.reported_load(&plan);
        hop_reply(result, load)
    }

    /// Delivers a request through the host that the plan needs.
    pub async fn deliver(
        &self,
        target: &HostId,
        plan: &ForwardPlan,
        head: &RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        if *target == self.context.host {
            return self.run(plan, head.clone(), body).await;
        }
        self.hop(target, plan, head, body).await
    }

    /// Runs a request that was sent to this host, as home host or as forwarder.
    async fn run(
        &self,
        plan: &ForwardPlan,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        if plan.envelope.idempotency.is_none() {
            return self.run_here(plan, head, body).await;
        }
        let held = self.wait_for_map(plan).await?;
        if !self.is_home(plan, &held) {
            return Err(ResultCode::StaleRoute);
        }
        let guard = self.homes.begin(&self.context, &held, plan)?;
        let result = match plan.envelope.shard {
            Some(_) => self.run_here(plan, head, body).await,
            None => self.run_from_home(plan, &held, head, body).await,
        };
        if let Some(guard) = guard {
            let execution = result
                .as_ref()
                .map_or_else(|code| code.execution(), |_| Execution::Ran);
            guard.end(execution);
        }
        result
    }

    fn is_home(&self, plan: &ForwardPlan, held: &HeldMap) -> bool {
        let Some(id) = plan.envelope.idempotency.as_deref() else {
            return true;
        };
        if plan.envelope.shard.is_some() {
            let server = held.map.server(&plan.envelope.server);
            return server.and_then(|server| server.forwarder.as_ref()) == Some(&self.context.host);
        }
        let forwarders = held.map.servers.iter();
        home_of(
            id,
            forwarders.filter_map(|server| server.forwarder.as_ref()),
        ) == Some(&self.context.host)
    }

    /// Picks a server for an id of this home host and delivers the request to it.
    async fn run_from_home(
        &self,
        plan: &ForwardPlan,
        held: &HeldMap,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let now = self.context.clock.now();
        let loads = self.loads.loads(&held.map, now);
        let server = loads
            .choose(&held.map, None, self.draw(), now)
            .ok_or(ResultCode::NoOwner)?;
        let target = server.forwarder.as_ref().ok_or(ResultCode::NoForwarder)?;
        let mut plan = plan.clone();
        plan.envelope.server = server.id.clone();
        plan.envelope.map = held.map.version;
        plan.envelope.idempotency = None;
        if *target == self.context.host {
            return self.run_here(&plan, head, body).await;
        }
        self.hop(target, &plan, &head, body).await
    }

    /// Sends a request to another host.
    async fn hop(
        &self,
        target: &HostId,
        plan: &ForwardPlan,
        head: &RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let deadline = runtime_instant(&self.context, plan.deadline);
        let sender = self
            .links
            .sender(&self.context, target, self.draw(), deadline);
        let sender = sender.await?;
        let peers = self.context.configs.peers();
        let peer = peers.iter().find(|peer| peer.host.id == *target);
        let address = peer.ok_or(ResultCode::PeerUnreachable)?.peer;
        let request = hop_request(&self.context, plan, address, head, body);
        let request = request.ok_or(ResultCode::BadRequest)?;
        self.context.counters.hops_out.fetch_add(1, Relaxed);
        plan.hand_over();
        let reply = send_to_peer(sender, request, deadline).await;
        if reply
            .as_ref()
            .is_err_and(|code| code.execution() == Execution::NotRun)
        {
            plan.handed_over.store(false, Relaxed);
        }
        let (result, load) = read_hop_reply(reply?);
        if let Some(load) = load {
            let envelope = &plan.envelope;
            let now = self.context.clock.now();
            self.loads
                .report(&envelope.service, &envelope.server, load, now);
        }
        let (parts, body) = result?;
        let body = RouterBody::peer(body, deadline, self.context.counters.clone());
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a request to a server of this host.
    async fn run_here(
        &self,
        plan: &ForwardPlan,
        mut head: RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let deadline = runtime_instant(&self.context, plan.deadline);
        loop {
            let server = self.wait_for_route(plan).await?;
            let handle = self.handle(&plan.envelope.service, &server);
            let mut permit = handle.acquire(plan.envelope.class, plan.deadline).await?;
            ensure_connection(&self.context, &mut permit, server.address, deadline).await?;
            head.ensure_host(server.address);
            if self.must_know_clock(plan) {
                let host = head.headers.get(HOST).cloned();
                let host = host.unwrap_or(HeaderValue::from_static(""));
                probe_clock(&self.context, &mut permit, &server.id, &host, deadline).await?;
            }
            let end = match self.check_route(plan) {
                RouteCheck::Go(now_server, end) if now_server.address == server.address => end,
                RouteCheck::Refuse(code) => return Err(code),
                RouteCheck::Go(..) | RouteCheck::Wait(_) => continue,
            };
            let clock = self.context.clocks.latest(&server.id);
            let end = clock.map(|clock| clock.deadline(end));
            stamp_headers(&mut head.headers, plan, end);
            let result = exchange(&self.context, permit, plan, head, body).await;
            self.loads.report(
                &plan.envelope.service,
                &server.id,
                handle.load(),
                self.context.clock.now(),
            );
            return result;
        }
    }

    fn handle(&self, service: &ServiceName, server: &ServerEntry) -> ServerHandle {
        self.servers.handle(&self.context, service, server)
    }

    /// A server that does not check tokens must be given a deadline on its own clock.
    fn must_know_clock(&self, plan: &ForwardPlan) -> bool {
        if self.context.clocks.latest(&plan.envelope.server).is_some() {
            return false;
        }
        let snapshot = self.context.configs.config();
        let service = snapshot.as_ref().and_then(|snapshot| {
            let mut services = snapshot.config.services.iter();
            services.find(|service| service.name == plan.envelope.service)
        });
        service.is_none_or(|service| service.fencing == FencingMode::Unchecked)
    }

    /// Waits until the request may be sent, within its deadline.
    async fn wait_for_route(&self, plan: &ForwardPlan) -> Result<ServerEntry, ResultCode> {
        loop {
            let code = match self.check_route(plan) {
                RouteCheck::Go(server, _) => return Ok(*server),
                RouteCheck::Refuse(code) => return Err(code),
                RouteCheck::Wait(code) => code,
            };
            wait_for_change(&self.context, plan.deadline, code).await?;
        }
    }

    /// Waits for a valid map that is at least as new as the plan's.
    async fn wait_for_map(&self, plan: &ForwardPlan) -> Result<HeldMap, ResultCode> {
        loop {
            let now = self.context.clock.now();
            let held = self.context.maps.valid(&plan.envelope.service, now);
            if let Some(held) = held.filter(|held| held.map.version >= plan.envelope.map) {
                return Ok(held);
            }
            wait_for_change(&self.context, plan.deadline, ResultCode::NoMap).await?;
        }
    }

    /// Checks token, map validity and deadline at this moment.
    fn check_route(&self, plan: &ForwardPlan) -> RouteCheck {
        let now = self.context.clock.now();
        if now >= plan.deadline {
            return RouteCheck::Refuse(ResultCode::DeadlineTooShort);
        }
        let envelope = &plan.envelope;
        let Some(held) = self.context.maps.valid(&envelope.service, now) else {
            return RouteCheck::Wait(ResultCode::NoMap);
        };
        if held.map.version < envelope.map {
            return RouteCheck::Wait(ResultCode::NoMap);
        }
        let Some(server) = held.map.server(&envelope.server) else {
            return RouteCheck::Refuse(ResultCode::StaleRoute);
        };
        let here = server.forwarder.as_ref() == Some(&self.context.host);
        if !here || !takes_work(server.phase, envelope.shard.is_some()) {
            return RouteCheck::Refuse(ResultCode::StaleRoute);
        }
        if let Some(shard) = envelope.shard {
            let Some(entry) = held.map.entry(shard) else {
                return RouteCheck::Refuse(ResultCode::StaleRoute);
            };
            if entry.moving {
                return RouteCheck::Wait(ResultCode::ShardMoving);
            }
            let owner = held.map.owner(shard).map(|owner| &owner.id);
            if owner != Some(&envelope.server) || Some(entry.token) != envelope.token {
                return RouteCheck::Refuse(ResultCode::StaleRoute);
            }
        }
        let end = plan.deadline.min(held.valid_until);
        RouteCheck::Go(Box::new(server.clone()), end)
    }

    fn reported_load(&self, plan: &ForwardPlan) -> Option<LoadReport> {
        let held = self.context.maps.held(&plan.envelope.service)?;
        let server = held.map.server(&plan.envelope.server)?;
        let here = server.forwarder.as_ref() == Some(&self.context.host);
        here.then(|| self.handle(&plan.envelope.service, server).load())
    }
}

/// Whether a server in this phase takes a request.
fn takes_work(phase: ServerPhase, keyed: bool) -> bool {
    match phase {
        ServerPhase::Ready | ServerPhase::Suspect => true,
        ServerPhase::Draining => keyed,
        ServerPhase::Lost => false,
    }
}

/// Waits for a change of the maps; fails with `code` once the deadline has passed.
pub async fn wait_for_change(
    context: &RequestContext,
    deadline: BootTime,
    code: ResultCode,
) -> Result<(), ResultCode> {
    let now = context.clock.now();
    if now >= deadline {
        return Err(code);
    }
    let mut changes = context.maps.changes();
    let wait = deadline.since(now).min(MAP_RECHECK);
    // Both a change and the end of the wait lead to another look at the map.
    let _ = timeout_at(Instant::now() + wait, changes.changed()).await;
    Ok(())
}

/// Retires servers that left this host, and keeps the coverage of idempotency keys current.
async fn follow_maps(service: Weak<ForwardService>) {
    let Some(mut changes) = service
        .upgrade()
        .map(|service| service.context.maps.changes())
    else {
        return;
    };
    let mut ticks = interval(FOLLOW_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let changed = tokio::select! {
            result = changes.changed() => result.is_ok(),
            _ = ticks.tick() => false,
        };
        let Some(service) = service.upgrade() else {
            return;
        };
        service.follow(changed);
    }
}

impl ForwardService {
    fn follow(&self, changed: bool) {
        let now = self.context.clock.now();
        for held in self.context.maps.all().values() {
            if changed {
                self.servers.follow(&self.context, &held.map);
            }
            if now < held.valid_until {
                self.homes.follow(&self.context, held);
            }
        }
    }
}
