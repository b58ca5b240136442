//! Relay for the datagrams between hosts, which delays or drops them by sender and receiver.

use {
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::UdpSocket, task::JoinSet, time::sleep},
};

/// Size of the receive buffer: the largest datagram that hosts read.
const RECEIVE_BUFFER_BYTES: usize = 60_000;

/// What happens to the datagrams from one host to another.
#[derive(Clone, Copy, Debug)]
pub enum DatagramFault {
    Drop,
    Delay(Duration),
}

/// Addresses of a host.
#[derive(Clone, Copy, Debug)]
pub struct RelayedHost {
    /// Address that other hosts send to, at which the relay listens.
    pub public: SocketAddr,
    /// Address at which the host itself listens.
    pub own: SocketAddr,
}

/// A running relay; stops when dropped.
pub struct PeerRelay {
    /// Faults by sender and receiver.
    faults: Arc<Mutex<HashMap<(usize, usize), DatagramFault>>>,
    _tasks: JoinSet<()>,
}

impl PeerRelay {
    /// Starts without faults. Each host is known to the others by its public address only.
    pub async fn start(hosts: &[RelayedHost]) -> Self {
        let mut sockets = Vec::new();
        for host in hosts {
            let socket = UdpSocket::bind(host.public).await;
            sockets.push(Arc::new(socket.expect("a free port")));
        }
        let faults = Arc::default();
        let mut tasks = JoinSet::new();
        for to in 0..hosts.len() {
            let receiver = Receiver {
                to,
                hosts: hosts.to_vec(),
                sockets: sockets.clone(),
                faults: Arc::clone(&faults),
            };
            tasks.spawn(receiver.run());
        }
        Self {
            faults,
            _tasks: tasks,
        }
    }

    /// Sets or ends the fault of a direction.
    pub fn set(&self, from: usize, to: usize, fault: Option<DatagramFault>) {
        let mut faults = self.faults.lock().expect("not poisoned");
        match fault {
            Some(fault) => faults.insert((from, to), fault),
            None => faults.remove(&(from, to)),
        };
    }
}

/// Receives the datagrams to one host.
struct Receiver {
    to: usize,
    hosts: Vec<RelayedHost>,
    sockets: Vec<Arc<UdpSocket>>,
    faults: Arc<Mutex<HashMap<(usize, usize), DatagramFault>>>,
}

impl Receiver {
    async fn run(self) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            // An error tells that an earlier datagram met a host that is down.
            let Ok((length, sender)) = self.sockets[self.to].recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.hosts.iter().position(|host| host.own == sender) else {
                continue;
            };
            let fault = {
                let faults = self.faults.lock().expect("not poisoned");
                faults.get(&(from, self.to)).copied()
            };
            let delay = match fault {
                Some(DatagramFault::Drop) => continue,
                Some(DatagramFault::Delay(delay)) => delay,
                None => Duration::ZERO,
            };
            let (socket, address) = (self.sockets[from].clone(), self.hosts[self.to].own);
            if delay.is_zero() {
                // Datagrams may be lost.
                let _ = socket.send_to(&buffer[..length], address).await;
                continue;
            }
            let datagram = buffer[..length].to_vec();
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = socket.send_to(&datagram, address).await;
            });
        }
    }
}
