//! Starts the daemon's components and runs them until a planned stop.

use {
    super::{
        NodeView,
        key_files::{read_operator_keys, read_peer_key},
    },
    crate::{
        admin::{AdminContext, AdminService, serve_admin},
        conf::DaemonSettings,
        context::{RequestContext, RequestCounters, RequestTuning},
        control::{ElectorActor, ScopeIo, ScopeRegistry},
        error::{DaemonError, ListenSnafu},
        forward::ForwardService,
        maps::{ConfigWatch, LocalHost, MapContext, PollScheduler, probe_pollers},
        peers::PeerService,
        serve::EntryServer,
        shutdown::{StopOutcome, StopSequence, StopSignal},
    },
    camphorcove_core::control::HostInfo,
    camphorcove_net::{
        clock::{BootClock, wall_millis},
        config::ConfigRepo,
        operator::{AuthenticatorLimits, KeyRing, OperatorAuthenticator},
        peer::{PeerAddress, PeerClient, PeerIdentity, PeerServer, PeerTraffic, random_nonce},
        platform::HttpStore,
        servers::{ClockTable, HttpGrants},
    },
    kameo::actor::Spawn,
    snafu::ResultExt,
    std::{net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// The daemon's three listening sockets; all are opened before any task starts.
struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Components that live as long as the process.
struct NodeComponents {
    settings: DaemonSettings,
    context: Arc<MapContext>,
    requests: RequestContext,
    forward: Arc<ForwardService>,
    scopes: ScopeRegistry,
    store: HttpStore,
    identity: PeerIdentity,
    traffic: Arc<PeerTraffic>,
}

/// Runs the daemon until a signal starts a planned stop and the stop has finished.
pub async fn run_node(settings: DaemonSettings) -> Result<StopOutcome, DaemonError> {
    let key = read_peer_key(&settings.peer_key_file)?;
    let operators = read_operator_keys(settings.operator_keys_file.as_deref())?;
    let mut signal = StopSignal::new()?;
    let listeners = open_listeners(&settings).await?;
    let peer = announced_address(&listeners.peers, &settings);
    let identity = PeerIdentity {
        host: settings.host.clone(),
        key,
        nonce: random_nonce(),
    };
    let (components, elector) = NodeComponents::build(settings, identity, peer);
    log_listeners(&listeners);
    let stop_callers = watch::Sender::new(false);
    let stop_peers = watch::Sender::new(false);
    components.start_tasks();
    let service = PeerService {
        context: components.context.clone(),
        elector,
        scopes: components.scopes.clone(),
        forward: components.forward.clone(),
    };
    let server = PeerServer::new(
        components.identity.clone(),
        service,
        components.traffic.clone(),
    );
    let peers = tokio::spawn(server.serve(listeners.peers, stop_peers.subscribe()));
    let admin = components.start_admin(operators, listeners.operators, stop_peers.subscribe());
    let callers = components.start_callers(listeners.callers, stop_callers.subscribe());
    signal.next().await;
    log::info!("planned stop begins");
    let sequence = StopSequence {
        context: components.context.clone(),
        scopes: components.scopes.clone(),
        counters: components.requests.counters.clone(),
        stop_callers,
        stop_peers,
        callers,
        listeners: vec![peers, admin],
        limit: components.settings.shutdown_limit.duration(),
    };
    let outcome = sequence.run(&mut signal).await;
    log::info!("stopped: {outcome:?}");
    Ok(outcome)
}

impl NodeComponents {
    fn build(
        settings: DaemonSettings,
        identity: PeerIdentity,
        peer: SocketAddr,
    ) -> (Self, kameo::actor::ActorRef<ElectorActor>) {
        let traffic = Arc::<PeerTraffic>::default();
        let client = PeerClient::new(identity.clone(), traffic.clone());
        let host = LocalHost {
            id: settings.host.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            peer,
        };
        let counters = Arc::<RequestCounters>::default();
        let context = Arc::new(MapContext::new(host, client, counters.shards.clone()));
        let store = HttpStore::new(settings.platform);
        let clocks = ClockTable::default();
        let requests = request_context(&identity, &context, &clocks, counters);
        let elector = ElectorActor::spawn(ElectorActor::new(BootClock, store.clone()));
        let template = ScopeIo {
            // Placeholder; the registry sets the service of each scope.
            service: placeholder_service(),
            context: context.clone(),
            store: store.clone(),
            grants: HttpGrants::default(),
            clocks,
            elector: elector.clone(),
        };
        let components = Self {
            forward: ForwardService::start(requests.clone()),
            scopes: ScopeRegistry::new(template, identity.nonce),
            settings,
            context,
            requests,
            store,
            identity,
            traffic,
        };
        (components, elector)
    }

    fn start_tasks(&self) {
        let context = &self.context;
        let scheduler = PollScheduler::new(context.clone());
        let seeds = seed_addresses(&self.settings);
        let watch = ConfigWatch::new(
            context.clone(),
            scheduler.clone(),
            self.store.clone(),
            seeds,
        );
        tokio::spawn(scheduler.run());
        tokio::spawn(probe_pollers(context.clone()));
        tokio::spawn(watch.clone().watch_config());
        tokio::spawn(watch.watch_hosts());
        tokio::spawn(self.scopes.clone().run());
    }

    fn start_callers(
        &self,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) -> JoinHandle<()> {
        let server = EntryServer::new(self.requests.clone(), self.forward.clone());
        let mut ready = self.context.ready();
        tokio::spawn(async move {
            // Callers must not be served before the first successful read of the configuration.
            tokio::select! {
                _ = ready.wait_for(|ready| *ready) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            log::info!("serving callers");
            let stopped = async move {
                let _ = stop.wait_for(|stop| *stop).await.is_ok();
            };
            server.run(listener, stopped).await;
        })
    }

    fn start_admin(
        &self,
        keys: KeyRing,
        listener: TcpListener,
        stop: watch::Receiver<bool>,
    ) -> JoinHandle<()> {
        let view = NodeView {
            context: self.context.clone(),
            scopes: self.scopes.clone(),
            counters: self.requests.counters.clone(),
            forward: self.forward.clone(),
            store: self.store.clone(),
            traffic: self.traffic.clone(),
        };
        let admin_context = AdminContext {
            repo: ConfigRepo::new(self.store.clone()),
            maps: self.context.maps.clone(),
            config: self.context.config.clone(),
            view,
            authenticator: OperatorAuthenticator::new(
                keys,
                AuthenticatorLimits::default(),
                wall_millis(),
            ),
        };
        let service = Arc::new(AdminService::new(admin_context));
        tokio::spawn(serve_admin(service, listener, stop))
    }
}

fn request_context(
    identity: &PeerIdentity,
    context: &MapContext,
    clocks: &ClockTable,
    counters: Arc<RequestCounters>,
) -> RequestContext {
    RequestContext {
        host: identity.host.clone(),
        maps: context.maps.clone(),
        configs: context.config.clone(),
        clocks: clocks.clone(),
        clock: BootClock,
        key: identity.key.clone(),
        counters,
        tuning: RequestTuning {
            seed: identity.nonce,
            ..RequestTuning::default()
        },
    }
}

fn seed_addresses(settings: &DaemonSettings) -> Vec<PeerAddress> {
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|(id, peer)| PeerAddress {
        host: HostInfo {
            id: id.clone(),
            // The zone is unknown until the host answers; assume the zone of this host.
            zone: settings.zone.clone(),
            leaving: false,
        },
        peer: *peer,
    });
    seeds.filter(|seed| seed.host.id != settings.host).collect()
}

fn placeholder_service() -> camphorcove_core::ids::ServiceName {
    "unnamed"
        .parse()
        .unwrap_or_else(|error| unreachable!("the service name is valid: {error}"))
}

async fn open_listeners(settings: &DaemonSettings) -> Result<NodeListeners, DaemonError> {
    Ok(NodeListeners {
        callers: open_listener("callers", settings.callers).await?,
        peers: open_listener("peers", settings.peers).await?,
        operators: open_listener("operators", settings.operators).await?,
    })
}

async fn open_listener(
    listener: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { listener, address })
}

fn announced_address(listener: &TcpListener, settings: &DaemonSettings) -> SocketAddr {
    let local = listener.local_addr().unwrap_or(settings.peers);
    settings.peers_announced.unwrap_or(local)
}

fn log_listeners(listeners: &NodeListeners) {
    let text = |listener: &TcpListener| {
        let address = listener.local_addr();
        address.map_or_else(|error| error.to_string(), |address| address.to_string())
    };
    log::info!(
        callers = text(&listeners.callers).as_str(),
        peers = text(&listeners.peers).as_str(),
        operators = text(&listeners.operators).as_str();
        "listening"
    );
}
