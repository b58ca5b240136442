//! Body of an answer to a caller or to another host.

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

/// Counts a request in the load of its server until dropped.
#[derive(Debug)]
pub struct LoadGuard(Arc<LoadTracker>);

impl LoadGuard {
    /// Counts a request that starts now.
    pub fn new(tracker: Arc<LoadTracker>) -> Self {
        tracker.begin();
        Self(tracker)
    }

    /// Records the outcome in the server's load and keeps the guard until the reply is complete.
    pub fn attach(
        guard: Option<Self>,
        result: Result<Response<RouterBody>, ResultCode>,
        now: BootTime,
    ) -> Result<Response<RouterBody>, ResultCode> {
        let Some(guard) = guard else {
            return result;
        };
        let status = result.as_ref().map(Response::status);
        guard.record_outcome(status.map_err(|code| *code), now);
        result.map(|answer| answer.map(|body| body.with_load_guard(guard)))
    }

    /// Records an outcome.
    ///
    /// Each failure raises the server's apparent load; enough of them in a row eject the server.
    fn record_outcome(&self, result: Result<StatusCode, ResultCode>, now: BootTime) {
        match result {
            Ok(status) if status.is_server_error() => self.0.record_failure(now),
            Ok(_) => self.0.record_success(),
            Err(ResultCode::ServerShed | ResultCode::QueueFull) => self.0.record_shed(now),
            Err(code) if code.is_server_failure() => self.0.record_failure(now),
            Err(_) => {}
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Counts a caller's request as in flight until dropped.
///
/// If the answer was not complete by then, the caller counts as disconnected.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<RequestCounters>,
    /// Whether the answer is complete.
    answered: bool,
}

impl InFlightGuard {
    /// Counts a request that starts now.
    pub fn new(counters: Arc<RequestCounters>) -> Self {
        counters.requests.fetch_add(1, Relaxed);
        counters.in_flight.fetch_add(1, Relaxed);
        Self {
            counters,
            answered: false,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Relaxed);
        if !self.answered {
            self.counters.callers_disconnected.fetch_add(1, Relaxed);
        }
    }
}

/// Body of an answer.
///
/// A reply that breaks off ends with an error, so that it never looks complete.
#[derive(Debug)]
pub struct RouterBody {
    source: BodySource,
    load_guard: Option<LoadGuard>,
    in_flight_guard: Option<InFlightGuard>,
    /// No more frames follow, because the body is complete or broke off.
    ended: bool,
}

/// Where the bytes of an answer come from.
#[derive(Debug)]
enum BodySource {
    Text(Option<Bytes>),
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
    /// A text written by the router itself.
    pub fn from_text(text: impl Into<Bytes>) -> Self {
        Self::from_source(BodySource::Text(Some(text.into())))
    }

    /// A server's reply, which returns the permit when it is complete.
    ///
    /// The server's task closes the connection at the deadline, so no timer is needed here.
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

    /// A reply that another host passes on; it is aborted at the deadline.
    pub fn peer(incoming: Incoming, deadline: Instant, counters: Arc<RequestCounters>) -> Self {
        Self::from_source(BodySource::Peer {
            incoming,
            deadline,
            timer: None,
            counters,
        })
    }

    /// Keeps the guard, and so counts the request in its server's load, until the reply is
    /// complete.
    pub fn with_load_guard(mut self, load_guard: LoadGuard) -> Self {
        if !self.ended {
            self.load_guard = Some(load_guard);
        }
        self
    }

    /// Keeps the guard, and so counts the request as in flight, until the answer is complete.
    pub fn with_in_flight_guard(mut self, mut in_flight_guard: InFlightGuard) -> Self {
        in_flight_guard.answered = http_body::Body::is_end_stream(&self);
        if !in_flight_guard.answered {
            self.in_flight_guard = Some(in_flight_guard);
        }
        self
    }

    /// Releases the guards, because no more frames follow.
    fn end(&mut self) {
        self.ended = true;
        self.load_guard = None;
        if let Some(mut in_flight_guard) = self.in_flight_guard.take() {
            in_flight_guard.answered = true;
        }
    }

    fn from_source(source: BodySource) -> Self {
        Self {
            source,
            load_guard: None,
            in_flight_guard: None,
            ended: false,
        }
    }

    /// Ends a complete body and makes the connection available to other requests.
    fn finish(&mut self) {
        self.end();
        if let BodySource::Server { permit, .. } = &mut self.source
            && let Some(permit) = permit.take()
        {
            permit.complete();
        }
    }

    /// Ends a body that broke off: closes the connection, frees the slot and counts the truncated
    /// reply.
    fn abort(&mut self) {
        self.end();
        match &mut self.source {
            BodySource::Text(_) => {}
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
            Self::Text(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
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
                // Trailers are not forwarded.
                Some(Ok(frame)) if frame.is_trailers() => {}
                Some(Ok(frame)) => {
                    if body.source_ended() {
                        body.finish();
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(fault)) => {
                    body.abort();
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
            BodySource::Text(None) => SizeHint::with_exact(0),
            BodySource::Text(Some(text)) => {
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
            BodySource::Text(text) => text.is_none(),
            BodySource::Server { incoming, .. } | BodySource::Peer { incoming, .. } => {
                incoming.is_end_stream()
            }
        }
    }
}
