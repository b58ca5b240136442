//! Hosts in the test process that elect a leader and grant keys, over a store and sockets.

use {
    super::fixtures::{entry, first_listing_span, settings, table},
    camphorcove_core::fleet::ServerEntry,
    camphorcove_gateway::{
        conf::GatewaySettings,
        leader::{LeaderActor, OwnerStore, Tick},
        peers::{Digest, PeerLink, Trailing, receive, share_suspects},
        state::{HostState, SeenVersions},
        watch::read_owners,
    },
    camphorcove_platform::StoreClient,
    kameo::actor::{ActorRef, Spawn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        time::sleep,
    },
};

/// Digest of the leader process with this nonce, which lists no hosts.
pub fn digest(nonce: u64, term: u64, has_store: bool) -> Digest {
    Digest {
        nonce,
        term,
        has_store,
        largest_cpu: 1_000,
        hosts: None,
        versions: SeenVersions::default(),
        watchers: Vec::new(),
        servers: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        without_servers: Vec::new(),
        peers: Vec::new(),
        addition: Trailing::default(),
    }
}

/// A host without a listener for callers.
pub struct LeaderHost {
    /// State that the actor updates.
    pub state: Arc<HostState>,
    /// Actor that elects, runs and follows the leader.
    pub actor: ActorRef<LeaderActor>,
}

/// Starts a host that knows one server of the keyed service.
pub async fn leader_host(name: &str, store: SocketAddr, server: SocketAddr) -> LeaderHost {
    leader_host_with(name, store, vec![entry("s-1", "keyed", server)]).await
}

/// Starts a host that knows these servers.
pub async fn leader_host_with(
    name: &str,
    store: SocketAddr,
    entries: Vec<ServerEntry>,
) -> LeaderHost {
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    leader_host_at(name, store, entries, socket).await
}

/// Starts a host that knows these servers; returns also a listener at the address of its datagrams, over which
/// other hosts hand it requests.
pub async fn relaying_host(
    name: &str,
    store: SocketAddr,
    entries: Vec<ServerEntry>,
) -> (LeaderHost, TcpListener) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        if let Ok(socket) = UdpSocket::bind(address).await {
            let host = leader_host_at(name, store, entries, socket).await;
            return (host, listener);
        }
    }
}

/// Starts a host that knows these servers and talks to other hosts over `socket`.
pub async fn leader_host_at(
    name: &str,
    store: SocketAddr,
    entries: Vec<ServerEntry>,
    socket: UdpSocket,
) -> LeaderHost {
    let socket = Arc::new(socket);
    let host = deaf_leader_host(name, store, entries, socket.clone());
    tokio::spawn(receive(host.state.clone(), socket, host.actor.clone()));
    host
}

/// Starts a host that knows these servers and sends messages over `socket`, but receives none.
pub fn deaf_leader_host(
    name: &str,
    store: SocketAddr,
    entries: Vec<ServerEntry>,
    socket: Arc<UdpSocket>,
) -> LeaderHost {
    host_with_settings(settings(store), name, entries, socket)
}

/// Starts a host with these settings but for its name and addresses. It knows these servers and
/// receives no messages.
pub fn host_with_settings(
    mut settings: GatewaySettings,
    name: &str,
    entries: Vec<ServerEntry>,
    socket: Arc<UdpSocket>,
) -> LeaderHost {
    settings.host = name.parse().expect("valid id");
    leader_host_of(settings, entries, socket)
}

/// Starts a host with these settings, which sends messages over `socket` but receives none.
pub fn leader_host_of(
    mut settings: GatewaySettings,
    entries: Vec<ServerEntry>,
    socket: Arc<UdpSocket>,
) -> LeaderHost {
    let store = settings.store;
    settings.peers = socket.local_addr().expect("bound");
    let state = Arc::new(HostState::new(settings));
    state.set_table(table(1));
    state.replace_fleet(entries, first_listing_span());
    let client = StoreClient::new(store, Duration::from_millis(400));
    let link = PeerLink::new(socket);
    let actor = LeaderActor::spawn(LeaderActor::new(state.clone(), client.clone(), link));
    let owners = OwnerStore::new(state.clone(), client);
    tokio::spawn(read_owners(state.clone(), owners, actor.clone()));
    tokio::spawn(share_suspects(state.clone(), actor.clone()));
    let ticking_actor = actor.clone();
    tokio::spawn(async move {
        while let Ok(next) = ticking_actor.ask(Tick).await {
            sleep(next.0).await;
        }
    });
    LeaderHost { state, actor }
}
