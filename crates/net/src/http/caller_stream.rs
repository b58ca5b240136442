//! A caller's connection with idle timeouts and a check of the HTTP/1 framing.
//!
//! hyper reads nothing of a request before it has answered the one before it. A [`ReadAhead`]
//! reads on meanwhile, so that pipelined requests become known when they arrive.

use {
    super::{FramingGuard, PipelinedHead},
    bytes::{Buf, BytesMut},
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
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

/// Bytes that are read ahead of hyper; more stay in the socket until hyper has taken some.
const READ_AHEAD_BYTES: usize = 32 << 10;

/// Size of one read ahead, in bytes: a few pipelined heads.
const READ_AHEAD_CHUNK: usize = 4 << 10;

/// A caller's connection with timeouts and with a [`FramingGuard`] on received bytes.
#[derive(Debug)]
pub struct CallerStream {
    inbound: Arc<Mutex<Inbound>>,
    first_bytes_timer: Option<Pin<Box<Sleep>>>,
    write_stall_timer: Option<Pin<Box<Sleep>>>,
}

/// Receiving side of a connection, which hyper's stream and the read-ahead share. Both are
/// polled by the same task, so the lock is never contended.
#[derive(Debug)]
struct Inbound {
    stream: TcpStream,
    guard: FramingGuard,
    /// Inspected bytes that hyper has not read yet.
    buffered: BytesMut,
}

impl Inbound {
    /// Reads and inspects bytes from the socket.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.guard.inspect(&mut buffer.filled_mut()[start..]);
        Poll::Ready(Ok(()))
    }
}

/// Counts the requests that have been received on a caller's connection.
#[derive(Clone, Debug)]
pub struct ReceivedHeads {
    inbound: Arc<Mutex<Inbound>>,
}

impl ReceivedHeads {
    /// Number of complete HTTP/1 heads that have been received.
    pub fn count(&self) -> u64 {
        lock(&self.inbound).guard.head_count()
    }
}

/// Reads a caller's connection while hyper is busy with a request.
#[derive(Debug)]
pub struct ReadAhead {
    inbound: Arc<Mutex<Inbound>>,
}

impl ReadAhead {
    /// Reads what has arrived behind an unanswered request, up to a limit. Ready when the caller
    /// has closed the connection; pending otherwise, and the task is woken by further bytes.
    pub fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inbound = lock(&self.inbound);
        let mut chunk = [0; READ_AHEAD_CHUNK];
        while inbound.guard.has_unanswered()
            && inbound.guard.is_in_head()
            && inbound.buffered.len() < READ_AHEAD_BYTES
        {
            let mut buffer = ReadBuf::new(&mut chunk);
            match ready!(inbound.poll_receive(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    inbound.buffered.extend_from_slice(buffer.filled());
                }
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    /// Sets how many requests of the connection have been answered.
    pub fn set_answered(&self, answered: u64) {
        lock(&self.inbound).guard.set_answered(answered);
    }

    /// Number of complete heads that have been received.
    pub fn head_count(&self) -> u64 {
        lock(&self.inbound).guard.head_count()
    }

    /// Whether at least one request, of which the head has been received, is unanswered.
    pub fn has_unanswered(&self) -> bool {
        lock(&self.inbound).guard.has_unanswered()
    }

    /// Returns the heads that arrived behind an unanswered request since the last call.
    pub fn take_pipelined(&self) -> Vec<PipelinedHead> {
        lock(&self.inbound).guard.take_pipelined()
    }
}

fn lock(inbound: &Mutex<Inbound>) -> MutexGuard<'_, Inbound> {
    inbound.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CallerStream {
    /// Wraps an accepted connection and starts the timeout for its first bytes.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            inbound: Arc::new(Mutex::new(Inbound {
                stream,
                guard: FramingGuard::default(),
                buffered: BytesMut::new(),
            })),
            first_bytes_timer: Some(Box::pin(sleep(FIRST_BYTES_TIMEOUT))),
            write_stall_timer: None,
        }
    }

    /// Counts the requests that are received on this connection.
    pub fn received_heads(&self) -> ReceivedHeads {
        ReceivedHeads {
            inbound: self.inbound.clone(),
        }
    }

    /// Reads this connection ahead of hyper.
    pub fn read_ahead(&self) -> ReadAhead {
        lock(&self.inbound).guard.keep_heads();
        ReadAhead {
            inbound: self.inbound.clone(),
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
        let result = {
            let mut inbound = lock(&self.inbound);
            if inbound.buffered.is_empty() {
                inbound.poll_receive(cx, buffer)
            } else {
                let count = inbound.buffered.len().min(buffer.remaining());
                buffer.put_slice(&inbound.buffered[..count]);
                inbound.buffered.advance(count);
                Poll::Ready(Ok(()))
            }
        };
        if result.is_pending() {
            if let Some(timer) = &mut self.first_bytes_timer {
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            return Poll::Pending;
        }
        self.first_bytes_timer = None;
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut lock(&self.inbound).stream).poll_write(cx, bytes);
        self.check_write_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut lock(&self.inbound).stream).poll_write_vectored(cx, parts);
        self.check_write_stall(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.inbound).stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.inbound).stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.inbound).stream).poll_shutdown(cx)
    }
}
