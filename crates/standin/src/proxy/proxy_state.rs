//! State shared by the connections of a proxy.

use {
    super::ProxySettings,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
    },
    tokio::sync::watch,
};

/// Counters of a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ProxyStats {
    /// Connections accepted.
    pub accepted: u64,
    /// Bytes forwarded to the target.
    pub bytes_up: u64,
    /// Bytes forwarded from the target to connecting sides.
    pub bytes_down: u64,
}

/// Target, faults and counters of a proxy.
#[derive(Debug)]
pub(super) struct ProxyState {
    pub target: watch::Sender<SocketAddr>,
    pub settings: watch::Sender<ProxySettings>,
    /// Rises each time that the connections which are open then fall silent for good.
    pub silenced: watch::Sender<u64>,
    pub accepted: AtomicU64,
    pub bytes_up: AtomicU64,
    pub bytes_down: AtomicU64,
}

impl ProxyState {
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target: watch::Sender::new(target),
            settings: watch::Sender::default(),
            silenced: watch::Sender::default(),
            accepted: AtomicU64::new(0),
            bytes_up: AtomicU64::new(0),
            bytes_down: AtomicU64::new(0),
        }
    }

    pub fn stats(&self) -> ProxyStats {
        ProxyStats {
            accepted: self.accepted.load(Ordering::Relaxed),
            bytes_up: self.bytes_up.load(Ordering::Relaxed),
            bytes_down: self.bytes_down.load(Ordering::Relaxed),
        }
    }
}
