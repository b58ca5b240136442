//! The datagram socket.

use {
    super::{PeerMessage, open_message, seal_message},
    crate::{
        leader::{
            DigestReceived, LeaderActor, OwnerChangeReceived, ReportReceived, ResendRequested,
        },
        state::{FleetUpdate, HostState, LogTopic},
    },
    kameo::actor::ActorRef,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 60_000;

/// Largest datagram that is sent: a change of all ranges of some 250 servers. Hosts read
/// a larger change from the store.
const SENT_BYTES: usize = 24_000;

/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Sends datagrams.
#[derive(Clone, Debug)]
pub struct PeerLink {
    socket: Arc<UdpSocket>,
}

impl PeerLink {
    /// Link over a bound socket.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket }
    }

    /// Sends a message; a datagram may be lost, so a failure is only logged.
    pub fn send(&self, state: &HostState, to: SocketAddr, message: &PeerMessage) {
        self.send_all(state, &BTreeSet::from([to]), message);
    }

    /// Sends a message to several hosts.
    pub fn send_all(&self, state: &HostState, to: &BTreeSet<SocketAddr>, message: &PeerMessage) {
        let Some((owners, _)) = state.owners() else {
            return;
        };
        let bytes = seal_message(owners.secret.as_bytes(), message);
        if bytes.len() > SENT_BYTES {
            log::debug!(bytes = bytes.len(); "message too large for a datagram");
            return;
        }
        for address in to {
            if let Err(error) = self.socket.try_send_to(&bytes, *address)
                && let Some(left_out) = state.may_log(LogTopic::Peer)
            {
                log::warn!(to:% = address, left_out, reason:% = error; "datagram not sent");
            }
        }
    }
}

/// Receives datagrams for ever.
pub async fn receive(state: Arc<HostState>, socket: Arc<UdpSocket>, leader: ActorRef<LeaderActor>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(reason:% = error; "datagrams cannot be received");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        let Some((owners, _)) = state.owners() else {
            continue;
        };
        let message = open_message(owners.secret.as_bytes(), &buffer[..length]);
        let Some(message) = message else {
            if let Some(left_out) = state.may_log(LogTopic::Peer) {
                log::warn!(from:% = from, left_out; "datagram rejected");
            }
            continue;
        };
        let told = match message {
            PeerMessage::Report(report) => {
                state.set_peer_revisions(&report.revisions);
                leader
                    .tell(ReportReceived { report, from })
                    .try_send()
                    .is_ok()
            }
            PeerMessage::Digest(digest) => {
                state.set_peer_revisions(&digest.revisions);
                leader
                    .tell(DigestReceived { digest, from })
                    .try_send()
                    .is_ok()
            }
            PeerMessage::Owners(change) => {
                leader.tell(OwnerChangeReceived(change)).try_send().is_ok()
            }
            PeerMessage::Fleet(update) => {
                take_update(&state, update);
                true
            }
            PeerMessage::ResendRequest(revisions) => leader
                .tell(ResendRequested { revisions, from })
                .try_send()
                .is_ok(),
        };
        if !told && let Some(left_out) = state.may_log(LogTopic::Peer) {
            log::warn!(from:% = from, left_out; "leader actor is too busy for a datagram");
        }
    }
}

/// Takes changes of servers unless this host's own watch brings them.
fn take_update(state: &HostState, update: FleetUpdate) {
    if state.watches_store() {
        return;
    }
    let (from, to) = (update.from, update.to);
    if !state.update_fleet(update) {
        log::debug!(from, to; "changes of servers are known or do not fit");
    }
}
