//! In-process router hosts whose maps and configuration the tests set directly.

use {
    camphorcove_core::{
        conf::{
            DedupMode, FencingMode, KeySource, RegionConfig, RoutingMode, ServiceConfig, TimeSpan,
        },
        control::HostInfo,
        ids::{ConfigVersion, Epoch, FencingToken, HostId},
        map::{MapVersion, RoutingMap, ServerEntry, ServerPhase, ShardEntry},
        time::BootTime,
    },
    camphorcove_net::{
        clock::BootClock,
        peer::{ConfigSnapshot, PeerAddress, PeerKey},
        servers::ClockTable,
    },
    camphorcoved::{
        context::{RequestContext, RequestTuning},
        forward::ForwardService,
        maps::{ConfigStore, MapStore, TimedMap},
        serve::EntryServer,
    },
    hyper::service::service_fn,
    hyper_util::rt::{TokioExecutor, TokioIo},
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::oneshot, task::JoinHandle},
};

/// Number of shards of a keyed service in tests.
pub const SHARDS: usize = 16;

pub fn host(index: usize) -> HostId {
    format!("host-{index}").parse().expect("host id")
}

/// A service named `s` under `/s`, keyed by the second path segment.
pub fn service(routing: RoutingMode) -> ServiceConfig {
    let mut service: ServiceConfig = toml::from_str("name = \"s\"").expect("service");
    service.path_prefix = "/s".into();
    service.routing = routing;
    service.key = Some(KeySource::Path { segment: 1 });
    service.dedup = DedupMode::None;
    service.fencing = FencingMode::Checked;
    // Long, so that tests of other things do not fail on a busy machine.
    service.limits.timeout = TimeSpan(20_000);
    service
}

/// Content of a routing map for a test.
#[derive(Clone)]
pub struct MapSpec {
    pub revision: u64,
    /// Address, forwarder's index and phase of each server.
    pub servers: Vec<(SocketAddr, usize, ServerPhase)>,
    pub slots: u32,
    pub connections: u32,
    pub moving: bool,
    /// Index of the server that owns all shards of a keyed service.
    pub owner: u16,
    /// Sequence number of the fencing token of all shards.
    pub sequence: u64,
    pub valid_for: Duration,
}

impl MapSpec {
    pub fn new(servers: &[(SocketAddr, usize)]) -> Self {
        let ready = |(address, index): &(SocketAddr, usize)| (*address, *index, ServerPhase::Ready);
        Self {
            revision: 1,
            servers: servers.iter().map(ready).collect(),
            slots: 3,
            connections: 6,
            moving: false,
            owner: 0,
            sequence: 1,
            valid_for: Duration::from_secs(3_600),
        }
    }

    fn build(&self, keyed: bool) -> RoutingMap {
        let entry =
            |(index, (address, forwarder, phase)): (usize, &(SocketAddr, usize, ServerPhase))| {
                ServerEntry {
                    id: format!("s-{index}").parse().expect("server id"),
                    address: *address,
                    zone: "z1".parse().expect("zone"),
                    weight: 100,
                    slots: self.slots,
                    connections: self.connections,
                    phase: *phase,
                    forwarder: Some(host(*forwarder)),
                }
            };
        let shard = ShardEntry {
            owner: Some(self.owner),
            token: FencingToken {
                epoch: Epoch(1),
                sequence: self.sequence,
            },
            moving: self.moving,
        };
        RoutingMap {
            service: "s".parse().expect("service name"),
            version: MapVersion {
                epoch: Epoch(1),
                revision: self.revision,
            },
            config: ConfigVersion(1),
            controller: host(0),
            servers: self.servers.iter().enumerate().map(entry).collect(),
            shards: vec![shard; if keyed { SHARDS } else { 0 }],
        }
    }
}

/// One host with its caller and peer listeners.
pub struct Node {
    pub context: RequestContext,
    pub caller: SocketAddr,
    pub forward: Arc<ForwardService>,
    shutdown: Option<oneshot::Sender<()>>,
    serving: Option<JoinHandle<()>>,
    peer: JoinHandle<()>,
}

impl Node {
    pub fn accept(&self, spec: &MapSpec, keyed: bool) {
        let now = self.context.clock.now();
        self.context.maps.accept(TimedMap {
            map: Arc::new(spec.build(keyed)),
            valid_until: now + spec.valid_for,
        });
    }

    pub fn now(&self) -> BootTime {
        self.context.clock.now()
    }

    /// Starts a stop and waits until the entry server has finished all requests.
    pub async fn stop(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            let _ = shutdown.send(());
        }
        if let Some(serving) = self.serving.take() {
            serving.await.expect("entry server");
        }
    }

    /// Starts a stop; the returned task ends when the entry server has finished all requests.
    pub fn begin_stop(&mut self) -> JoinHandle<()> {
        if let Some(shutdown) = self.shutdown.take() {
            let _ = shutdown.send(());
        }
        self.serving.take().expect("running")
    }

    /// Closes the peer listener and all its connections, as if the host had failed.
    pub fn close_peer_listener(&self) {
        self.peer.abort();
    }
}

/// Hosts that know each other and are configured with one service.
pub struct Cluster {
    pub nodes: Vec<Node>,
    keyed: bool,
}

impl Cluster {
    pub async fn start(count: usize, service: ServiceConfig, spec: &MapSpec) -> Self {
        Self::start_tuned(count, service, spec, RequestTuning::default()).await
    }

    pub async fn start_tuned(
        count: usize,
        service: ServiceConfig,
        spec: &MapSpec,
        tuning: RequestTuning,
    ) -> Self {
        let keyed = service.routing == RoutingMode::Keyed;
        let mut listeners = Vec::new();
        let mut peers = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            peers.push(PeerAddress {
                host: HostInfo {
                    id: host(index),
                    zone: "z1".parse().expect("zone"),
                    leaving: false,
                },
                peer: listener.local_addr().expect("address"),
            });
            listeners.push(listener);
        }
        let mut nodes = Vec::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            let context = context(index, &service, &peers, tuning);
            nodes.push(start_node(context, listener).await);
        }
        let cluster = Self { nodes, keyed };
        cluster.publish(spec);
        cluster
    }

    /// Stores a map on all hosts.
    pub fn publish(&self, spec: &MapSpec) {
        for node in &self.nodes {
            node.accept(spec, self.keyed);
        }
    }

    pub fn caller(&self) -> SocketAddr {
        self.nodes[0].caller
    }
}

fn context(
    index: usize,
    service: &ServiceConfig,
    peers: &[PeerAddress],
    tuning: RequestTuning,
) -> RequestContext {
    let configs = ConfigStore::default();
    configs.set_peers(peers.to_vec());
    configs.accept(ConfigSnapshot {
        version: ConfigVersion(1),
        config: RegionConfig {
            region: "r".parse().expect("region"),
            zones: vec!["z1".parse().expect("zone")],
            services: vec![service.clone()],
        },
        orders: Default::default(),
    });
    RequestContext {
        host: host(index),
        maps: MapStore::default(),
        configs,
        clocks: ClockTable::default(),
        clock: BootClock,
        key: PeerKey::new(&[7; 32]).expect("key"),
        counters: Arc::default(),
        tuning,
    }
}

async fn start_node(context: RequestContext, peers: TcpListener) -> Node {
    let forward = ForwardService::start(context.clone());
    let peer = tokio::spawn(serve_peers(peers, forward.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let caller = listener.local_addr().expect("address");
    let (shutdown, signal) = oneshot::channel::<()>();
    let server = EntryServer::new(context.clone(), forward.clone());
    let serving = tokio::spawn(server.run(listener, async move {
        let _ = signal.await;
    }));
    Node {
        context,
        caller,
        forward,
        shutdown: Some(shutdown),
        serving: Some(serving),
        peer,
    }
}

/// Minimal peer listener that handles only forwarded requests.
async fn serve_peers(listener: TcpListener, forward: Arc<ForwardService>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        // Without TCP_NODELAY the last segment of each window waits for a delayed ACK.
        stream.set_nodelay(true).expect("nodelay");
        let forward = forward.clone();
        let service = service_fn(move |request| {
            let forward = forward.clone();
            async move { Ok::<_, Infallible>(forward.handle_peer(request).await) }
        });
        let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            let _ = connection.await;
        });
    }
}
