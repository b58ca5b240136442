//! A caller's request body that several attempts may read one after another.
//!
//! Frames are streamed without copying. A body of at most [`REPLAY_BUFFER_BYTES`] is also
//! buffered, by reference to its frames, so that it can be sent again after a server refused
//! the request without running it.

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

/// Largest part of a body that is buffered for another attempt, in bytes.
const REPLAY_BUFFER_BYTES: usize = 64 << 10;

/// Longest pause between two frames of a body; the request holds a slot meanwhile.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller's request body, which attempts read through a [`LeasedBody`].
#[derive(Debug)]
pub struct CallerBody {
    state: Arc<Mutex<CallerState>>,
    /// Length in bytes, if the caller declared it.
    declared: Option<u64>,
}

/// Reading state shared by all attempts.
#[derive(Debug)]
struct CallerState {
    incoming: Incoming,
    /// Number of the latest lease, the only one that may read.
    lease: u64,
    /// Frames read so far, while they fit into the buffer.
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    /// Whether all frames read so far are buffered.
    replayable: bool,
    /// Bytes read so far.
    received: u64,
    /// Largest accepted body, in bytes.
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
            buffered: Vec::new(),
            buffered_bytes: 0,
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

    /// Lends the body to an attempt, which ends the lease of the attempt before.
    ///
    /// Returns `None` if the body broke off, or if more of it was read than is buffered.
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

    /// Result code of the fault that ended the body, if any.
    pub fn fault(&self) -> Option<ResultCode> {
        lock(&self.state).fault
    }
}

/// A caller's body as one attempt reads it, from the start.
#[derive(Debug)]
pub struct LeasedBody {
    state: Arc<Mutex<CallerState>>,
    lease: u64,
    /// Buffered frames that this attempt has read.
    replayed: usize,
    /// Bytes still to be read, if the length was declared.
    remaining: Option<u64>,
    /// Timer of the current pause.
    stall: Option<Pin<Box<Sleep>>>,
}

impl LeasedBody {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let state = self.state.clone();
        let mut state = lock(&state);
        if state.lease != self.lease {
            return Poll::Ready(Some(Err(BodyFault::Superseded)));
        }
        if let Some(buffered) = state.buffered.get(self.replayed) {
            self.replayed += 1;
            return Poll::Ready(Some(Ok(buffered.clone())));
        }
        match state.poll_incoming(cx) {
            Poll::Pending => self.poll_stall(&mut state, cx),
            Poll::Ready(result) => {
                self.stall = None;
                self.replayed = state.buffered.len();
                Poll::Ready(result)
            }
        }
    }

    /// Fails the body once the caller has sent nothing for [`STALL_TIMEOUT`].
    fn poll_stall(
        &mut self,
        state: &mut CallerState,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
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
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            return Poll::Ready(Some(self.take_data(data)));
        }
    }

    /// Counts a frame against the limit and buffers it for another attempt.
    fn take_data(&mut self, data: Bytes) -> Result<Bytes, BodyFault> {
        self.received += u64::try_from(data.len()).unwrap_or(u64::MAX);
        if self.received > self.limit {
            self.fault = Some(ResultCode::BodyOverLimit);
            return Err(BodyFault::OverLimit);
        }
        self.buffered_bytes += data.len();
        if self.buffered_bytes > REPLAY_BUFFER_BYTES {
            self.replayable = false;
            self.buffered.clear();
        } else {
            self.buffered.push(data.clone());
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
