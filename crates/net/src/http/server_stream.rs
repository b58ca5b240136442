//! A connection to a server, with a limit for what arrives before the head of a response is complete.
//!
//! hyper limits a head, but skips interim responses (1xx) however many come. A faulty server can send
//! them without end, which keeps this process busy for as long as the response is awaited.

use {
    std::{
        future::Future,
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that may arrive before the head of an awaited response is complete: a head of 64 KiB, which
/// is the most that hyper accepts here, a few interim responses, and the start of the body, which
/// hyper reads ahead in pieces of up to 64 KiB.
const HEAD_LIMIT_BYTES: usize = 256 << 10;

/// Value of the counter while no response is awaited.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still arrive before the head of the awaited response is complete; shared by the
/// connection and whoever sends requests on it.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl Default for HeadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadLimit {
    /// Applies the limit until `head`, which completes with the head of a response, has ended. The
    /// connection fails where the limit is exceeded.
    pub async fn apply<F: Future>(&self, head: F) -> F::Output {
        self.0.store(HEAD_LIMIT_BYTES, Ordering::Relaxed);
        let output = head.await;
        if !self.is_exceeded() {
            self.0.store(UNLIMITED, Ordering::Relaxed);
        }
        output
    }

    /// Whether the connection has failed because the server sent too much before a head was complete.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts received bytes; returns whether the connection may go on.
    fn count(&self, received: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        let left = left.saturating_sub(received);
        self.0.store(left, Ordering::Relaxed);
        left > 0
    }
}

/// Connection to a server, with a [`HeadLimit`].
#[derive(Debug)]
pub struct ServerStream {
    stream: TcpStream,
    head_limit: HeadLimit,
}

impl ServerStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            head_limit: HeadLimit::default(),
        }
    }

    /// The limit, which is applied to each response by whoever sends the request.
    pub fn head_limit(&self) -> HeadLimit {
        self.head_limit.clone()
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - before;
        Poll::Ready(match self.head_limit.count(received) {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes before the head of a response",
            )),
        })
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
