//! Sends and receives datagrams between hosts.

use {
    super::{PeerMessage, open_message, seal_message},
    crate::{
        leader::{
            DigestReceived, ElectorChangeReceived, LeaderActor, OwnerChangeReceived,
            ReportReceived, ResendRequested,
        },
        state::{FleetUpdate, HostState, LogTopic},
        watch::apply_config_copy,
    },
    kameo::actor::ActorRef,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Size of the receive buffer, and so the largest datagram that is read.
const RECEIVE_BUFFER_BYTES: usize = 60_000;

/// Largest datagram that is sent. It fits a change of all ranges of about 250 servers; hosts
/// read a larger change from the store.
const MAX_SENT_BYTES: usize = 24_000;

/// Pause after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends datagrams to other hosts.
#[derive(Clone, Debug)]
pub struct PeerLink {
    socket: Arc<UdpSocket>,
}

impl PeerLink {
    /// Creates a link over a bound socket.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket }
    }

    /// Sends a message to one host. Datagrams may be lost anyway, so a failure is only logged.
    pub fn send(&self, state: &HostState, to: SocketAddr, message: &PeerMessage) {
        self.send_all(state, &BTreeSet::from([to]), message);
    }

    /// Sends a message to several hosts. Sends nothing before the assignment, which contains the
    /// key, is known, or if the message is too large.
    pub fn send_all(&self, state: &HostState, to: &BTreeSet<SocketAddr>, message: &PeerMessage) {
        let Some((owners, _)) = state.owners() else {
            return;
        };
        let bytes = seal_message(owners.secret.as_bytes(), message);
        if bytes.len() > MAX_SENT_BYTES {
            log::debug!(bytes = bytes.len(); "message not sent: too large for a datagram");
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

/// Receives datagrams and hands them to the leader actor or the state; never returns.
pub async fn receive(state: Arc<HostState>, socket: Arc<UdpSocket>, leader: ActorRef<LeaderActor>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(reason:% = error; "cannot receive datagrams");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        let Some((owners, _)) = state.owners() else {
            continue;
        };
        let message = open_message(owners.secret.as_bytes(), &buffer[..length]);
        let Some(message) = message else {
            if let Some(left_out) = state.may_log(LogTopic::Peer) {
                log::warn!(from:% = from, left_out; "datagram rejected: not authentic or not readable");
            }
            continue;
        };
        let delivered = match message {
            PeerMessage::Report(report) => {
                state.set_peer_versions(&report.versions);
                leader
                    .tell(ReportReceived { report, from })
                    .try_send()
                    .is_ok()
            }
            PeerMessage::Digest(digest) => {
                state.set_peer_versions(&digest.versions);
                leader
                    .tell(DigestReceived { digest, from })
                    .try_send()
                    .is_ok()
            }
            PeerMessage::Owners(change) => {
                leader.tell(OwnerChangeReceived(change)).try_send().is_ok()
            }
            PeerMessage::Electors(change) => leader
                .tell(ElectorChangeReceived(change))
                .try_send()
                .is_ok(),
            PeerMessage::Fleet(update) => {
                apply_fleet_update(&state, update);
                true
            }
            PeerMessage::Config(copy) => {
                apply_config_copy(&state, copy);
                true
            }
            PeerMessage::Suspects(news) => {
                state.apply_suspect_news(&news);
                true
            }
            PeerMessage::ResendRequest(versions) => leader
                .tell(ResendRequested { versions, from })
                .try_send()
                .is_ok(),
        };
        if !delivered && let Some(left_out) = state.may_log(LogTopic::Peer) {
            log::warn!(from:% = from, left_out; "datagram dropped: leader actor is too busy");
        }
    }
}

/// Applies a fleet update from the leader, unless this host watches the store itself.
fn apply_fleet_update(state: &HostState, update: FleetUpdate) {
    if state.watches_store() {
        return;
    }
    let (from, to) = (update.from, update.to);
    if !state.update_fleet(update) {
        log::debug!(from:% = from, to:% = to; "fleet update ignored: already known, or changes before it are missing");
    }
}
