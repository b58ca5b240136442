//! Two servers must not hold the same keys after the store has returned to an earlier copy and hosts
//! have lost what they remembered.

mod support;

use {
    camphorcove_gateway::leader::Resign,
    rstest::rstest,
    std::time::Duration,
    support::owned_region::{
        OwnedRegion, is_owned, move_keys, next_token, owned_region, start_hosts, stored, until,
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
