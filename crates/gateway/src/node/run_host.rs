//! A host from start to stop.

use {
    crate::{
        conf::GatewaySettings,
        error::{GatewayError, ListenSnafu, StartSnafu},
        leader::{LeaderActor, OwnerStore, Resign, Tick},
        metrics::serve_probes,
        peers::{PeerLink, receive},
        serve::{CallerListener, RequestFlow},
        state::HostState,
        watch::{ConfigFollower, FleetFollower, follow, read_owners},
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

/// Pause of the leader's loop if its actor does not answer.
const ACTOR_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for a connection to the store: many round trips. Together with the
/// pauses between tries, a host follows the store again 1 s after a partition.
const STORE_CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Runs the host until it is told to stop.
pub async fn run_host(settings: GatewaySettings, file: PathBuf) -> Result<(), GatewayError> {
    let mut terminate = listen_signal(SignalKind::terminate())?;
    let mut hangup = listen_signal(SignalKind::hangup())?;
    let callers = bind("callers", settings.callers).await?;
    let readiness = bind("readiness", settings.readiness).await?;
    let metrics = bind("metrics", settings.metrics).await?;
    let address = settings.peers;
    let socket = UdpSocket::bind(address).await.context(ListenSnafu {
        listener: "peers",
        address,
    })?;
    let socket = Arc::new(socket);
    let store = StoreClient::new(settings.store, STORE_CONNECT_LIMIT);
    let state = Arc::new(HostState::new(settings));
    log::info!(nonce = state.nonce, zone = state.settings.zone.as_str(); "host starts");

    let link = PeerLink::new(socket.clone());
    let leader = LeaderActor::spawn(LeaderActor::new(state.clone(), store.clone(), link));
    tokio::spawn(follow(
        state.clone(),
        store.clone(),
        ConfigFollower::new(state.clone()),
    ));
    tokio::spawn(follow(
        state.clone(),
        store.clone(),
        FleetFollower::new(state.clone()),
    ));
    tokio::spawn(read_owners(
        state.clone(),
        OwnerStore::new(state.clone(), store),
        leader.clone(),
    ));
    tokio::spawn(receive(state.clone(), socket, leader.clone()));
    tokio::spawn(serve_probes(state.clone(), readiness));
    tokio::spawn(serve_probes(state.clone(), metrics));
    tokio::spawn(tick(leader.clone()));

    let (stop, stopped) = watch::channel(false);
    let flow = Arc::new(RequestFlow::new(state.clone()));
    let listener = CallerListener::new(state.clone(), flow).run(callers, stopped);
    tokio::pin!(listener);
    loop {
        tokio::select! {
            () = &mut listener => break,
            _ = hangup.recv() => reload(&file, &state),
            _ = terminate.recv(), if !*stop.borrow() => {
                log::info!("host stops");
                state.begin_stop();
                if let Err(error) = leader.tell(Resign).try_send() {
                    log::warn!(reason:% = error; "leader actor does not resign");
                }
                stop.send_replace(true);
            }
        }
    }
    log::info!("host stopped");
    Ok(())
}

/// The settings name addresses and limits of the machine, which need a new start.
fn reload(file: &std::path::Path, state: &HostState) {
    match crate::conf::read_settings(file) {
        Ok(settings) if settings == state.settings => log::info!("settings unchanged"),
        Ok(_) => log::info!("settings changed, in force from the next start"),
        Err(error) => log::error!(reason:% = error; "changed settings rejected"),
    }
}

fn listen_signal(kind: SignalKind) -> Result<Signal, GatewayError> {
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

async fn tick(leader: ActorRef<LeaderActor>) {
    loop {
        let pause = match leader.ask(Tick).await {
            Ok(next) => next.0,
            Err(error) => {
                log::error!(reason:% = error; "leader actor does not answer");
                ACTOR_PAUSE
            }
        };
        sleep(pause).await;
    }
}
