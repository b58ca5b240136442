//! Network I/O on behalf of a scope's state machine: calls to the platform, to other
//! hosts and to backend servers.

use {
    super::{
        elector_actor::{ElectorActor, ObservedTerm, PromiseAnswer, scope_key},
        scope_codec::{decode_scope, encode_scope},
    },
    crate::maps::MapContext,
    camphorcove_core::{
        audit::AuditRecord,
        control::{
            OrderId, ReadFailure, ScopeEvent, ServerFailure, ServerOrder, ServerReply,
            WriteFailure, WriteId,
        },
        election::{PromiseReply, PromiseRequest},
        ids::{Epoch, HostId, ObjectVersion, ServerId, ServiceName},
        scope::ScopeState,
        time::{BootTime, PROMISE_INTERVAL},
    },
    camphorcove_net::{
        config::archive_record,
        peer::{PeerKind, encode},
        platform::{HttpStore, ObjectStore, PutCondition, StoreError},
        servers::{ClockTable, GrantProtocol, HttpGrants, ServerClock, TimestampedReply},
    },
    kameo::actor::ActorRef,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Timeout of a promise request to an elector.
const PROMISE_TIMEOUT: Duration = PROMISE_INTERVAL;

/// Timeout of a grant or renewal order to a server.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a release order; longer, because the server finishes its work before it replies.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a handover offer to another host.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Clients and shared state that the actions of one scope use.
#[derive(Clone, Debug)]
pub struct ScopeIo {
    /// Service that the scope belongs to.
    pub service: ServiceName,
    /// Routing maps, known hosts and the client for calls to other hosts.
    pub context: Arc<MapContext>,
    /// Client of the platform's object store.
    pub store: HttpStore,
    /// Client that sends orders to backend servers.
    pub grants: HttpGrants,
    /// Latest clock readings of the backend servers, for converting deadlines.
    pub clocks: ClockTable,
    /// Elector actor of this host.
    pub elector: ActorRef<ElectorActor>,
}

impl ScopeIo {
    /// Reads the scope object from the platform.
    pub async fn read(&self) -> ScopeEvent {
        let sent_at = self.context.now();
        let result = self.read_state().await;
        if let Ok(Some((_, state))) = &result {
            self.record_term(state).await;
        }
        ScopeEvent::ScopeRead { sent_at, result }
    }

    async fn read_state(&self) -> Result<Option<(ObjectVersion, ScopeState)>, ReadFailure> {
        let object = self.store.get(&scope_key(&self.service)).await;
        let Some(object) = object.map_err(|_| ReadFailure::Unavailable)? else {
            return Ok(None);
        };
        match decode_scope(&object.value) {
            Some(state) => Ok(Some((object.version, state))),
            None => {
                log::error!("scope object of {} cannot be decoded", self.service);
                Err(ReadFailure::Unavailable)
            }
        }
    }

    /// Passes the controller that a scope object names to the elector and to the polls.
    async fn record_term(&self, state: &ScopeState) {
        let hints = &self.context.hints;
        hints.record_controller(&self.service, state.epoch, &state.controller);
        let term = ObservedTerm {
            service: self.service.clone(),
            epoch: state.epoch,
            controller: state.controller.clone(),
            nonce: state.nonce,
        };
        let _ = self.elector.tell(term).await;
    }

    /// Writes the scope object if the platform still holds the `expected` version;
    /// `None` expects that no object exists.
    pub async fn write(
        &self,
        write: WriteId,
        expected: Option<ObjectVersion>,
        state: &ScopeState,
    ) -> ScopeEvent {
        let condition = match expected {
            Some(version) => PutCondition::Version(version),
            None => PutCondition::Absent,
        };
        let value = encode_scope(state);
        let written = self
            .store
            .put(&scope_key(&self.service), condition, value)
            .await;
        let result = written.map_err(|error| self.write_failure(error));
        if result.is_ok() {
            self.record_term(state).await;
        }
        ScopeEvent::ScopeWritten { write, result }
    }

    fn write_failure(&self, error: StoreError) -> WriteFailure {
        match error {
            StoreError::Conflict { .. } => WriteFailure::Conflict,
            StoreError::Unavailable { .. } => WriteFailure::NotSent,
            StoreError::Unknown { .. } => WriteFailure::Unknown,
            StoreError::Rejected { reason } => {
                log::error!(
                    "platform rejected the write of the scope object of {}: {reason}",
                    self.service
                );
                WriteFailure::NotSent
            }
        }
    }

    /// Archives records in order and stops at the first failure; returns the number of the
    /// last archived record, or `None` if none was archived.
    pub async fn archive(&self, records: &[AuditRecord]) -> Option<u64> {
        let mut archived = None;
        for record in records {
            let stream = self.service.as_str();
            match archive_record(&self.store, stream, record).await {
                Ok(()) => archived = Some(record.number),
                Err(error) => {
                    log::warn!(
                        "audit record {} of {stream} not archived: {error}",
                        record.number
                    );
                    break;
                }
            }
        }
        archived
    }

    /// Requests a promise from an elector, which may be this host.
    pub async fn request_promise(&self, elector: HostId, request: PromiseRequest) -> ScopeEvent {
        let sent_at = self.context.now();
        let reply = match elector == self.context.host.id {
            true => self.request_own_promise(request).await,
            false => self.request_peer_promise(&elector, &request).await,
        };
        ScopeEvent::PromiseAnswered {
            elector,
            sent_at,
            reply,
        }
    }

    async fn request_own_promise(&self, request: PromiseRequest) -> Option<PromiseReply> {
        let answer = self.elector.ask(request).await;
        answer.ok().map(|PromiseAnswer(reply)| reply)
    }

    async fn request_peer_promise(
        &self,
        elector: &HostId,
        request: &PromiseRequest,
    ) -> Option<PromiseReply> {
        let address = self.peer_address(elector)?;
        let client = &self.context.client;
        let reply = client
            .call(
                elector,
                address,
                PeerKind::Promise,
                request,
                PROMISE_TIMEOUT,
            )
            .await;
        reply
            .inspect_err(|error| {
                log::debug!("promise request to elector {elector} failed: {error}")
            })
            .ok()
    }

    /// Offers the role of controller to another host.
    pub async fn offer_handover(&self, host: HostId) {
        let Some(address) = self.peer_address(&host) else {
            return;
        };
        let client = &self.context.client;
        let offered: Result<(), _> = client
            .call(
                &host,
                address,
                PeerKind::Handover,
                &self.service,
                HANDOVER_TIMEOUT,
            )
            .await;
        if let Err(error) = offered {
            log::debug!(
                "handover offer for {} to {host} failed: {error}",
                self.service
            );
        }
    }

    fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        let known = self.context.known_hosts();
        let peer = known.iter().find(|peer| peer.host.id == *host)?;
        Some(peer.peer)
    }

    /// Sends an order that the server must discard after `valid_until`.
    ///
    /// An unknown `address` counts as a failure to send.
    pub async fn send_order(
        &self,
        server: ServerId,
        address: Option<SocketAddr>,
        order: OrderId,
        body: ServerOrder,
        valid_until: BootTime,
    ) -> ScopeEvent {
        let sent_at = self.context.now();
        let result = match address {
            Some(address) => self.send_before(address, &body, valid_until).await,
            None => Err(ServerFailure::NotSent),
        };
        ScopeEvent::OrderAnswered {
            server,
            order,
            sent_at,
            result,
        }
    }

    async fn send_before(
        &self,
        address: SocketAddr,
        body: &ServerOrder,
        valid_until: BootTime,
    ) -> Result<ServerReply, ServerFailure> {
        let clock = match self.clocks.latest(address) {
            Some(clock) => clock,
            None => self.read_clock(address).await?,
        };
        let now = self.context.now();
        if now >= valid_until {
            return Err(ServerFailure::NotSent);
        }
        let deadline = clock.deadline(valid_until);
        let timeout = match body {
            ServerOrder::Release { .. } => RELEASE_TIMEOUT,
            _ => ORDER_TIMEOUT,
        };
        let sent = self
            .grants
            .send(address, body, Some(deadline), timeout)
            .await;
        sent.map(|timestamped| self.record_clock(address, timestamped).0)
    }

    /// Reads a server's clock by sending a renewal of zero length for epoch 0 that no server
    /// can grant. Effective orders are thus never sent without a deadline.
    async fn read_clock(&self, address: SocketAddr) -> Result<ServerClock, ServerFailure> {
        let probe = ServerOrder::Renew {
            service: self.service.clone(),
            epoch: Epoch(0),
            set: 0,
            ttl: Duration::ZERO,
        };
        let sent = self.grants.send(address, &probe, None, ORDER_TIMEOUT).await;
        sent.map(|timestamped| self.record_clock(address, timestamped).1)
    }

    fn record_clock(
        &self,
        address: SocketAddr,
        timestamped: TimestampedReply,
    ) -> (ServerReply, ServerClock) {
        let clock = ServerClock {
            reading: timestamped.clock,
            received_at: self.context.now(),
        };
        self.clocks.record(address, clock);
        (timestamped.reply, clock)
    }
}

/// Encoded reply that acknowledges a handover offer.
pub fn handover_answer() -> Vec<u8> {
    encode(&())
}
