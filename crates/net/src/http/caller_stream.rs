//! A caller's socket with limits on silence and with checked framing.

use {
    super::FramingGuard,
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Longest wait for the first bytes, before the protocol is known.
const FIRST_BYTES_LIMIT: Duration = Duration::from_secs(10);

/// Longest time a caller may refuse to read its response.
const WRITE_LIMIT: Duration = Duration::from_secs(30);

/// A caller's socket.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    guard: FramingGuard,
    first_bytes: Option<Pin<Box<Sleep>>>,
    blocked: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps an accepted socket.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            guard: FramingGuard::default(),
            first_bytes: Some(Box::pin(sleep(FIRST_BYTES_LIMIT))),
            blocked: None,
        }
    }

    /// Limits the time in which nothing can be written.
    fn limit_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.blocked = None;
            return result;
        }
        let timer = self
            .blocked
            .get_or_insert_with(|| Box::pin(sleep(WRITE_LIMIT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if result.is_pending() {
            if let Some(timer) = &mut self.first_bytes {
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            return Poll::Pending;
        }
        self.first_bytes = None;
        self.guard.inspect(&mut buffer.filled_mut()[start..]);
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.limit_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.limit_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
