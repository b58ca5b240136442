//! Hosts that hear of changes of the assignment without getting them, and a store that loses these.

mod support;

use {
    camphorcove_gateway::{
        leader::{DigestReceived, ElectorChangeReceived, OwnerChangeReceived, ReportReceived},
        peers::{PeerMessage, open_message},
    },
    camphorcove_platform_standin::store_standin::StoreStandin,
    camphorcove_standin::proxy::{ProxySettings, ProxyStandin},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    support::{
        fixtures::entry,
        leader_hosts::{LeaderHost, deaf_leader_host},
        owned_region::{
            is_owned, move_busy_keys, move_keys, next_token, owning_servers, start_host, stored,
            until,
        },
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// Time in which all hosts have reported to the leader and know the assignment.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// A host that can be made to miss the changes of the assignment.
struct LossyHost {
    host: LeaderHost,
    store: ProxyStandin,
    misses_changes: Arc<AtomicBool>,
}

impl LossyHost {
    /// Loses the leader's changes of the assignment, and the way to the store, from now on or no
    /// longer.
    fn miss_changes(&self, misses: bool) {
        self.misses_changes.store(misses, Ordering::Relaxed);
        self.store.change(|settings| {
            *settings = ProxySettings {
                refuse: misses,
                cut: misses,
                ..ProxySettings::default()
            }
        });
    }
}

/// Hands over the messages of other hosts, but for changes of the assignment while they are missed.
async fn receive_in_part(
    host: LeaderHost,
    socket: Arc<UdpSocket>,
    misses_changes: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 60_000];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await.expect("a datagram");
        let Some((owners, _)) = host.state.owners() else {
            continue;
        };
        let message = open_message(owners.secret.as_bytes(), &buffer[..length]);
        let delivered = match message.expect("an authentic message") {
            PeerMessage::Owners(_) | PeerMessage::Electors(_)
                if misses_changes.load(Ordering::Relaxed) =>
            {
                continue;
            }
            PeerMessage::Owners(change) => {
                host.actor.tell(OwnerChangeReceived(change)).await.is_ok()
            }
            PeerMessage::Electors(change) => {
                host.actor.tell(ElectorChangeReceived(change)).await.is_ok()
            }
            PeerMessage::Report(report) => {
                host.state.set_peer_versions(&report.versions);
                host.actor
                    .tell(ReportReceived { report, from })
                    .await
                    .is_ok()
            }
            PeerMessage::Digest(digest) => {
                host.state.set_peer_versions(&digest.versions);
                host.actor
                    .tell(DigestReceived { digest, from })
                    .await
                    .is_ok()
            }
            PeerMessage::Fleet(_)
            | PeerMessage::Suspects(_)
            | PeerMessage::Config(_)
            | PeerMessage::ResendRequest(_) => true,
        };
        assert!(delivered, "the actor has ended");
    }
}

/// Guards against a successor that keeps the owners which it remembers, because most hosts have missed the
/// last changes of the leader and so remember no later ones.
#[tokio::test]
async fn successor_waits_for_leases_of_changes_that_it_has_only_heard_of() {
    let (store, address) = StoreStandin::start().await;
    let (ledger, servers) = owning_servers(3).await;
    let leader = start_host("host-0", address, &servers).await;
    until("a leader", || leader.state.is_leader()).await;
    let mut followers = Vec::new();
    for number in 1..3 {
        let store = ProxyStandin::to(address).await.expect("a port is free");
        let socket = UdpSocket::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let socket = Arc::new(socket);
        let entries = servers
            .iter()
            .map(|server| entry(&server.id, "keyed", server.address));
        let name = format!("host-{number}");
        let host = deaf_leader_host(&name, store.address(), entries.collect(), socket.clone());
        let misses_changes = Arc::new(AtomicBool::new(false));
        let receiver = LeaderHost {
            state: host.state.clone(),
            actor: host.actor.clone(),
        };
        tokio::spawn(receive_in_part(receiver, socket, misses_changes.clone()));
        followers.push(LossyHost {
            host,
            store,
            misses_changes,
        });
    }
    until("owned", || {
        stored(&store).is_some_and(|state| is_owned(&state))
    })
    .await;
    sleep(SETTLE_TIME).await;
    let leaders = std::slice::from_ref(&leader);
    let backup = store.back_up();
    move_keys(leaders, &store).await;
    sleep(Duration::from_millis(500)).await;
    for follower in &followers {
        follower.miss_changes(true);
    }
    move_busy_keys(leaders, &store, 60_000..60_200).await;
    let known = stored(&store).expect("an assignment");
    sleep(Duration::from_millis(300)).await;

    leader.actor.kill();
    store.restore(backup);
    for follower in &followers {
        follower.miss_changes(false);
    }
    until("owned by a leader that knows of the lost changes", || {
        stored(&store)
            .is_some_and(|state| is_owned(&state) && next_token(&state) > next_token(&known))
    })
    .await;
    sleep(Duration::from_secs(2)).await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
    let successors = followers
        .iter()
        .filter(|follower| follower.host.state.is_leader());
    assert_eq!(successors.count(), 1);
}
