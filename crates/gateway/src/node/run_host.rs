//! Runs a host from its start until its stop.

use {
    super::supervise,
    crate::{
        conf::GatewaySettings,
        error::{GatewayError, ListenSnafu, StartSnafu},
        forward::check_reach,
        leader::{LeaderActor, OwnerStore, Resign, Tick},
        metrics::serve_probes,
        peers::{PeerLink, receive, share_suspects},
        serve::{CallerListener, RequestHandler},
        state::HostState,
        watch::{ConfigFollower, EvacuationFollower, FleetFollower, follow, read_owners},
    },
    camphorcove_platform::StoreClient,
    kameo::actor::{ActorRef, Spawn},
    snafu::ResultExt,
    std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        time::sleep,
    },
};

/// Delay before the leader actor is asked again if it did not answer.
const ACTOR_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for a connection to the store: many round trips, yet short enough that,
/// including the delays between attempts, a host follows the store again within 1 s after a
/// partition has ended.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs the host until SIGTERM and the planned stop that follows; SIGHUP checks the settings
/// file again.
pub async fn run_host(settings: GatewaySettings, file: PathBuf) -> Result<(), GatewayError> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut hangup = signal_stream(SignalKind::hangup())?;
    let callers = bind("callers", settings.callers).await?;
    let readiness = bind("readiness", settings.readiness).await?;
    let metrics = bind("metrics", settings.metrics).await?;
    let relays = bind_relays(settings.peers_listen).await;
    let address = settings.peers_listen;
    let socket = UdpSocket::bind(address).await.context(ListenSnafu {
        listener: "peers",
        address,
    })?;
    let socket = Arc::new(socket);
    let store = StoreClient::new(settings.store, STORE_CONNECT_TIMEOUT);
    let state = Arc::new(HostState::new(settings));
    log::info!(nonce = state.nonce, zone = state.settings.zone.as_str(); "host starts");

    let link = PeerLink::new(socket.clone());
    let leader = LeaderActor::spawn(LeaderActor::new(state.clone(), store.clone(), link));
    start_followers(&state, &store, &leader);
    for listener in [readiness, metrics].map(Arc::new) {
        let state = state.clone();
        let serve = move || serve_probes(state.clone(), listener.clone());
        tokio::spawn(supervise("probes", serve));
    }
    let receiver = (state.clone(), leader.clone());
    let receive = move || receive(receiver.0.clone(), socket.clone(), receiver.1.clone());
    tokio::spawn(supervise("datagrams", receive));
    let sharer = (state.clone(), leader.clone());
    let share = move || share_suspects(sharer.0.clone(), sharer.1.clone());
    tokio::spawn(supervise("suspected requests", share));
    let ticked = leader.clone();
    let tick = move || run_leader_ticks(ticked.clone());
    tokio::spawn(supervise("leader ticks", tick));

    let (stop, stopped) = watch::channel(false);
    let handler = Arc::new(RequestHandler::new(state.clone()));
    let checked = (state.clone(), handler.pool());
    let check = move || check_reach(checked.0.clone(), checked.1.clone());
    tokio::spawn(supervise("reach of servers", check));
    let mut listener = CallerListener::new(state.clone(), handler);
    if let Some(relays) = relays {
        listener = listener.with_relays(relays);
    }
    let listener = listener.run(callers, stopped);
    tokio::pin!(listener);
    loop {
        tokio::select! {
            () = &mut listener => break,
            _ = hangup.recv() => reload(&file, &state),
            _ = terminate.recv(), if !*stop.borrow() => {
                log::info!("host stops");
                state.begin_stop();
                if let Err(error) = leader.tell(Resign).try_send() {
                    log::warn!(reason:% = error; "cannot ask the leader actor to resign");
                }
                stop.send_replace(true);
            }
        }
    }
    log::info!("host stopped");
    Ok(())
}

/// Starts the tasks that follow the objects in the store.
fn start_followers(state: &Arc<HostState>, store: &StoreClient, leader: &ActorRef<LeaderActor>) {
    let context = (state.clone(), store.clone());
    tokio::spawn(supervise("configuration", move || {
        let (state, store) = context.clone();
        follow(state.clone(), store, ConfigFollower::new(state))
    }));
    let context = (state.clone(), store.clone());
    tokio::spawn(supervise("server entries", move || {
        let (state, store) = context.clone();
        follow(state.clone(), store, FleetFollower::new(state))
    }));
    if state.follows_evacuations() {
        let context = (state.clone(), store.clone());
        tokio::spawn(supervise("evacuated zones", move || {
            let (state, store) = context.clone();
            follow(state.clone(), store, EvacuationFollower::new(state))
        }));
    }
    let context = (state.clone(), store.clone(), leader.clone());
    tokio::spawn(supervise("assignment", move || {
        let (state, store, leader) = context.clone();
        let owners = OwnerStore::new(state.clone(), store);
        read_owners(state, owners, leader)
    }));
}

/// Checks the settings file and logs the result. Changes take effect only at the next start,
/// as the settings are listener addresses and limits of the machine.
fn reload(file: &std::path::Path, state: &HostState) {
    match crate::conf::read_settings(file) {
        Ok(settings) if settings == state.settings => log::info!("settings unchanged"),
        Ok(_) => log::info!("settings changed; they take effect at the next start"),
        Err(error) => log::error!(reason:% = error; "changed settings rejected"),
    }
}

fn signal_stream(kind: SignalKind) -> Result<Signal, GatewayError> {
    signal(kind).or_else(|error| {
        StartSnafu {
            what: "signal handler",
            reason: error.to_string(),
        }
        .fail()
    })
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { listener, address })
}

/// Listener for requests of other hosts. Without it this host serves its own callers all the same.
async fn bind_relays(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::error!(address:% = address, reason:% = error; "cannot listen for other hosts, taking no requests of theirs");
            None
        }
    }
}

async fn run_leader_ticks(leader: ActorRef<LeaderActor>) {
    loop {
        let pause = match leader.ask(Tick).await {
            Ok(next) => next.0,
            Err(error) => {
                log::error!(reason:% = error; "leader actor does not answer");
                ACTOR_RETRY_DELAY
            }
        };
        sleep(pause).await;
    }
}
