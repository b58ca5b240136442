//! Partitions between hosts, servers and the store, and the datagrams between hosts.

use std::{
    collections::{HashMap, HashSet},
    fs, io,
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Most attempts to find the host of a connection.
const LOOKUPS: usize = 50;

/// Longest datagram.
const DATAGRAM_BYTES: usize = 65_536;

#[derive(Default)]
struct Sides {
    /// Process of each host, by its name.
    processes: HashMap<String, u32>,
    /// Pairs of hosts, servers and the store between which nothing passes, in the order of their names.
    cuts: HashSet<(String, String)>,
}

/// Who reaches whom; clones share it.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<Sides>>);

impl Links {
    pub fn set_process(&self, host: &str, process: u32) {
        let mut sides = self.0.lock().expect("not poisoned");
        sides.processes.insert(host.to_owned(), process);
    }

    /// Cuts the paths between `one` and each of the others, or mends them.
    pub fn set_cut(&self, one: &str, others: &[&str], is_cut: bool) {
        let mut sides = self.0.lock().expect("not poisoned");
        for other in others {
            let pair = pair_of(one, other);
            match is_cut {
                true => sides.cuts.insert(pair),
                false => sides.cuts.remove(&pair),
            };
        }
    }

    /// Whether nothing passes between the two; the store is `store`.
    pub fn is_cut(&self, one: &str, other: &str) -> bool {
        let sides = self.0.lock().expect("not poisoned");
        sides.cuts.contains(&pair_of(one, other))
    }

    /// Host that has opened a connection: the one whose process owns its socket.
    pub fn host_of(&self, stream: &TcpStream) -> Option<String> {
        // The list of sockets is not read at one moment, so that one may be missing from it.
        for _ in 0..LOOKUPS {
            let host = self.find_host(stream);
            if host.is_some() {
                return host;
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    fn find_host(&self, stream: &TcpStream) -> Option<String> {
        let (here, there) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
        let inode = socket_inode(there, here)?;
        let name = format!("socket:[{inode}]");
        let processes = self.0.lock().expect("not poisoned").processes.clone();
        processes.into_iter().find_map(|(host, process)| {
            let files = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
            let mut links = files
                .flatten()
                .filter_map(|file| fs::read_link(file.path()).ok());
            links
                .any(|link| link.to_string_lossy() == name)
                .then_some(host)
        })
    }

    /// Whether the peer of a connection still waits, after a partition between `host` and `other` has
    /// ended. What a peer has given up on during the partition never arrives.
    pub fn wait_for(&self, host: &str, other: &str, stream: &TcpStream) -> bool {
        let mut was_cut = false;
        while self.is_cut(host, other) {
            was_cut = true;
            thread::sleep(Duration::from_millis(5));
        }
        !was_cut || is_open(stream)
    }
}

fn pair_of(one: &str, other: &str) -> (String, String) {
    let (first, last) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    (first.to_owned(), last.to_owned())
}

fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Inode of the socket between two local addresses.
fn socket_inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let text = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (hexadecimal(local)?, hexadecimal(remote)?);
    text.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let found =
            fields.get(1) == Some(&local.as_str()) && fields.get(2) == Some(&remote.as_str());
        found.then(|| fields.get(9).map(|inode| (*inode).to_owned()))?
    })
}

fn hexadecimal(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Address to which others send datagrams to a host, and the one on which it listens.
#[derive(Clone)]
pub struct PeerAddresses {
    pub host: String,
    pub public: SocketAddr,
    pub own: SocketAddr,
}

/// Forwards the datagrams between hosts, unless a partition lies between them.
pub fn start_datagrams(hosts: &[PeerAddresses], links: &Links) -> io::Result<()> {
    let mut sockets = Vec::new();
    for host in hosts {
        sockets.push(Arc::new(UdpSocket::bind(host.public)?));
    }
    for (at, target) in hosts.iter().enumerate() {
        let (target, hosts, sockets) = (target.clone(), hosts.to_vec(), sockets.clone());
        let links = links.clone();
        thread::spawn(move || {
            let mut buffer = vec![0; DATAGRAM_BYTES];
            loop {
                let Ok((length, from)) = sockets[at].recv_from(&mut buffer) else {
                    continue;
                };
                let Some(sender) = hosts.iter().position(|host| host.own == from) else {
                    continue;
                };
                if !links.is_cut(&hosts[sender].host, &target.host) {
                    let _ = sockets[sender].send_to(&buffer[..length], target.own);
                }
            }
        });
    }
    Ok(())
}
