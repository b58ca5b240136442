//! A caller's connection with idle timeouts and a check of the HTTP/1 framing.

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

/// Timeout for the first bytes of a connection. Until they arrive, the protocol is not
/// known and no protocol timeout applies.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for a caller that does not read its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's connection with timeouts and with a [`FramingGuard`] on received bytes.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    guard: FramingGuard,
    first_bytes_timer: Option<Pin<Box<Sleep>>>,
    write_stall_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps an accepted connection and starts the timeout for its first bytes.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            guard: FramingGuard::default(),
            first_bytes_timer: Some(Box::pin(sleep(FIRST_BYTES_TIMEOUT))),
            write_stall_timer: None,
        }
    }

    /// Fails a pending write once nothing could be written for [`WRITE_STALL_TIMEOUT`].
    fn check_write_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_stall_timer = None;
            return result;
        }
        let timer = self
            .write_stall_timer
            .get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
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
            if let Some(timer) = &mut self.first_bytes_timer {
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            return Poll::Pending;
        }
        self.first_bytes_timer = None;
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
        self.check_write_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_write_stall(cx, result)
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
