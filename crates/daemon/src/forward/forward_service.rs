//! Delivery of requests to servers, directly or through another host.

use {
    super::{
        ForwardPlan, LoadGuard, LoadTable, PeerLinks, RequestBody, RequestHead, RouterBody,
        ServerHandle,
        dedup_windows::DedupWindows,
        peer_hop::{hop_reply, hop_request, read_hop_reply, read_hop_request},
        peer_links::send_to_peer,
        route_check::{RouteCheck, check_route, wait_for_map, wait_for_route},
        server_exchange::{
            ensure_connection, exchange, probe_clock, runtime_instant, set_server_headers,
        },
        server_table::ServerTable,
    },
    crate::{context::RequestContext, maps::TimedMap},
    camphorcove_core::{
        balance::LoadReport,
        conf::{DedupMode, FencingMode, ServiceConfig},
        dedup::home_host,
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

/// Interval at which the deduplication windows observe the routing maps, so that a gap in the
/// validity of a map is noticed.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Delivers requests to servers, directly or through another host.
#[derive(Debug)]
pub struct ForwardService {
    context: RequestContext,
    servers: ServerTable,
    links: PeerLinks,
    loads: LoadTable,
    dedup_windows: DedupWindows,
    random: SeededRandom,
}

impl ForwardService {
    /// Starts the service, and a task that updates it when the routing maps change.
    pub fn start(context: RequestContext) -> Arc<Self> {
        let service = Arc::new(Self {
            random: SeededRandom::new(context.tuning.seed),
            context,
            servers: ServerTable::default(),
            links: PeerLinks::default(),
            loads: LoadTable::default(),
            dedup_windows: DedupWindows::default(),
        });
        tokio::spawn(watch_maps(Arc::downgrade(&service)));
        service
    }

    /// Server loads known to this host, by which it chooses servers.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Next random number of this host, for server choice and retry jitter.
    pub fn random_number(&self) -> u64 {
        self.random.draw()
    }

    /// Load of each server whose forwarder this host is, for the metrics.
    pub fn server_loads(&self) -> Vec<(ServiceName, ServerId, LoadReport)> {
        self.servers.loads()
    }

    /// Start of the period over which this host has seen a service's maps without a gap, and so
    /// knows the idempotency keys of which it is the home host.
    pub fn home_since(&self, service: &ServiceName) -> Option<BootTime> {
        self.dedup_windows.since(service)
    }

    /// Handles `POST /peer/forward`, a request that another host passes on.
    pub async fn handle_peer(&self, request: Request<Incoming>) -> Response<RouterBody> {
        self.context.counters.forwarded_in.fetch_add(1, Relaxed);
        let now = self.context.clock.now();
        let (plan, head, body) = match read_hop_request(&self.context, request, now) {
            Ok(read) => read,
            Err(code) => return hop_reply(Err(code), None),
        };
        let result = self.run(&plan, head, RequestBody::Peer(body)).await;
        let load = self.reported_load(&plan);
        hop_reply(result, load)
    }

    /// Delivers a request: runs it on this host if that is the target, or sends it to the target.
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
        self.send_to_host(target, plan, head, body).await
    }

    /// Runs a request of which this host is the home host or the forwarder.
    ///
    /// A request with an idempotency key is recorded first; a repeat is rejected.
    async fn run(
        &self,
        plan: &ForwardPlan,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        if plan.envelope.idempotency_key.is_none() {
            return self.run_locally(plan, head, body).await;
        }
        let timed_map = wait_for_map(&self.context, plan).await?;
        if !self.is_home(plan, &timed_map) {
            return Err(ResultCode::StaleRoute);
        }
        let guard = self.dedup_windows.begin(&self.context, &timed_map, plan)?;
        let result = match plan.envelope.shard {
            Some(_) => self.run_locally(plan, head, body).await,
            None => self.run_as_home(plan, &timed_map, head, body).await,
        };
        if let Some(guard) = guard {
            let execution = result
                .as_ref()
                .map_or_else(|code| code.execution(), |_| Execution::Ran);
            guard.end(execution);
        }
        result
    }

    /// Whether this host is the home host of the plan's idempotency key.
    ///
    /// For a keyed request that is the forwarder of the shard's server; otherwise the key is
    /// hashed over all forwarders of the service.
    fn is_home(&self, plan: &ForwardPlan, timed_map: &TimedMap) -> bool {
        let Some(id) = plan.envelope.idempotency_key.as_deref() else {
            return true;
        };
        if plan.envelope.shard.is_some() {
            let server = timed_map.map.server(&plan.envelope.server);
            return server.and_then(|server| server.forwarder.as_ref()) == Some(&self.context.host);
        }
        let forwarders = timed_map.map.servers.iter();
        home_host(
            id,
            forwarders.filter_map(|server| server.forwarder.as_ref()),
        ) == Some(&self.context.host)
    }

    /// Picks a server for an unkeyed request of this home host and delivers the request to it.
    async fn run_as_home(
        &self,
        plan: &ForwardPlan,
        timed_map: &TimedMap,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let now = self.context.clock.now();
        let loads = self.loads.loads(&timed_map.map, now);
        let server = loads
            .choose(&timed_map.map, None, self.random_number(), now)
            .ok_or(ResultCode::NoOwner)?;
        let target = server.forwarder.as_ref().ok_or(ResultCode::NoForwarder)?;
        let load = loads.tracker(&server.id).map(LoadGuard::new);
        let mut plan = plan.clone();
        plan.envelope.server = server.id.clone();
        plan.envelope.map = timed_map.map.version;
        plan.envelope.idempotency_key = None;
        let result = if *target == self.context.host {
            self.run_locally(&plan, head, body).await
        } else {
            self.send_to_host(target, &plan, &head, body).await
        };
        LoadGuard::attach(load, result, self.context.clock.now())
    }

    /// Sends a request to another host and records the load that its reply reports.
    async fn send_to_host(
        &self,
        target: &HostId,
        plan: &ForwardPlan,
        head: &RequestHead,
        body: RequestBody,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let deadline = runtime_instant(&self.context, plan.deadline);
        let sender = self
            .links
            .sender(&self.context, target, self.random_number(), deadline);
        let sender = sender.await?;
        let peers = self.context.configs.peers();
        let peer = peers.iter().find(|peer| peer.host.id == *target);
        let peer = peer.ok_or(ResultCode::PeerUnreachable)?;
        let request = hop_request(&self.context, plan, peer, head, body);
        let request = request.ok_or(ResultCode::BadRequest)?;
        self.context.counters.forwarded_out.fetch_add(1, Relaxed);
        plan.mark_sent();
        let reply = send_to_peer(sender, request, deadline).await;
        if reply
            .as_ref()
            .is_err_and(|code| code.execution() == Execution::NotRun)
        {
            plan.maybe_sent.store(false, Relaxed);
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

    /// Sends a request to a server whose forwarder this host is.
    ///
    /// The route is checked again after each wait, just before the request is sent: by then
    /// another host may have become the forwarder, or the shard may have another owner.
    async fn run_locally(
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
            let connecting =
                ensure_connection(&self.context, &mut permit, server.address, deadline);
            if !connecting.await? {
                continue;
            }
            head.ensure_host(server.address);
            if self.needs_clock(plan, server.address) {
                let host = head.headers.get(HOST).cloned();
                let host = host.unwrap_or(HeaderValue::from_static(""));
                probe_clock(&self.context, &mut permit, server.address, &host, deadline).await?;
            }
            let end = match check_route(&self.context, plan) {
                RouteCheck::Allow(current_server, end)
                    if current_server.address == server.address =>
                {
                    end
                }
                RouteCheck::Refuse(code) => return Err(code),
                RouteCheck::Allow(..) | RouteCheck::Wait(_) => continue,
            };
            let clock = self.context.clocks.latest(server.address);
            let end = clock.map(|clock| clock.deadline(end));
            set_server_headers(&mut head.headers, plan, end);
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

    /// Whether the server's clock must be read before the request is sent.
    ///
    /// A server that does not check ownership tokens must get a deadline on its own clock.
    fn needs_clock(&self, plan: &ForwardPlan, server: SocketAddr) -> bool {
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

    /// Load that a reply to another host reports; `None` if this host is not the forwarder.
    fn reported_load(&self, plan: &ForwardPlan) -> Option<LoadReport> {
        let timed_map = self.context.maps.stored(&plan.envelope.service)?;
        let server = timed_map.map.server(&plan.envelope.server)?;
        let is_forwarder = server.forwarder.as_ref() == Some(&self.context.host);
        is_forwarder.then(|| self.handle(&plan.envelope.service, server).load())
    }
}

/// Reconciles the service with the routing maps when they change and at intervals.
///
/// Ends once the service has been dropped.
async fn watch_maps(service: Weak<ForwardService>) {
    let Some(mut changes) = service
        .upgrade()
        .map(|service| service.context.maps.changes())
    else {
        return;
    };
    let mut ticks = interval(RECONCILE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let changed = tokio::select! {
            result = changes.changed() => result.is_ok(),
            _ = ticks.tick() => false,
        };
        let Some(service) = service.upgrade() else {
            return;
        };
        service.reconcile(changed);
    }
}

impl ForwardService {
    /// After a change, removes connections to hosts that are gone and retires tasks of servers
    /// that have another forwarder now. Always lets the deduplication windows observe the maps.
    fn reconcile(&self, changed: bool) {
        if changed {
            self.links.retain(&self.context);
        }
        let now = self.context.clock.now();
        for timed_map in self.context.maps.all().values() {
            if changed {
                self.servers.reconcile(&self.context, &timed_map.map);
            }
            let dedup = self.service_setting(&timed_map.map.service, |service| service.dedup);
            if now < timed_map.valid_until && dedup == Some(DedupMode::Router) {
                self.dedup_windows.reconcile(&self.context, timed_map);
            }
        }
    }
}
