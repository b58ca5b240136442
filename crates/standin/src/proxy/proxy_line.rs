//! One connection through the proxy.

use {
    super::{LineFaults, ProxySettings, proxy_state::ProxyState},
    bytes::{Bytes, BytesMut},
    std::{
        io,
        sync::atomic::{AtomicU64, Ordering},
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

/// Largest piece passed on at once, in bytes.
const CHUNK_SIZE: usize = 16 << 10;

/// Pieces held in one direction; more wait in the sender's socket.
const CHUNK_LIMIT: usize = 64;

/// A piece of data with the time it was read; the error is a reset.
type Chunk = (Instant, io::Result<Bytes>);

/// Passes bytes both ways until the connection ends or is cut.
pub(super) async fn run(state: &ProxyState, mut near: TcpStream) {
    let Ok(mut far) = TcpStream::connect(state.target).await else {
        reset(&near);
        return;
    };
    if relay(state, &mut near, &mut far).await.is_err() {
        reset(&near);
        reset(&far);
    }
}

/// Makes closing the socket send a reset.
pub(super) fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("cannot reset a connection: {error}");
    }
}

/// The error means that both sides are to be reset.
async fn relay(state: &ProxyState, near: &mut TcpStream, far: &mut TcpStream) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let up = Line {
        settings: state.settings.subscribe(),
        faults: |settings| &settings.up,
        passed: &state.bytes_up,
        limit_used: 0,
    };
    let down = Line {
        settings: state.settings.subscribe(),
        faults: |settings| &settings.down,
        passed: &state.bytes_down,
        limit_used: 0,
    };
    let mut settings = state.settings.subscribe();
    tokio::select! {
        ended = async { tokio::try_join!(
            up.run(near_read, far_write),
            down.run(far_read, near_write),
        ) } => ended.map(|_| ()),
        _ = settings.wait_for(|settings| settings.cut) => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// One direction of a connection.
struct Line<'a> {
    settings: watch::Receiver<ProxySettings>,
    faults: fn(&ProxySettings) -> &LineFaults,
    passed: &'a AtomicU64,
    /// Bytes passed on this connection.
    limit_used: u64,
}

impl Line<'_> {
    async fn run(self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNK_LIMIT);
        let reading = async {
            read_all(source, sender).await;
            Ok(())
        };
        tokio::try_join!(reading, self.write_all(receiver, sink))?;
        Ok(())
    }

    async fn write_all(
        mut self,
        mut chunks: mpsc::Receiver<Chunk>,
        mut sink: WriteHalf<'_>,
    ) -> io::Result<()> {
        while let Some((read_at, bytes)) = chunks.recv().await {
            let faults = self.open_faults().await;
            sleep_until(read_at + Duration::from_millis(faults.delay_ms)).await;
            // The line may have been closed during the delay.
            let faults = self.open_faults().await;
            let bytes = bytes?;
            let is_last = self.pass(&faults, bytes, &mut sink).await?;
            if is_last {
                break;
            }
        }
        self.open_faults().await;
        sink.shutdown().await
    }

    /// Waits while the line is a black hole; returns the faults in force.
    async fn open_faults(&mut self) -> LineFaults {
        let pick = self.faults;
        let open = self
            .settings
            .wait_for(|settings| !pick(settings).blackhole)
            .await;
        open.map(|settings| pick(&settings).clone())
            .unwrap_or_default()
    }

    /// Passes a piece on, or the part of it that the limits allow; returns
    /// whether it was the last.
    async fn pass(
        &mut self,
        faults: &LineFaults,
        mut bytes: Bytes,
        sink: &mut WriteHalf<'_>,
    ) -> io::Result<bool> {
        let limit = faults.truncate_after.into_iter().chain(faults.reset_after);
        let left = limit
            .min()
            .map(|limit| limit.saturating_sub(self.limit_used));
        let is_last = left.is_some_and(|left| left <= bytes.len() as u64);
        if let (true, Some(left)) = (is_last, left) {
            bytes.truncate(usize::try_from(left).unwrap_or(usize::MAX));
        }
        sink.write_all(&bytes).await?;
        let count = bytes.len() as u64;
        self.limit_used += count;
        self.passed.fetch_add(count, Ordering::Relaxed);
        if let Some(micros) = (count * 1_000_000).checked_div(faults.bandwidth) {
            sleep(Duration::from_micros(micros)).await;
        }
        let resets = faults
            .reset_after
            .is_some_and(|limit| self.limit_used >= limit);
        if resets {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(is_last)
    }
}

/// Reads until the source ends or the receiver is gone.
async fn read_all(mut source: ReadHalf<'_>, sender: mpsc::Sender<Chunk>) {
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
        let failed = chunk.is_err();
        if sender.send((Instant::now(), chunk)).await.is_err() || failed {
            return;
        }
    }
}
