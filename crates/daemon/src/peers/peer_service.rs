//! Dispatches messages and forwarded requests from other hosts to the components that answer them.

use {
    crate::{
        control::{ElectorActor, PromiseAnswer, ScopeRegistry, handover_answer},
        forward::ForwardService,
        maps::{MapContext, answer_poll},
    },
    camphorcove_core::{
        control::ScopeEvent,
        election::{PromiseReply, PromiseRequest},
        ids::HostId,
    },
    camphorcove_net::peer::{
        MapPoll, PeerBody, PeerError, PeerHandler, PeerKind, StatusAnswer, StatusRequest, decode,
        encode,
    },
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    kameo::actor::ActorRef,
    std::sync::Arc,
};

/// Handler of the peer listener.
#[derive(Debug)]
pub struct PeerService {
    /// Routing maps, configuration and known hosts.
    pub context: Arc<MapContext>,
    /// Elector actor of this host.
    pub elector: ActorRef<ElectorActor>,
    /// Scope actors of this host.
    pub scopes: ScopeRegistry,
    /// Handler of requests that other hosts forward.
    pub forward: Arc<ForwardService>,
}

impl PeerHandler for PeerService {
    async fn message(
        &self,
        kind: PeerKind,
        from: HostId,
        body: &[u8],
    ) -> Result<Vec<u8>, PeerError> {
        match kind {
            PeerKind::Poll => self.poll(from, decode(body)?).await,
            PeerKind::Promise => self.promise(from, decode(body)?).await,
            PeerKind::Status => {
                let StatusRequest = decode(body)?;
                Ok(encode(&self.status()))
            }
            PeerKind::Probe => Ok(encode(&())),
            PeerKind::Handover => {
                if let Some(scope) = self.scopes.get(&decode(body)?) {
                    scope.tell(ScopeEvent::HandoverOffered).await;
                }
                Ok(handover_answer())
            }
        }
    }

    async fn forward(&self, request: Request<Incoming>) -> Response<PeerBody> {
        let response = self.forward.handle_peer(request).await;
        response.map(|body| body.map_err(Into::into).boxed_unsync())
    }
}

impl PeerService {
    async fn poll(&self, from: HostId, poll: MapPoll) -> Result<Vec<u8>, PeerError> {
        if poll.from.host.id != from {
            return Err(PeerError::AuthenticationFailed {
                what: "poll in the name of another host",
            });
        }
        Ok(encode(&answer_poll(&self.context, poll).await))
    }

    async fn promise(&self, from: HostId, request: PromiseRequest) -> Result<Vec<u8>, PeerError> {
        if request.controller != from {
            return Err(PeerError::AuthenticationFailed {
                what: "promise asked for another host",
            });
        }
        let answer = self.elector.ask(request.clone()).await;
        let PromiseAnswer(reply) = answer.map_err(|_| PeerError::Refused { status: 503 })?;
        if reply == PromiseReply::Promised {
            // Record the new controller now, so that polling it does not start only when the
            // previous controller's map expires.
            let hints = &self.context.hints;
            hints.record_controller(&request.service, request.epoch, &request.controller);
        }
        Ok(encode(&reply))
    }

    fn status(&self) -> StatusAnswer {
        let now = self.context.now();
        let maps = self.context.maps.all();
        let scopes = maps.iter().map(|(service, timed_map)| {
            let remaining_micros = timed_map.valid_until.since(now).as_micros();
            let remaining_micros = u64::try_from(remaining_micros).unwrap_or(u64::MAX);
            (service.clone(), timed_map.map.version, remaining_micros)
        });
        let config = self.context.config.config();
        StatusAnswer {
            from: self.context.local_peer(),
            config: config.map(|config| config.version).unwrap_or_default(),
            scopes: scopes.collect(),
            controls: self.context.controlled_scopes().into_iter().collect(),
        }
    }
}
