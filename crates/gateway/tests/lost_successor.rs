//! A successor whose takeover the store has lost, while the earlier leader lives on.

mod support;

use {
    camphorcove_core::{
        fleet::ServerEntry,
        ids::StoreVersion,
        ownership::{KeyRange, OwnerState, RangePhase},
    },
    camphorcove_platform_standin::{
        caller::{call, request},
        owning_server::OwningServer,
    },
    std::{net::SocketAddr, time::Duration},
    support::{
        fixtures::entry,
        owned_region::{OwnedRegion, is_owned, owned_region, stored, until},
    },
    tokio::time::sleep,
};

/// Token of the successor's grants, above those that the earlier leader has given out.
const TOKENS_LATER: u64 = 20;

/// Ranges that a server owns.
fn ranges_of(state: &OwnerState, server: &str) -> Vec<KeyRange> {
    let mut ranges = Vec::new();
    for record in state.services.values().flat_map(|owners| &owners.ranges) {
        if let RangePhase::Owned { owner, .. } = &record.phase
            && owner.id.as_str() == server
        {
            ranges.push(record.range);
        }
    }
    ranges
}

/// Number of ranges of the earlier start of the server.
fn ranges_of_earlier_start(state: &OwnerState) -> usize {
    let records = state.services.values().flat_map(|owners| &owners.ranges);
    let earlier = records.filter(|record| {
        matches!(&record.phase, RangePhase::Owned { owner, .. }
            if owner.id.as_str() == "s-0" && owner.incarnation == 1)
    });
    earlier.count()
}

fn next_token(state: &OwnerState) -> u64 {
    let tokens = state.services.values().map(|owners| owners.next_token);
    tokens.max().unwrap_or_default()
}

async fn grant(to: SocketAddr, range: KeyRange, token: u64) {
    let order = format!(
        r#"{{"From":{},"To":{},"fence":{token},"HoldS":3}}"#,
        range.first, range.last
    );
    let json = "Content-Type: application/json\r\n";
    let answer = call(to, &request("POST", "/grant", "o-1", json, &order)).await;
    assert_eq!(answer.status, 200);
}

/// Guards against a leader that writes its assignment again and grants keys which a successor, lost with
/// the store's last writes, has granted to another server.
#[tokio::test]
async fn living_leader_waits_for_grants_of_a_lost_successor() {
    let OwnedRegion {
        store,
        ledger,
        servers,
        hosts,
        ..
    } = owned_region().await;
    let (leaders, followers): (Vec<_>, Vec<_>) =
        hosts.iter().partition(|host| host.state.is_leader());
    for follower in followers {
        follower.actor.kill();
    }
    let known = stored(&store).expect("an assignment");
    store.silence_watches(true);
    let backup = store.back_up();
    servers[0].crash();
    let restarted = OwningServer::start("s-0", &ledger).await;
    for range in ranges_of(&known, "s-0") {
        grant(servers[1].address, range, next_token(&known) + TOKENS_LATER).await;
    }
    let mut successor = known.clone();
    successor.term += 1;
    let content = serde_json::to_value(&successor).expect("plain values");
    store.put("camphorcove", "owners", content);

    store.restore(backup);
    store.silence_watches(false);
    let entry = ServerEntry {
        incarnation: 2,
        ..entry("s-0", "keyed", restarted.address)
    };
    let version = StoreVersion::new(1, 1_000);
    leaders[0]
        .state
        .apply_watched_changes(vec![entry], Vec::new(), version);
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(ledger.violations(), Vec::<String>::new());
    until("owned by servers that live", || {
        stored(&store).is_some_and(|state| is_owned(&state) && ranges_of_earlier_start(&state) == 0)
    })
    .await;
    sleep(Duration::from_millis(500)).await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
}
