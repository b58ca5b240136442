//! Loopback addresses for hosts and stand-ins.

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports below the range of outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 18_000;

static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// A loopback port that is free for TCP and UDP.
pub fn free_port() -> SocketAddr {
    loop {
        let tried = u32::from(PORTS_TRIED.fetch_add(1, Ordering::Relaxed));
        let port = (process::id() * 97 + tried) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
