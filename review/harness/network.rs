//! Which peers reach each other, and which process has opened a connection.

use std::{
    fs,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    process,
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread::sleep,
    time::Duration,
};

/// Ports below the range of outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 18_000;

/// Pause after which a connection looks again whether its partition has ended.
const POLL_PAUSE: Duration = Duration::from_millis(5);

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

/// A member of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    Host(usize),
    Server(usize),
    Store,
}

/// Two sides of a partition; without one, all members reach each other.
#[derive(Default)]
pub struct Network {
    island: Mutex<Vec<Member>>,
    /// Process ids of the hosts.
    processes: Mutex<Vec<u32>>,
}

impl Network {
    /// Cuts these members, which reach each other, off from all others. An empty list heals the cut.
    pub fn cut(&self, island: Vec<Member>) {
        *self.island.lock().unwrap() = island;
    }

    pub fn connects(&self, one: Member, other: Member) -> bool {
        let island = self.island.lock().unwrap();
        island.contains(&one) == island.contains(&other)
    }

    /// Waits while the members are cut off from each other; returns whether they were.
    pub fn wait(&self, one: Member, other: Member) -> bool {
        let mut was_cut = false;
        while !self.connects(one, other) {
            was_cut = true;
            sleep(POLL_PAUSE);
        }
        was_cut
    }

    pub fn set_process(&self, host: usize, id: u32) {
        let mut processes = self.processes.lock().unwrap();
        if processes.len() <= host {
            processes.resize(host + 1, 0);
        }
        processes[host] = id;
    }

    /// The host whose process has opened this connection; `None` for other clients.
    pub fn host_of(&self, stream: &TcpStream) -> Option<usize> {
        let (remote, local) = (stream.peer_addr().ok()?, stream.local_addr().ok()?);
        let socket = format!("socket:[{}]", inode_of(remote, local)?);
        let processes = self.processes.lock().unwrap().clone();
        processes.into_iter().position(|id| {
            let Ok(open) = fs::read_dir(format!("/proc/{id}/fd")) else {
                return false;
            };
            let mut names = open
                .flatten()
                .filter_map(|file| fs::read_link(file.path()).ok());
            id != 0 && names.any(|name| name.to_str() == Some(&socket))
        })
    }
}

/// Inode of the socket at the other end of a connection.
fn inode_of(remote: SocketAddr, local: SocketAddr) -> Option<String> {
    let text = |address: SocketAddr| {
        let SocketAddr::V4(address) = address else {
            return String::new();
        };
        let number = u32::from_le_bytes(address.ip().octets());
        format!("{number:08X}:{:04X}", address.port())
    };
    let (remote, local) = (text(remote), text(local));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it =
            fields.get(1) == Some(&remote.as_str()) && fields.get(2) == Some(&local.as_str());
        is_it.then(|| fields.get(9).map(|inode| (*inode).to_owned()))?
    })
}
