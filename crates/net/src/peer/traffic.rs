//! Counts the bytes sent and received on peer connections.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Byte counters of all peer connections, with HTTP/2 framing and without TCP and IP
/// headers.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes sent on connections that carry control messages.
    pub control_sent: AtomicU64,
    /// Bytes received on connections that carry control messages.
    pub control_received: AtomicU64,
    /// Bytes sent on connections that carry callers' requests.
    pub forward_sent: AtomicU64,
    /// Bytes received on connections that carry callers' requests.
    pub forward_received: AtomicU64,
}

/// A TCP stream that counts its bytes.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<PeerTraffic>,
    carries_requests: Arc<AtomicBool>,
}

impl CountedStream {
    /// Wraps a stream. Its bytes count as control traffic until `carries_requests` is set,
    /// and as traffic of forwarded requests from then on.
    pub fn new(
        stream: TcpStream,
        traffic: Arc<PeerTraffic>,
        carries_requests: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            traffic,
            carries_requests,
        }
    }

    fn count(&self, control: &AtomicU64, forward: &AtomicU64, bytes: usize) {
        let counter = match self.carries_requests.load(Ordering::Relaxed) {
            true => forward,
            false => control,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_sent(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            let traffic = &self.traffic;
            self.count(&traffic.control_sent, &traffic.forward_sent, *bytes);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        let traffic = &self.traffic;
        self.count(&traffic.control_received, &traffic.forward_received, read);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_sent(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_sent(&result);
        result
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
