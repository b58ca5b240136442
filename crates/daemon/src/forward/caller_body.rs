//! A caller's body that several attempts may read in turn.
//!
//! Frames pass through without being copied. The first [`KEPT_BYTES`] are kept
//! by reference count, so that a small body can be sent again after a server
//! refused the request without running it.

use {
    super::BodyFault,
    bytes::Bytes,
    camphorcove_core::outcome::ResultCode,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
};

/// Bytes of a body kept for another attempt.
const KEPT_BYTES: usize = 64 << 10;

/// Longest pause between two frames of a body; a slot is held meanwhile.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// A caller's request body with its limit.
#[derive(Debug)]
pub struct CallerBody {
    state: Arc<Mutex<CallerState>>,
    declared: Option<u64>,
}

#[derive(Debug)]
struct CallerState {
    incoming: Incoming,
    lease: u64,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    replayable: bool,
    received: u64,
    limit: u64,
    fault: Option<ResultCode>,
}

impl CallerBody {
    /// Wraps a body of at most `limit` bytes.
    pub fn new(incoming: Incoming, limit: u64) -> Self {
        let declared = incoming.size_hint().exact();
        let state = CallerState {
            incoming,
            lease: 0,
            kept: Vec::new(),
            kept_bytes: 0,
            replayable: true,
            received: 0,
            limit,
            fault: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            declared,
        }
    }

    /// Lends the body to an attempt; `None` if a part that is gone was already read.
    pub fn lease(&self) -> Option<LeasedBody> {
        let mut state = lock(&self.state);
        if !state.replayable || state.fault.is_some() {
            return None;
        }
        state.lease += 1;
        Some(LeasedBody {
            lease: state.lease,
            state: self.state.clone(),
            replayed: 0,
            remaining: self.declared,
            stall: None,
        })
    }

    /// Why the body broke off, if it did.
    pub fn fault(&self) -> Option<ResultCode> {
        lock(&self.state).fault
    }
}

/// The body as one attempt reads it.
#[derive(Debug)]
pub struct LeasedBody {
    state: Arc<Mutex<CallerState>>,
    lease: u64,
    replayed: usize,
    remaining: Option<u64>,
    stall: Option<Pin<Box<Sleep>>>,
}

impl LeasedBody {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let state = self.state.clone();
        let mut state = lock(&state);
        if state.lease != self.lease {
            return Poll::Ready(Some(Err(BodyFault::Superseded)));
        }
        if let Some(kept) = state.kept.get(self.replayed) {
            self.replayed += 1;
            return Poll::Ready(Some(Ok(kept.clone())));
        }
        match state.poll_incoming(cx) {
            Poll::Pending => self.poll_stall(&mut state, cx),
            Poll::Ready(result) => {
                self.stall = None;
                self.replayed = state.kept.len();
                Poll::Ready(result)
            }
        }
    }

    fn poll_stall(
        &mut self,
        state: &mut CallerState,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(STALL_LIMIT)));
        ready!(stall.as_mut().poll(cx));
        state.fault = Some(ResultCode::BodyBroken);
        Poll::Ready(Some(Err(BodyFault::Stalled)))
    }
}

impl CallerState {
    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Ok(frame)) => frame,
                Some(Err(source)) => {
                    self.fault = Some(ResultCode::BodyBroken);
                    return Poll::Ready(Some(Err(BodyFault::Broken { source })));
                }
            };
            // Trailers end at this hop.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            return Poll::Ready(Some(self.take_data(data)));
        }
    }

    fn take_data(&mut self, data: Bytes) -> Result<Bytes, BodyFault> {
        self.received += u64::try_from(data.len()).unwrap_or(u64::MAX);
        if self.received > self.limit {
            self.fault = Some(ResultCode::BodyOverLimit);
            return Err(BodyFault::OverLimit);
        }
        self.kept_bytes += data.len();
        if self.kept_bytes > KEPT_BYTES {
            self.replayable = false;
            self.kept.clear();
        } else {
            self.kept.push(data.clone());
        }
        Ok(data)
    }
}

impl Body for LeasedBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let result = ready!(self.poll_data(cx));
        if let (Some(Ok(data)), Some(remaining)) = (&result, &mut self.remaining) {
            *remaining = remaining.saturating_sub(u64::try_from(data.len()).unwrap_or(u64::MAX));
        }
        Poll::Ready(result.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn lock(state: &Mutex<CallerState>) -> MutexGuard<'_, CallerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
