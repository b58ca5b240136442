//! Delivery of requests to servers, here or through another host.

use {
    super::{
        ForwardPlan, LoadGuard, LoadTable, PeerLinks, RequestBody, RequestHead, RouterBody,
        ServerHandle,
        home_windows::HomeWindows,
        peer_hop::{hop_reply, hop_request, read_hop_reply, read_hop_request},
        peer_links::send_to_peer,
        route_check::{RouteCheck, check_route, wait_for_map, wait_for_route},
        server_exchange::{
            ensure_connection, exchange, probe_clock, runtime_instant, stamp_headers,
        },
        server_table::ServerTable,
    },
    crate::{context::RequestContext, maps::HeldMap},
    camphorcove_core::{
        balance::LoadReport,
        conf::{DedupMode, FencingMode, ServiceConfig},
        dedup::home_of,
        ids::{HostId, ServerId, ServiceName},
        map::ServerEntry,
        outcome::{Execution, ResultCode},
        retry::SeededRandom,
        time::BootTime,
    },
    http::{HeaderValue, Request, Response, header::HOST},
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        sync::{Arc, Weak, atomic::Ordering::Relaxed},
        time::Duration,
    },
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval at which coverage of idempotency keys follows the maps' validity.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Delivers requests to servers, here or through another host.
#[derive(Debug)]
pub struct ForwardService {
    context: RequestContext,
    servers: ServerTable,
    links: PeerLinks,
    loads: LoadTable,
    homes: HomeWindows,
    draws: SeededRandom,
}

impl ForwardService {
    /// Starts the service and its task that follows the routing maps.
    pub fn start(context: RequestContext) -> Arc<Self> {
        let service = Arc::new(Self {
            draws: SeededRandom::new(context.tuning.seed),
            context,
            servers: ServerTable::default(),
            links: PeerLinks::default(),
            loads: LoadTable::default(),
            homes: HomeWindows::default(),
        });
        tokio::spawn(follow_maps(Arc::downgrade(&service)));
        service
    }

    /// Load of servers as this host sees it.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Random numbers for choices of this host.
    pub fn draw(&self) -> u64 {
        self.draws.draw()
    }

    /// Load of each server that this host forwards to, for the metrics.
    pub fn server_loads(&self) -> Vec<(ServiceName, ServerId, LoadReport)> {
        self.servers.loads()
    }

    /// Since when this host has followed a service's maps as a possible home host.
    pub fn home_since(&self, service: &ServiceName) -> Option<BootTime> {
        self.homes.since(service)
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
        let held = wait_for_map(&self.context, plan).await?;
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
        let load = loads.tracker(&server.id).map(LoadGuard::new);
        let mut plan = plan.clone();
        plan.envelope.server = server.id.clone();
        plan.envelope.map = held.map.version;
        plan.envelope.idempotency = None;
        let result = if *target == self.context.host {
            self.run_here(&plan, head, body).await
        } else {
            self.hop(target, &plan, &head, body).await
        };
        LoadGuard::attach(load, result, self.context.clock.now())
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
        let peer = peer.ok_or(ResultCode::PeerUnreachable)?;
        let request = hop_request(&self.context, plan, peer, head, body);
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
            let server = wait_for_route(&self.context, plan).await?;
            let handle = self.handle(&plan.envelope.service, &server);
            let mut permit = handle.acquire(plan.envelope.class, plan.deadline).await?;
            let opening = ensure_connection(&self.context, &mut permit, server.address, deadline);
            if !opening.await? {
                continue;
            }
            head.ensure_host(server.address);
            if self.must_know_clock(plan, server.address) {
                let host = head.headers.get(HOST).cloned();
                let host = host.unwrap_or(HeaderValue::from_static(""));
                probe_clock(&self.context, &mut permit, server.address, &host, deadline).await?;
            }
            let end = match check_route(&self.context, plan) {
                RouteCheck::Go(now_server, end) if now_server.address == server.address => end,
                RouteCheck::Refuse(code) => return Err(code),
                RouteCheck::Go(..) | RouteCheck::Wait(_) => continue,
            };
            let clock = self.context.clocks.latest(server.address);
            let end = clock.map(|clock| clock.deadline(end));
            stamp_headers(&mut head.headers, plan, end);
            if let Some(shard) = plan.envelope.shard {
                let shards = &self.context.counters.shards;
                shards.count(&plan.envelope.service, shard);
            }
            let result = exchange(&self.context, permit, plan, server.address, head, body).await;
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
    fn must_know_clock(&self, plan: &ForwardPlan, server: SocketAddr) -> bool {
        if self.context.clocks.latest(server).is_some() {
            return false;
        }
        let fencing = self.service_setting(&plan.envelope.service, |service| service.fencing);
        fencing.is_none_or(|fencing| fencing == FencingMode::Unchecked)
    }

    fn service_setting<T>(
        &self,
        service: &ServiceName,
        setting: impl Fn(&ServiceConfig) -> T,
    ) -> Option<T> {
        let snapshot = self.context.configs.config()?;
        let mut services = snapshot.config.services.iter();
        services.find(|known| known.name == *service).map(setting)
    }

    fn reported_load(&self, plan: &ForwardPlan) -> Option<LoadReport> {
        let held = self.context.maps.held(&plan.envelope.service)?;
        let server = held.map.server(&plan.envelope.server)?;
        let here = server.forwarder.as_ref() == Some(&self.context.host);
        here.then(|| self.handle(&plan.envelope.service, server).load())
    }
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
        if changed {
            self.links.retain(&self.context);
        }
        let now = self.context.clock.now();
        for held in self.context.maps.all().values() {
            if changed {
                self.servers.follow(&self.context, &held.map);
            }
            let dedup = self.service_setting(&held.map.service, |service| service.dedup);
            if now < held.valid_until && dedup == Some(DedupMode::Router) {
                self.homes.follow(&self.context, held);
            }
        }
    }
}
