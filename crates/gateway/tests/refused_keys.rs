//! What callers of other keys get after a server has refused a key that it does not own.

mod support;

use {
    camphorcove_core::{
        fleet::ServerEntry,
        ownership::{KeyRange, OwnerState, RangePhase, RangeRecord},
    },
    camphorcove_platform_standin::{
        caller::{call, key_header, request},
        scripted_server::{ScriptedServer, complete_response, not_owner},
    },
    rstest::rstest,
    support::fixtures::{entry, owners_with, start_host_with, version},
};

/// First key of the second of the owner's two ranges.
const SECOND_RANGE: u16 = 30_000;

/// Ownership state in which one server owns all keys, by two grants.
fn owners_with_two_ranges(owner: &ServerEntry) -> OwnerState {
    let mut state = owners_with(owner);
    for owners in state.services.values_mut() {
        let positions = owners.isolate(KeyRange {
            first: SECOND_RANGE,
            last: u16::MAX,
        });
        let second: &mut [RangeRecord] = &mut owners.ranges[positions];
        for record in second {
            if let RangePhase::Owned { token, .. } = &mut record.phase {
                *token = 2;
            }
        }
    }
    state
}

/// Load: a range has moved, and the host does not know it yet. Guards against a stop of the requests for
/// all other keys of the old owner: each move of a hot key refused them for 0.2 s.
#[rstest]
#[case::key_of_the_refused_range(78, false, 503)]
#[case::key_of_another_range(SECOND_RANGE, false, 200)]
#[case::address_of_another_server(SECOND_RANGE, true, 503)]
#[tokio::test]
async fn refused_key_stops_its_range_only(
    #[case] key: u16,
    #[case] address_is_reused: bool,
    #[case] expected: u16,
) {
    let server = ScriptedServer::start(vec![not_owner(), complete_response("fine")]).await;
    let owner = entry("s-1", "keyed", server.address);
    let mut entries = vec![owner.clone()];
    if address_is_reused {
        entries.push(entry("s-2", "keyed", server.address));
    }
    let host = start_host_with(entries).await;
    host.state
        .set_owners(owners_with_two_ranges(&owner), version(1));
    let refused = call(
        host.address,
        &request("GET", "/key/a", "r1", &key_header(77), ""),
    )
    .await;

    let other = call(
        host.address,
        &request("GET", "/key/a", "r2", &key_header(key.into()), ""),
    )
    .await;

    assert_eq!((refused.status, other.status), (503, expected));
}
