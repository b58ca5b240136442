//! Carries out the actions of a scope's machine.

use {
    super::{
        elector_actor::{ElectorActor, PromiseAnswer, ScopeKnown, scope_key},
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

/// Longest wait for an elector's answer.
const PROMISE_TIMEOUT: Duration = PROMISE_INTERVAL;

/// Longest wait for a server's reply to a grant or a renewal.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a server's reply to a release; it finishes its work first.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for an answer to an offered handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections that the actions of one scope use.
#[derive(Clone, Debug)]
pub struct ScopeIo {
    /// Scope.
    pub service: ServiceName,
    /// Maps, hosts and the peer client.
    pub context: Arc<MapContext>,
    /// Platform.
    pub store: HttpStore,
    /// Backend servers.
    pub grants: HttpGrants,
    /// Clocks of backend servers.
    pub clocks: ClockTable,
    /// This host's promises.
    pub elector: ActorRef<ElectorActor>,
}

impl ScopeIo {
    /// Reads the scope object.
    pub async fn read(&self) -> ScopeEvent {
        let sent_at = self.context.now();
        let result = self.read_state().await;
        if let Ok(Some((_, state))) = &result {
            self.note_term(state).await;
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

    /// Tells the elector and the polls which process holds the term.
    async fn note_term(&self, state: &ScopeState) {
        let hints = &self.context.hints;
        hints.note(&self.service, state.epoch, &state.controller);
        let known = ScopeKnown {
            service: self.service.clone(),
            epoch: state.epoch,
            controller: state.controller.clone(),
            nonce: state.nonce,
        };
        let _ = self.elector.tell(known).await;
    }

    /// Writes the scope object.
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
            self.note_term(state).await;
        }
        ScopeEvent::ScopeWritten { write, result }
    }

    fn write_failure(&self, error: StoreError) -> WriteFailure {
        match error {
            StoreError::Conflict { .. } => WriteFailure::Conflict,
            StoreError::Unavailable { .. } => WriteFailure::NotSent,
            StoreError::Unknown { .. } => WriteFailure::Unknown,
            StoreError::Rejected { reason } => {
                log::error!("scope object of {} rejected: {reason}", self.service);
                WriteFailure::NotSent
            }
        }
    }

    /// Archives records in order; returns the last number archived.
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

    /// Asks an elector for a promise.
    pub async fn ask_promise(&self, elector: HostId, request: PromiseRequest) -> ScopeEvent {
        let sent_at = self.context.now();
        let reply = match elector == self.context.host.id {
            true => self.ask_self(request).await,
            false => self.ask_peer(&elector, &request).await,
        };
        ScopeEvent::PromiseAnswered {
            elector,
            sent_at,
            reply,
        }
    }

    async fn ask_self(&self, request: PromiseRequest) -> Option<PromiseReply> {
        let answer = self.elector.ask(request).await;
        answer.ok().map(|PromiseAnswer(reply)| reply)
    }

    async fn ask_peer(&self, elector: &HostId, request: &PromiseRequest) -> Option<PromiseReply> {
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
            .inspect_err(|error| log::debug!("elector {elector} gave no promise: {error}"))
            .ok()
    }

    /// Names a host as successor.
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
                "handover of {} not offered to {host}: {error}",
                self.service
            );
        }
    }

    fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        let known = self.context.known();
        let peer = known.iter().find(|peer| peer.host.id == *host)?;
        Some(peer.peer)
    }

    /// Sends an order that the server must drop after `valid_until`.
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
            Some(address) => self.deliver(address, &body, valid_until).await,
            None => Err(ServerFailure::NotSent),
        };
        ScopeEvent::OrderAnswered {
            server,
            order,
            sent_at,
            result,
        }
    }

    async fn deliver(
        &self,
        address: SocketAddr,
        body: &ServerOrder,
        valid_until: BootTime,
    ) -> Result<ServerReply, ServerFailure> {
        let clock = match self.clocks.latest(address) {
            Some(clock) => clock,
            None => self.probe(address).await?,
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
        sent.map(|stamped| self.note_clock(address, stamped).0)
    }

    /// Learns a server's clock with a renewal that no server can grant, so that
    /// no order is ever sent without a deadline.
    async fn probe(&self, address: SocketAddr) -> Result<ServerClock, ServerFailure> {
        let probe = ServerOrder::Renew {
            service: self.service.clone(),
            epoch: Epoch(0),
            set: 0,
            ttl: Duration::ZERO,
        };
        let sent = self.grants.send(address, &probe, None, ORDER_TIMEOUT).await;
        sent.map(|stamped| self.note_clock(address, stamped).1)
    }

    fn note_clock(
        &self,
        address: SocketAddr,
        stamped: TimestampedReply,
    ) -> (ServerReply, ServerClock) {
        let clock = ServerClock {
            reading: stamped.clock,
            received_at: self.context.now(),
        };
        self.clocks.record(address, clock);
        (stamped.reply, clock)
    }
}

/// Answer to a handover offer.
pub fn handover_answer() -> Vec<u8> {
    encode(&())
}
