//! A leader that begins with the assignment that its host remembers, after the store has lost writes,
//! and the reports of other hosts.

mod support;

use {
    camphorcove_core::{
        ids::{HostId, StoreVersion},
        ownership::{LeaderRecord, OwnerState},
    },
    camphorcove_gateway::{
        leader::{DigestReceived, ReportReceived},
        peers::{Digest, Report},
    },
    camphorcove_platform_standin::store_standin::StoreStandin,
    rstest::rstest,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{
        fixtures::{entry, idle_report, owners_with, version},
        leader_hosts::{LeaderHost, digest, leader_host_with},
        owned_region::{stored, until},
    },
    tokio::time::sleep,
};

/// Other hosts, which all report to the leader.
const OTHERS: u64 = 4;

/// Time without a digest after which the host may have missed writes of the leader.
const SILENCE: Duration = Duration::from_millis(3_000);

/// Time for which the other hosts report; their leader has them all from the first.
const REPORT_TIME: Duration = Duration::from_millis(1_000);

/// What the other hosts remember.
#[derive(Clone, Copy, Debug)]
enum Memory {
    Nothing,
    SameAssignment,
    LaterAssignment,
}

fn nowhere(number: u64) -> SocketAddr {
    ([127, 0, 0, 1], 9 + u16::try_from(number).unwrap_or(0)).into()
}

fn host_id(number: u64) -> HostId {
    format!("other-{number}").parse().expect("valid id")
}

/// Assignment of a leader that is lost, with its last change.
fn assignment(change: u64) -> OwnerState {
    let mut state = owners_with(&entry("s-1", "keyed", nowhere(0)));
    state.enter_epoch(0);
    state.begin_term(LeaderRecord {
        host: host_id(0),
        nonce: 7,
        address: nowhere(0),
    });
    state.change = change;
    state
}

fn digest_of_lost_leader() -> DigestReceived {
    let digest = Digest {
        peers: (0..=OTHERS).map(nowhere).collect(),
        ..digest(7, 1, true)
    };
    DigestReceived {
        digest,
        from: nowhere(0),
    }
}

fn report(number: u64, term: u64, remembered: StoreVersion) -> ReportReceived {
    let report = Report {
        remembered_owners: remembered,
        ..idle_report(host_id(number), number, term)
    };
    ReportReceived {
        report,
        from: nowhere(number),
    }
}

/// A host that remembers change 9, at revision 9, and leads after the store has returned with change 2.
async fn leader_after_lost_writes(silence: Duration) -> (LeaderHost, StoreStandin) {
    let (store, address) = StoreStandin::start().await;
    let old = serde_json::to_value(assignment(2)).expect("plain");
    store.put("camphorcove", "owners", old);
    let host = leader_host_with("host-1", address, vec![entry("s-1", "keyed", nowhere(0))]).await;
    until("read", || host.state.owners().is_some()).await;
    host.state.set_owners(assignment(9), version(9));
    let backup = store.back_up();
    store.set_down(true);
    host.actor
        .ask(digest_of_lost_leader())
        .await
        .expect("actor lives");
    sleep(silence).await;
    store.restore(backup);
    store.set_down(false);
    until("leads", || host.state.is_leader()).await;
    (host, store)
}

/// Guards against a leader with an outdated memory that takes the silence of hosts that have just started
/// for a confirmation: it had missed the last writes of the lost leader, and gave keys to second
/// owners.
#[rstest]
#[case::new_hosts_after_a_silent_leader(Memory::Nothing, SILENCE, false)]
#[case::new_hosts_after_a_leader_that_was_heard(Memory::Nothing, Duration::ZERO, true)]
#[case::hosts_that_remember(Memory::SameAssignment, SILENCE, true)]
#[case::hosts_that_remember_more(Memory::LaterAssignment, Duration::ZERO, false)]
#[tokio::test]
async fn remembered_assignment_is_verified_by_hosts_that_can_know(
    #[case] memory: Memory,
    #[case] silence: Duration,
    #[case] is_verified: bool,
) {
    let (host, store) = leader_after_lost_writes(silence).await;
    let term = stored(&store).expect("an assignment").term;
    let remembered = match memory {
        Memory::Nothing => StoreVersion::default(),
        Memory::SameAssignment => version(9),
        Memory::LaterAssignment => version(10),
    };

    let started = Instant::now();
    while started.elapsed() < REPORT_TIME {
        for number in 0..OTHERS {
            let report = report(number, term, remembered);
            host.actor.tell(report).await.expect("actor lives");
        }
        sleep(Duration::from_millis(50)).await;
    }

    let state = stored(&store).expect("an assignment");
    assert_eq!(!state.may_lack_owners, is_verified);
}
