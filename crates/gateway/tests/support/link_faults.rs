//! Delays and cuts between hosts and servers, and between hosts.

use {
    super::{
        peer_relay::{DatagramFault, PeerRelay},
        soak_host::SoakHost,
        soak_servers::SoakServers,
    },
    camphorcove_standin::proxy::{DirectionFaults, ProxySettings},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Length of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..4_000;

/// Delay in one direction between a host and a server, in milliseconds: an order still arrives
/// before its sender gives it up, its answer may not.
const SERVER_DELAY_MS: std::ops::Range<u64> = 10..250;

/// Delay of datagrams, in milliseconds: up to the time after which hosts look for another leader.
const DATAGRAM_DELAY_MS: std::ops::Range<u64> = 50..900;

/// What a fault of the network needs of the run.
#[derive(Clone)]
pub struct LinkContext {
    pub hosts: Vec<Arc<SoakHost>>,
    pub servers: SoakServers,
    pub relay: Arc<PeerRelay>,
}

impl LinkContext {
    /// Runs a random fault until its end.
    pub async fn run_fault(self, mut random: ChaCha8Rng) {
        let duration = Duration::from_millis(random.random_range(FAULT_MS));
        match random.random_range(0..2) {
            0 => {
                let faults = server_faults(&mut random);
                let server = random.random_range(0..self.servers.count());
                self.servers.disturb(server, faults, duration).await;
            }
            _ => self.disturb_hosts(duration, &mut random).await,
        }
    }

    /// Delays or drops datagrams between two hosts or between one and all others, in one or in
    /// both directions.
    async fn disturb_hosts(&self, duration: Duration, random: &mut ChaCha8Rng) {
        let count = self.hosts.len();
        let one = random.random_range(0..count);
        let other = (one + random.random_range(1..count)) % count;
        let others: Vec<usize> = match random.random_bool(0.5) {
            true => vec![other],
            false => (0..count).filter(|other| *other != one).collect(),
        };
        let fault = match random.random_bool(0.5) {
            true => DatagramFault::Drop,
            false => {
                let delay = random.random_range(DATAGRAM_DELAY_MS);
                DatagramFault::Delay(Duration::from_millis(delay))
            }
        };
        let (outward, inward) = match random.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        let set = |fault: Option<DatagramFault>| {
            for other in &others {
                if outward {
                    self.relay.set(one, *other, fault);
                }
                if inward {
                    self.relay.set(*other, one, fault);
                }
            }
        };
        let from = Instant::now();
        set(Some(fault));
        sleep(duration).await;
        set(None);
        for host in others.iter().chain([&one]) {
            self.hosts[*host].record_cut(from);
        }
    }
}

/// Connections of a server that are delayed, reset, or silent in one or both directions.
fn server_faults(random: &mut ChaCha8Rng) -> ProxySettings {
    let silent = DirectionFaults {
        blackhole: true,
        ..DirectionFaults::default()
    };
    let mut faults = ProxySettings::default();
    match random.random_range(0..5) {
        0 => {
            faults.up.delay_ms = random.random_range(SERVER_DELAY_MS);
            faults.down.delay_ms = random.random_range(SERVER_DELAY_MS);
        }
        1 => faults.cut = true,
        2 => faults.up = silent,
        3 => faults.down = silent,
        _ => (faults.up, faults.down) = (silent.clone(), silent),
    }
    faults
}
