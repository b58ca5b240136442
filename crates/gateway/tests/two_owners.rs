//! Two servers must not hold the same keys after the store has returned to an earlier copy and hosts
//! have lost what they remembered.

mod support;

use {
    camphorcove_core::{
        ids::StoreVersion,
        ownership::{AUTHORITY_LIMIT_WITHOUT_MAJORITY, LEASE_DURATION, LeaderRecord, OwnerState},
    },
    camphorcove_gateway::leader::{OwnerStore, Resign, WriteOutcome},
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::{
        fixtures::{entry, host_state, owners_with},
        leader_hosts::leader_host_with,
        owned_region::{
            OwnedRegion, is_owned, move_keys, next_token, owned_region, owners_of, start_hosts,
            stored, until,
        },
    },
    tokio::time::sleep,
};

/// How the first leader after lost writes ends.
#[derive(Clone, Copy, Debug)]
enum LeaderEnd {
    Crash,
    Resignation,
}

/// Guards against a leader that trusts what its predecessor took over from a backup: the predecessor
/// ended before the leases of servers that the backup does not name had ended.
#[rstest]
#[case::resignation(LeaderEnd::Resignation)]
#[case::crash(LeaderEnd::Crash)]
#[tokio::test]
async fn second_successor_after_lost_writes_does_not_trust_the_backup(#[case] end: LeaderEnd) {
    let OwnedRegion {
        store,
        address,
        ledger,
        servers,
        hosts,
        ..
    } = owned_region().await;
    let backup = store.back_up();
    move_keys(&hosts, &store).await;
    let known = stored(&store).expect("an assignment");
    for host in &hosts {
        host.actor.kill();
    }

    store.restore(backup);
    let successors = start_hosts(address, &servers).await;
    until("taken over", || {
        successors.iter().any(|host| host.state.is_leader())
    })
    .await;
    let first = successors.iter().find(|host| host.state.is_leader());
    let first = first.expect("a leader");
    let term = stored(&store).expect("an assignment").term;
    match end {
        LeaderEnd::Crash => first.actor.kill(),
        LeaderEnd::Resignation => first.actor.tell(Resign).await.expect("actor lives"),
    }
    until("owned", || {
        let state = stored(&store).expect("an assignment");
        state.term > term && is_owned(&state)
    })
    .await;
    sleep(Duration::from_secs(2)).await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
    let state = stored(&store).expect("an assignment");
    assert!(next_token(&state) > next_token(&known));
}

/// Guards against hosts that have just started and take a store without an assignment for a new one:
/// it has lost the assignment, and servers still hold leases.
#[tokio::test]
async fn assignment_is_not_created_anew_while_leases_of_a_lost_one_run() {
    let OwnedRegion {
        store,
        address,
        ledger,
        servers,
        hosts,
        empty,
    } = owned_region().await;
    move_keys(&hosts, &store).await;
    let known = stored(&store).expect("an assignment");
    for host in &hosts {
        host.actor.kill();
    }

    // A store names its epochs from 1 on, the stand-in from 0.
    store.restore(store.back_up());
    store.restore(empty);
    let _successors = start_hosts(address, &servers).await;
    until("created", || stored(&store).is_some()).await;
    until("owned", || {
        stored(&store).is_some_and(|state| is_owned(&state))
    })
    .await;
    sleep(Duration::from_secs(2)).await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
    let state = stored(&store).expect("an assignment");
    assert!(state.term > known.term);
    assert!(next_token(&state) > next_token(&known));
}

/// An assignment that a leader of `term` wrote in `epoch`.
fn assignment(term: u64, epoch: u64) -> OwnerState {
    let mut state = OwnerState::new("secret".into());
    state.enter_epoch(epoch);
    state.term = term;
    state
}

/// Guards against a leader that goes on after its write has replaced the assignment of a successor: the
/// store had returned to an earlier copy while the write was on its way, and the successor's write
/// had the same revision as the assignment that was to be replaced.
#[tokio::test]
async fn write_that_is_applied_in_a_later_epoch_does_not_count() {
    let (store, address) = StoreStandin::start().await;
    let client = StoreClient::new(address, Duration::from_millis(400));
    let owners = OwnerStore::new(host_state(), client);
    let write = async |state: &OwnerState, version: StoreVersion| {
        let (_, outcome) = owners.write(state, version).await;
        outcome
    };
    let WriteOutcome::Written { version: first } =
        write(&assignment(1, 0), StoreVersion::new(0, 0)).await
    else {
        panic!("not created");
    };
    let backup = store.back_up();
    let WriteOutcome::Written { version: replaced } = write(&assignment(1, 0), first).await else {
        panic!("not written");
    };
    store.restore(backup);
    let in_next_epoch = StoreVersion::new(1, first.revision);
    let successor = write(&assignment(1_025, 1), in_next_epoch).await;

    let outcome = write(&assignment(1, 0), replaced).await;

    assert!(
        matches!(successor, WriteOutcome::Written { version } if version.revision == replaced.revision)
    );
    let epoch = match outcome {
        WriteOutcome::WritesLost { stored } => Some(stored.epoch),
        WriteOutcome::Written { .. } | WriteOutcome::Lost | WriteOutcome::NotDone => None,
    };
    assert_eq!(epoch, Some(1));
}

/// Guards against a write that counts although the store has lost writes after it: its answer was
/// late, the repeated write finds its own result in a copy, and a later leader may be missing there.
#[tokio::test]
async fn write_that_is_found_in_a_copy_does_not_count() {
    let (store, address) = StoreStandin::start().await;
    let client = StoreClient::new(address, Duration::from_millis(400));
    let owners = OwnerStore::new(host_state(), client);
    let none = StoreVersion::new(0, 0);
    owners.write(&assignment(1, 0), none).await;
    store.restore(store.back_up());

    let (_, outcome) = owners.write(&assignment(1, 0), none).await;

    let epoch = match outcome {
        WriteOutcome::WritesLost { stored } => Some(stored.epoch),
        WriteOutcome::Written { .. } | WriteOutcome::Lost | WriteOutcome::NotDone => None,
    };
    assert_eq!(epoch, Some(1));
}

/// Time for which the lost leader may still act without most hosts, and the lease that it may give at its
/// end.
const LOST_LEADER_LEASES: Duration =
    AUTHORITY_LIMIT_WITHOUT_MAJORITY.saturating_add(LEASE_DURATION);

/// Guards against a leader that waits only for its predecessor's leases: the predecessor had just taken
/// over from a leader that was lost to it and may still renew the lease of a server that only that
/// leader reaches.
#[tokio::test]
async fn second_successor_waits_for_the_leader_that_was_lost() {
    let (store, address) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let server = OwningServer::start("s-2", &ledger).await;
    // No host reaches this server.
    let unreached = entry("s-1", "keyed", ([127, 0, 0, 1], 9).into());
    let mut state = owners_with(&unreached);
    state.hosts = 2;
    state.begin_term(LeaderRecord {
        host: "lost".parse().expect("valid id"),
        nonce: 7,
        address: ([127, 0, 0, 1], 10).into(),
    });
    store.put(
        "camphorcove",
        "owners",
        serde_json::to_value(&state).expect("plain"),
    );
    let entries = vec![unreached, entry("s-2", "keyed", server.address)];
    let mut hosts = Vec::new();
    for name in ["host-1", "host-2"] {
        hosts.push(leader_host_with(name, address, entries.clone()).await);
    }

    until("taken over", || {
        hosts.iter().any(|host| host.state.is_leader())
    })
    .await;
    let taken_over_at = Instant::now();
    let first = hosts
        .iter()
        .find(|host| host.state.is_leader())
        .expect("a leader");
    first.actor.tell(Resign).await.expect("actor lives");
    until("moved", || {
        let state = stored(&store).expect("an assignment");
        owners_of(&state).values().any(|owner| owner == "s-2")
    })
    .await;

    let waited = taken_over_at.elapsed();
    assert!(stored(&store).is_some_and(|state| state.term > 2));
    assert!(waited >= LOST_LEADER_LEASES, "{waited:?}");
}
