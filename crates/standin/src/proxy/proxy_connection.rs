//! One proxied connection: `downstream` is the socket of the connecting side,
//! `upstream` the socket to the target.

use {
    super::{DirectionFaults, ProxySettings, proxy_state::ProxyState},
    bytes::{Bytes, BytesMut},
    std::{
        future::pending,
        io,
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::{mpsc, watch},
        time::{Instant, sleep, sleep_until},
    },
};

/// Maximum size of a chunk forwarded at once, in bytes.
const CHUNK_SIZE: usize = 16 << 10;

/// Maximum number of chunks buffered in one direction; further data stays in the
/// sender's socket.
const CHANNEL_CAPACITY: usize = 64;

/// Data with the time at which it was read, or the read error, such as a reset.
type Chunk = (Instant, io::Result<Bytes>);

/// Forwards bytes in both directions until the connection ends or is reset.
pub(super) async fn run(state: &ProxyState, mut downstream: TcpStream) {
    let mut silenced = state.silenced.subscribe();
    let target = *state.target.borrow();
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        reset(&downstream);
        return;
    };
    let ended = tokio::select! {
        ended = relay(state, &mut downstream, &mut upstream) => ended,
        _ = silenced.changed() => pending().await,
    };
    if ended.is_err() {
        reset(&downstream);
        reset(&upstream);
    }
}

/// Makes the socket send a reset when it is closed.
pub(super) fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("cannot reset a connection: {error}");
    }
}

/// Forwards both directions; on an error, the caller has to reset both sides.
async fn relay(
    state: &ProxyState,
    downstream: &mut TcpStream,
    upstream: &mut TcpStream,
) -> io::Result<()> {
    downstream.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (downstream_read, downstream_write) = downstream.split();
    let (upstream_read, upstream_write) = upstream.split();
    let up = Direction {
        settings: state.settings.subscribe(),
        faults: |settings| &settings.up,
        total_bytes: &state.bytes_up,
        connection_bytes: 0,
    };
    let down = Direction {
        settings: state.settings.subscribe(),
        faults: |settings| &settings.down,
        total_bytes: &state.bytes_down,
        connection_bytes: 0,
    };
    let mut settings = state.settings.subscribe();
    tokio::select! {
        ended = async { tokio::try_join!(
            up.run(downstream_read, upstream_write),
            down.run(upstream_read, downstream_write),
        ) } => ended.map(|_| ()),
        _ = settings.wait_for(|settings| settings.cut) => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// One direction of a connection.
struct Direction<'a> {
    settings: watch::Receiver<ProxySettings>,
    /// Selects the faults of this direction.
    faults: fn(&ProxySettings) -> &DirectionFaults,
    /// Bytes forwarded in this direction on all connections of the proxy.
    total_bytes: &'a AtomicU64,
    /// Bytes forwarded in this direction of this connection.
    connection_bytes: u64,
}

impl Direction<'_> {
    async fn run(self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let failed = AtomicBool::new(false);
        let reading = async {
            read_all(source, sender, &failed).await;
            Ok(())
        };
        tokio::try_join!(reading, self.write_all(receiver, sink, &failed))?;
        Ok(())
    }

    async fn write_all(
        mut self,
        mut chunks: mpsc::Receiver<Chunk>,
        mut sink: WriteHalf<'_>,
        failed: &AtomicBool,
    ) -> io::Result<()> {
        while let Some((read_at, bytes)) = chunks.recv().await {
            let faults = self.wait_while_blackholed(failed).await?;
            sleep_until(read_at + Duration::from_millis(faults.delay_ms)).await;
            // The direction may have become a black hole during the delay.
            let faults = self.wait_while_blackholed(failed).await?;
            let bytes = bytes?;
            let is_last = self.forward(&faults, bytes, &mut sink).await?;
            if is_last {
                break;
            }
        }
        self.wait_while_blackholed(failed).await?;
        sink.shutdown().await
    }

    /// Waits while the direction is a black hole; returns the current faults, or an error if the
    /// sender reset the connection meanwhile. TCP does not send its bytes again then.
    async fn wait_while_blackholed(&mut self, failed: &AtomicBool) -> io::Result<DirectionFaults> {
        let direction_faults = self.faults;
        let is_blackholed = direction_faults(&self.settings.borrow()).blackhole;
        let open = self
            .settings
            .wait_for(|settings| !direction_faults(settings).blackhole)
            .await;
        let faults = open
            .map(|settings| direction_faults(&settings).clone())
            .unwrap_or_default();
        match is_blackholed && failed.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(faults),
        }
    }

    /// Forwards a chunk, or the part of it that the byte limits allow; returns
    /// whether it was the last.
    async fn forward(
        &mut self,
        faults: &DirectionFaults,
        mut bytes: Bytes,
        sink: &mut WriteHalf<'_>,
    ) -> io::Result<bool> {
        let limit = faults.truncate_after.into_iter().chain(faults.reset_after);
        let left = limit
            .min()
            .map(|limit| limit.saturating_sub(self.connection_bytes));
        let is_last = left.is_some_and(|left| left <= bytes.len() as u64);
        if let (true, Some(left)) = (is_last, left) {
            bytes.truncate(usize::try_from(left).unwrap_or(usize::MAX));
        }
        sink.write_all(&bytes).await?;
        let count = bytes.len() as u64;
        self.connection_bytes += count;
        self.total_bytes.fetch_add(count, Ordering::Relaxed);
        if let Some(micros) = (count * 1_000_000).checked_div(faults.bandwidth) {
            sleep(Duration::from_micros(micros)).await;
        }
        let resets = faults
            .reset_after
            .is_some_and(|limit| self.connection_bytes >= limit);
        if resets {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(is_last)
    }
}

/// Reads chunks until the source ends or the receiver is dropped; sets `failed` at a read error.
async fn read_all(mut source: ReadHalf<'_>, sender: mpsc::Sender<Chunk>, failed: &AtomicBool) {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_SIZE);
        let chunk = tokio::select! {
            read = source.read_buf(&mut buffer) => read,
            () = sender.closed() => return,
        };
        let chunk = match chunk {
            Ok(0) => return,
            Ok(_) => Ok(buffer.freeze()),
            Err(error) => Err(error),
        };
        let is_last = chunk.is_err();
        failed.store(is_last, Ordering::Relaxed);
        if sender.send((Instant::now(), chunk)).await.is_err() || is_last {
            return;
        }
    }
}
