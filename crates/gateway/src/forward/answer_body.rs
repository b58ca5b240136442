//! Body of an answer to a caller.

use {
    crate::state::ServerPermit,
    bytes::Bytes,
    camphorcove_core::dispatch::AnswerKind,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A whole body, or one that is passed on while it arrives.
#[derive(Debug, Default)]
pub enum AnswerBody {
    /// Nothing left.
    #[default]
    Empty,
    /// All bytes are here.
    Whole(Bytes),
    /// The first bytes are here, the rest follows.
    Streamed(Box<StreamedBody>),
}

/// A body that is longer than what is kept for a repeat.
#[derive(Debug)]
pub struct StreamedBody {
    /// Bytes read so far.
    pub start: Bytes,
    /// The rest.
    pub rest: Incoming,
    /// The request at the server.
    pub permit: Option<ServerPermit>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                *self = Self::Empty;
                match bytes.is_empty() {
                    true => Poll::Ready(None),
                    false => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                }
            }
            Self::Streamed(body) => {
                if !body.start.is_empty() {
                    let start = std::mem::take(&mut body.start);
                    return Poll::Ready(Some(Ok(Frame::data(start))));
                }
                let polled = Pin::new(&mut body.rest).poll_frame(cx);
                let kind = match &polled {
                    Poll::Ready(None) => AnswerKind::Success,
                    Poll::Ready(Some(Err(_))) => AnswerKind::Failure,
                    _ => return polled,
                };
                if let Some(permit) = body.permit.take() {
                    permit.end(kind, None);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Streamed(body) => body.start.is_empty() && body.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(body) => {
                let mut hint = body.rest.size_hint();
                let start = body.start.len() as u64;
                if let Some(upper) = hint.upper() {
                    hint.set_upper(upper + start);
                }
                hint.set_lower(hint.lower() + start);
                hint
            }
        }
    }
}
