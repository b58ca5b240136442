//! Body of a request that is sent to a server or another host.

use {
    super::{BodyFault, LeasedBody},
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Where the body of a request comes from.
#[derive(Debug)]
pub enum RequestBody {
    /// The request has no body.
    Empty,
    /// A caller of this host.
    Caller(LeasedBody),
    /// Another host.
    Peer(Incoming),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Caller(body) => Pin::new(body).poll_frame(cx),
            Self::Peer(body) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(
                    frame.map(|result| result.map_err(|source| BodyFault::Broken { source })),
                )
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Caller(body) => body.is_end_stream(),
            Self::Peer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Caller(body) => body.size_hint(),
            Self::Peer(body) => body.size_hint(),
        }
    }
}
