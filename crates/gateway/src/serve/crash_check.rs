//! Finds requests under which servers crash.

use {
    super::{RequestHandler, request_handler::RoutedRequest},
    crate::forward::any_accepts,
    camphorcove_core::{
        fleet::ServerEntry,
        quarantine::{Admittance, RequestFingerprint},
        time::BootTime,
    },
    http::header,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Headers that tell callers apart. The address does not: callers use several.
const CALLER_HEADERS: [header::HeaderName; 2] = [header::AUTHORIZATION, header::COOKIE];

/// Longest wait for the answer to a connection attempt: a few round trips between zones. A server
/// that is only cut off does not answer.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Other servers of which one has to accept a connection, for a crash to count.
const COMPARED_SERVERS: usize = 2;

impl RequestHandler {
    /// Whether the request may be sent to a server now.
    pub(super) fn admit(&self, routed: &RoutedRequest) -> Admittance {
        match self.state.has_suspects() {
            true => self.state.admit_request(&routed.fingerprint()),
            false => Admittance::Open,
        }
    }

    /// Clears a suspected request after a server has answered it.
    pub(super) fn record_answer(&self, routed: &RoutedRequest) {
        if self.state.has_suspects() {
            self.state.record_answered_request(&routed.fingerprint());
        }
    }

    /// Records a crash if the server, which has ended the connection of a request, has ended itself: it
    /// accepts no connections either. A server that only closes connections does. One that was about to
    /// leave has ended as planned. If no other server accepts a connection, this host's own network is at
    /// fault.
    pub(super) async fn check_for_crash(
        &self,
        routed: &RoutedRequest,
        server: &ServerEntry,
        sent_at: BootTime,
    ) {
        let was_leaving = self.state.is_leaving(&server.id);
        if was_leaving || self.state.lacks_servers() || !refuses_connections(server.address).await {
            return;
        }
        let others = self.state.other_servers(&server.id, COMPARED_SERVERS);
        if others.is_empty() || any_accepts(others).await {
            self.state
                .record_crash(&routed.fingerprint(), server, sent_at);
        }
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(CRASH_PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

impl RoutedRequest {
    /// Fingerprint of the request: what stays the same when its caller sends it again. The id and the
    /// deadline do not.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let call = &self.call;
            let key = self.key.map(u16::to_le_bytes);
            let target = call.target.to_string();
            let mut parts = vec![
                call.method.as_str().as_bytes(),
                self.rule.host.as_bytes(),
                target.as_bytes(),
                key.as_ref().map_or(&[][..], |key| key),
            ];
            for name in CALLER_HEADERS {
                let value = call.headers.get(name);
                parts.push(value.map_or(&[][..], |value| value.as_bytes()));
            }
            parts.push(&call.body);
            RequestFingerprint::of(&parts)
        })
    }
}
