//! Malformed messages and unexpected errors, which must not end a process or a task.

mod support;

use {
    camphorcove_core::ids::ConfigVersion,
    camphorcove_gateway::{
        leader::{LeaderActor, Tick},
        node::supervise,
        peers::{PeerLink, PeerMessage, open_message, seal_message},
        state::{ConfigCopy, FleetUpdate},
        watch::apply_config_copy,
    },
    camphorcove_platform::StoreClient,
    hmac::{Hmac, KeyInit, Mac},
    kameo::{
        actor::Spawn,
        message::{Context, Message},
    },
    proptest::{collection::vec, prelude::*},
    sha2::Sha256,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    support::fixtures::{host_state, table, version},
    tokio::{net::UdpSocket, time::timeout},
};

const SECRET: &[u8] = b"secret";

/// A datagram with a valid authentication tag around any bytes, as a host of another version may
/// send it.
fn sealed(body: &[u8]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET).expect("any key length");
    mac.update(body);
    let mut bytes = mac.finalize().into_bytes()[..16].to_vec();
    bytes.extend_from_slice(body);
    bytes
}

fn update_message() -> PeerMessage {
    PeerMessage::Fleet(FleetUpdate {
        from: version(1),
        to: version(2),
        put: Vec::new(),
        removed: vec!["s-1".parse().expect("valid id")],
    })
}

proptest! {
    /// Guards against a datagram that panics or reserves any amount of memory.
    #[test]
    fn malformed_datagram_is_rejected_or_decoded(body in vec(any::<u8>(), 0..200)) {
        let _ = open_message(SECRET, &sealed(&body));
        prop_assert!(open_message(SECRET, &body).is_none());
    }

    /// Guards against a changed datagram that is taken for an authentic one.
    #[test]
    fn changed_datagram_is_rejected(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut bytes = seal_message(SECRET, &update_message());
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(open_message(SECRET, &bytes).is_none());
    }

}

/// Guards against a length in a datagram for which the decoder reserves memory.
#[test]
fn datagram_with_a_huge_length_is_rejected() {
    // Variant `Fleet`, two versions of an epoch and a revision, then the number of entries as a 64-bit integer.
    let mut body = vec![3, 0, 1, 0, 2, 253];
    body.extend_from_slice(&(u64::MAX / 4).to_le_bytes());

    assert!(open_message(SECRET, &sealed(&body)).is_none());
}

/// Guards against a copy of a configuration that is unreadable, invalid or older than the one in
/// force, and that replaces it.
#[test]
fn malformed_copy_of_a_configuration_changes_nothing() {
    let state = host_state();
    state.set_table(table(7));

    for (revision, text) in [(3, "{"), (4, "{}"), (5, "[1]"), (6, "")] {
        let config_version = ConfigVersion(revision);
        let copy = ConfigCopy::pack(version(revision), config_version, text);
        apply_config_copy(&state, copy);
    }

    assert_eq!(state.table().map(|table| table.version.0), Some(7));
}

/// Guards against a small datagram that unpacks to more than the memory of a host.
#[test]
fn copy_of_a_configuration_that_unpacks_to_too_much_is_rejected() {
    let text = "0".repeat(9 << 20);
    let copy = ConfigCopy::pack(version(3), ConfigVersion(3), &text);

    let unpacked = copy.unpack();

    assert!(unpacked.is_err());
}

/// Guards against a task that ends for good with its first panic.
#[tokio::test]
async fn task_that_panics_starts_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    let task = move || {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            if number == 0 {
                // Unwinds without the panic hook, which takes long to print a backtrace.
                std::panic::resume_unwind(Box::new("fails the first time"));
            }
        }
    };

    let supervised = timeout(Duration::from_millis(500), supervise("test", task)).await;

    assert!(supervised.is_err(), "supervision goes on");
    assert!(starts.load(Ordering::Relaxed) >= 2);
}

/// A message whose handler panics.
struct Failing;

impl Message<Failing> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Failing, _: &mut Context<Self, Self::Reply>) {
        panic!("fails on purpose");
    }
}

/// Guards against a host that neither leads nor follows after a panic in one message.
#[tokio::test]
async fn leader_actor_goes_on_after_a_panic() {
    let state = host_state();
    let store = StoreClient::new(state.settings.store, Duration::from_millis(100));
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let link = PeerLink::new(Arc::new(socket));
    let actor = LeaderActor::spawn(LeaderActor::new(state, store, link));

    actor.tell(Failing).await.expect("delivered");
    let ticked = actor.ask(Tick).await;

    assert!(ticked.is_ok());
}
