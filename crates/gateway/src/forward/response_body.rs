//! Body of a response to a caller.

use {
    crate::state::ServerPermit,
    bytes::Bytes,
    camphorcove_core::dispatch::RequestOutcome,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    snafu::{ResultExt, Snafu},
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::time::Sleep,
};

/// Why a streamed body ends before it is complete.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The server's connection ended or sent bytes that are no body.
    #[snafu(display("server's answer broke off: {source}"))]
    BrokenOff {
        /// Error of the server's connection.
        source: hyper::Error,
    },
    /// The caller's deadline passed.
    #[snafu(display("server's answer did not end before the caller's deadline"))]
    TimedOut,
}

/// A response body that is fully buffered, or streamed while it arrives from the server.
#[derive(Debug, Default)]
pub enum ResponseBody {
    /// Nothing left to send.
    #[default]
    Empty,
    /// The complete body is in memory.
    Buffered(Bytes),
    /// The first bytes are in memory; the rest is read from the server as it is sent.
    Streamed(Box<StreamedBody>),
}

/// A body that is too long to be buffered for a possible retry.
#[derive(Debug)]
pub struct StreamedBody {
    /// Bytes read so far and not yet sent to the caller.
    pub buffered: Bytes,
    /// The part that has not been read from the server yet.
    pub remaining: Incoming,
    /// Ends the body when the caller's deadline passes, as a server in trouble may send bytes
    /// without end.
    pub deadline: Pin<Box<Sleep>>,
    /// Counts the request as running on the server until the body has ended.
    pub permit: Option<ServerPermit>,
}

impl StreamedBody {
    fn poll_remaining(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(TimedOutSnafu.fail()));
        }
        let polled = Pin::new(&mut self.remaining).poll_frame(cx);
        polled.map(|frame| frame.map(|frame| frame.context(BrokenOffSnafu)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                *self = Self::Empty;
                match bytes.is_empty() {
                    true => Poll::Ready(None),
                    false => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                }
            }
            Self::Streamed(body) => {
                if !body.buffered.is_empty() {
                    let buffered = std::mem::take(&mut body.buffered);
                    return Poll::Ready(Some(Ok(Frame::data(buffered))));
                }
                let polled = body.poll_remaining(cx);
                let outcome = match &polled {
                    Poll::Ready(None) => RequestOutcome::Success,
                    Poll::Ready(Some(Err(_))) => RequestOutcome::Failure,
                    _ => return polled,
                };
                if let Some(permit) = body.permit.take() {
                    permit.end(outcome, None);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(body) => body.buffered.is_empty() && body.remaining.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(body) => {
                let mut hint = body.remaining.size_hint();
                let buffered = body.buffered.len() as u64;
                if let Some(upper) = hint.upper() {
                    hint.set_upper(upper + buffered);
                }
                hint.set_lower(hint.lower() + buffered);
                hint
            }
        }
    }
}
