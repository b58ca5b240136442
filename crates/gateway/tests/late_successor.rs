//! A host that was cut off, and knows neither the latest assignment nor the latest servers, takes over.

mod support;

use {
    camphorcove_core::ownership::{LeaderRecord, OwnerState},
    camphorcove_gateway::{
        leader::DigestReceived,
        peers::{Digest, PeerMessage, open_message},
    },
    camphorcove_platform_standin::store_standin::StoreStandin,
    std::{net::SocketAddr, time::Duration},
    support::{
        fixtures::entry,
        leader_hosts::{digest, leader_host, leader_host_with},
        owned_region::{OwnedRegion, is_owned, owned_region, stored, until},
    },
    tokio::{
        net::UdpSocket,
        time::{Instant, sleep, timeout_at},
    },
};

const SECRET: &str = "secret";

fn nowhere() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

/// Assignment of the first term, whose leader cannot be reached.
fn assignment_of_lost_leader(change: u64) -> OwnerState {
    let mut state = OwnerState::new(SECRET.into());
    state.begin_term(LeaderRecord {
        host: "lost".parse().expect("valid id"),
        nonce: 7,
        address: nowhere(),
    });
    state.change = change;
    state
}

/// Waits for a digest of this term.
async fn digest_arrives(socket: &UdpSocket, term: u64, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    let mut buffer = vec![0; 60_000];
    while let Ok(received) = timeout_at(deadline, socket.recv_from(&mut buffer)).await {
        let (length, _) = received.expect("socket works");
        let message = open_message(SECRET.as_bytes(), &buffer[..length]);
        if matches!(message, Some(PeerMessage::Digest(digest)) if digest.term == term) {
            return true;
        }
    }
    false
}

/// Guards against a new leader that forgets the other hosts before any has reported to it: hosts that
/// could not apply its change of the assignment heard nothing of it for 1.2 s, and none of their
/// reports reached it.
#[tokio::test]
async fn new_leader_sends_digests_to_the_hosts_of_its_predecessor() {
    let (store, address) = StoreStandin::start().await;
    let put = |change: u64| {
        let state = assignment_of_lost_leader(change);
        let content = serde_json::to_value(&state).expect("plain values");
        store.put("camphorcove", "owners", content);
    };
    put(1);
    let host = leader_host("host-1", address, nowhere()).await;
    let peer = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    until("read", || host.state.owners().is_some()).await;
    let message = DigestReceived {
        digest: Digest {
            peers: vec![peer.local_addr().expect("bound")],
            ..digest(7, 1, true)
        },
        from: nowhere(),
    };
    host.actor.ask(message).await.expect("actor lives");
    put(2);

    until("leads", || host.state.is_leader()).await;

    assert!(digest_arrives(&peer, 2, Duration::from_millis(500)).await);
}

/// Guards against two owners of a key: the successor knows at an owner's address only a server that had
/// ended before the owner started there.
#[tokio::test]
async fn successor_with_an_outdated_fleet_does_not_give_away_held_keys() {
    let OwnedRegion {
        store,
        address,
        ledger,
        servers,
        hosts,
        ..
    } = owned_region().await;
    let known = stored(&store).expect("an assignment");
    for host in &hosts {
        host.actor.kill();
    }
    let mut entries = vec![entry("s-ended", "keyed", servers[0].address)];
    for server in &servers[1..] {
        entries.push(entry(&server.id, "keyed", server.address));
    }

    let _successor = leader_host_with("host-9", address, entries).await;
    until("owned in the next term", || {
        let state = stored(&store).expect("an assignment");
        state.term > known.term && is_owned(&state)
    })
    .await;
    sleep(Duration::from_secs(2)).await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
}
