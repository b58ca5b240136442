//! The body of an answer on its way to the caller.

use {
    super::{BodyFault, Permit},
    crate::context::RequestCounters,
    bytes::Bytes,
    camphorcove_core::{balance::LoadTracker, outcome::ResultCode, time::BootTime},
    http::{Response, StatusCode},
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        sync::{Arc, atomic::Ordering::Relaxed},
        task::{Context, Poll, ready},
    },
    tokio::time::{Instant, Sleep, sleep_until},
};

/// Counts a request at its server for as long as it lives.
#[derive(Debug)]
pub struct LoadGuard(Arc<LoadTracker>);

impl LoadGuard {
    /// Counts a request.
    pub fn new(tracker: Arc<LoadTracker>) -> Self {
        tracker.begin();
        Self(tracker)
    }

    /// Notes the outcome at the server and keeps the guard until the reply is complete.
    pub fn attach(
        guard: Option<Self>,
        result: Result<Response<RouterBody>, ResultCode>,
        now: BootTime,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let Some(guard) = guard else {
            return result;
        };
        let status = result.as_ref().map(Response::status);
        guard.note(status.map_err(|code| *code), now);
        result.map(|answer| answer.map(|body| body.with_load(guard)))
    }

    /// Failures make a server look busy; enough of them in a row eject it.
    fn note(&self, result: Result<StatusCode, ResultCode>, now: BootTime) {
        match result {
            Ok(status) if status.is_server_error() => self.0.fail(now),
            Ok(_) => self.0.succeed(),
            Err(ResultCode::ServerShed | ResultCode::QueueFull) => self.0.shed(now),
            Err(code) if code.blames_server() => self.0.fail(now),
            Err(_) => {}
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Counts a caller's request until its answer is complete.
#[derive(Debug)]
pub struct FlightGuard {
    counters: Arc<RequestCounters>,
    answered: bool,
}

impl FlightGuard {
    /// Counts a request.
    pub fn new(counters: Arc<RequestCounters>) -> Self {
        counters.requests.fetch_add(1, Relaxed);
        counters.in_flight.fetch_add(1, Relaxed);
        Self {
            counters,
            answered: false,
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Relaxed);
        if !self.answered {
            self.counters.callers_left.fetch_add(1, Relaxed);
        }
    }
}

/// Body of an answer. A reply that breaks off ends with an error, never cleanly.
#[derive(Debug)]
pub struct RouterBody {
    source: BodySource,
    load: Option<LoadGuard>,
    flight: Option<FlightGuard>,
    ended: bool,
}

#[derive(Debug)]
enum BodySource {
    Own(Option<Bytes>),
    Server {
        incoming: Incoming,
        permit: Option<Permit>,
        counters: Arc<RequestCounters>,
    },
    Peer {
        incoming: Incoming,
        deadline: Instant,
        timer: Option<Pin<Box<Sleep>>>,
        counters: Arc<RequestCounters>,
    },
}

impl RouterBody {
    /// A text of the router itself.
    pub fn own(text: impl Into<Bytes>) -> Self {
        Self::from_source(BodySource::Own(Some(text.into())))
    }

    /// A server's reply; the permit is returned when the reply is complete.
    ///
    /// The server's task ends the connection at the deadline, so no timer runs here.
    pub fn server(incoming: Incoming, permit: Permit, counters: Arc<RequestCounters>) -> Self {
        let ended = incoming.is_end_stream();
        let mut body = Self::from_source(BodySource::Server {
            incoming,
            permit: Some(permit),
            counters,
        });
        if ended {
            body.finish();
        }
        body
    }

    /// A reply that streams through another host.
    pub fn peer(incoming: Incoming, deadline: Instant, counters: Arc<RequestCounters>) -> Self {
        Self::from_source(BodySource::Peer {
            incoming,
            deadline,
            timer: None,
            counters,
        })
    }

    /// Counts the request at its server until the reply is complete.
    pub fn with_load(mut self, load: LoadGuard) -> Self {
        if !self.ended {
            self.load = Some(load);
        }
        self
    }

    /// Counts the caller's request until the answer is complete.
    pub fn with_flight(mut self, mut flight: FlightGuard) -> Self {
        flight.answered = http_body::Body::is_end_stream(&self);
        if !flight.answered {
            self.flight = Some(flight);
        }
        self
    }

    fn end(&mut self) {
        self.ended = true;
        self.load = None;
        if let Some(mut flight) = self.flight.take() {
            flight.answered = true;
        }
    }

    fn from_source(source: BodySource) -> Self {
        Self {
            source,
            load: None,
            flight: None,
            ended: false,
        }
    }

    fn finish(&mut self) {
        self.end();
        if let BodySource::Server { permit, .. } = &mut self.source
            && let Some(permit) = permit.take()
        {
            permit.complete();
        }
    }

    /// Frees the slot and counts the loss; the connection is not used again.
    fn break_off(&mut self) {
        self.end();
        match &mut self.source {
            BodySource::Own(_) => {}
            BodySource::Server {
                permit, counters, ..
            } => {
                *permit = None;
                counters.replies_cut.fetch_add(1, Relaxed);
            }
            BodySource::Peer { counters, .. } => {
                counters.replies_cut.fetch_add(1, Relaxed);
            }
        }
    }
}

impl BodySource {
    fn poll_source(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        match self {
            Self::Own(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            Self::Server { incoming, .. } => poll_incoming(incoming, cx),
            Self::Peer {
                incoming,
                deadline,
                timer,
                ..
            } => {
                if let Poll::Ready(frame) = poll_incoming(incoming, cx) {
                    return Poll::Ready(frame);
                }
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(*deadline)));
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(BodyFault::DeadlinePassed)))
            }
        }
    }
}

fn poll_incoming(
    incoming: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
    let frame = ready!(Pin::new(incoming).poll_frame(cx));
    Poll::Ready(frame.map(|result| result.map_err(|source| BodyFault::Broken { source })))
}

impl Body for RouterBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let body = self.get_mut();
        loop {
            if body.ended {
                return Poll::Ready(None);
            }
            match ready!(body.source.poll_source(cx)) {
                // Trailers end at this hop.
                Some(Ok(frame)) if frame.is_trailers() => {}
                Some(Ok(frame)) => {
                    if body.source_ended() {
                        body.finish();
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(fault)) => {
                    body.break_off();
                    return Poll::Ready(Some(Err(fault)));
                }
                None => body.finish(),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended || self.source_ended()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            _ if self.ended => SizeHint::with_exact(0),
            BodySource::Own(None) => SizeHint::with_exact(0),
            BodySource::Own(Some(text)) => {
                SizeHint::with_exact(u64::try_from(text.len()).unwrap_or(u64::MAX))
            }
            BodySource::Server { incoming, .. } | BodySource::Peer { incoming, .. } => {
                incoming.size_hint()
            }
        }
    }
}

impl RouterBody {
    fn source_ended(&self) -> bool {
        match &self.source {
            BodySource::Own(text) => text.is_none(),
            BodySource::Server { incoming, .. } | BodySource::Peer { incoming, .. } => {
                incoming.is_end_stream()
            }
        }
    }
}
