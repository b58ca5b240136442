//! Faults of entries and addresses: other programs write entries, and servers end and start.

use {
    super::{
        RangeSimulation,
        server_entries::OddEntry,
        sim_server::{SimServer, new_address},
    },
    camphorcove_core::{
        fleet::{ServerEntry, ServerPhase},
        ids::ServerId,
        ownership::ServerInstance,
        time::BootTime,
    },
    rand::RngExt,
    std::{net::SocketAddr, time::Duration},
};

/// Time for which a server serves on after it has removed its entry, in milliseconds.
const SERVES_ON_MS: std::ops::Range<u64> = 1_500..2_600;

/// Time until a running server writes its entry again that another program has replaced.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// Number of running servers below which none is ended.
const MIN_SERVERS: usize = 3;

/// How a server ends.
#[derive(Clone, Copy, Debug)]
pub enum ServerEnd {
    /// It removes its entry, serves on for some seconds and ends.
    ServesOn,
    /// It crashes, and a server with another id starts at its address.
    Replaced,
    /// It crashes and starts again under its id and address.
    Restarted,
    /// It crashes and starts again under its id at another address.
    RestartedElsewhere,
}

/// Server that is about to start.
#[derive(Clone, Debug)]
pub struct PendingStart {
    at: BootTime,
    address: SocketAddr,
    /// Id of an ended server that starts again; a new one otherwise.
    id: Option<ServerId>,
}

impl RangeSimulation {
    /// Another program writes an entry, or leaders see an older copy of the entries.
    pub(super) fn inject_entry_fault(&mut self) {
        match self.entry_random.random_range(0..5) {
            0..=2 => self.leave_entry(None),
            3 => {
                let at = self.entry_random.random_range(0..self.servers.len());
                self.leave_entry(Some(at));
            }
            _ => {
                let shown = Duration::from_millis(self.entry_random.random_range(200..4_000));
                let age = Duration::from_millis(self.entry_random.random_range(0..10_000));
                self.entries.show_copy(self.now + shown, age);
            }
        }
    }

    /// A random server ends, in one of the ways in which servers do.
    pub(super) fn inject_end(&mut self) {
        let at = self.entry_random.random_range(0..self.servers.len());
        let end = match self.entry_random.random_range(0..4) {
            0 => ServerEnd::ServesOn,
            1 => ServerEnd::Replaced,
            2 => ServerEnd::Restarted,
            _ => ServerEnd::RestartedElsewhere,
        };
        let wait = Duration::from_millis(self.entry_random.random_range(200..4_000));
        self.end_server(at, end, wait);
    }

    /// Ends the server at this index; the one that follows it starts after `wait`.
    pub fn end_server(&mut self, at: usize, end: ServerEnd, wait: Duration) {
        if !self.may_end(at) {
            return;
        }
        let ServerInstance { id, address, .. } = self.servers[at].instance.clone();
        match end {
            ServerEnd::ServesOn => self.replace_gracefully(at),
            ServerEnd::Replaced => self.end_and_start(at, wait, address, None),
            ServerEnd::Restarted => self.end_and_start(at, wait, address, Some(id)),
            ServerEnd::RestartedElsewhere => {
                let elsewhere = self.unused_address();
                self.end_and_start(at, wait, elsewhere, Some(id));
            }
        }
    }

    /// Another program leaves an entry, under the name of the server at this index or another one.
    fn leave_entry(&mut self, named: Option<usize>) {
        let random = &mut self.entry_random;
        let number = random.random_range(0..self.servers.len());
        let address = match random.random_range(0..4) {
            0..=2 => self.servers[number].instance.address,
            _ => ([127, 0, 0, 1], 6_500).into(),
        };
        let known = named.unwrap_or(number);
        let known = &self.servers[known].instance;
        let incarnation = match random.random_range(0..5) {
            0 => 0,
            1 => known.incarnation,
            2 => known.incarnation + 1,
            3 => known.incarnation + 1_000_000,
            _ => u64::MAX,
        };
        let id = match named {
            Some(_) => known.id.clone(),
            None => format!("odd-{}", random.random_range(0..3))
                .parse()
                .expect("valid id"),
        };
        let service = match random.random_range(0..2) {
            0 => self.service.clone(),
            _ => "metrics".parse().expect("valid name"),
        };
        let phase = match random.random_range(0..3) {
            0 => ServerPhase::Draining,
            _ => ServerPhase::Ready,
        };
        let lasts = match named {
            Some(at) if self.servers[at].up => HEARTBEAT,
            _ => Duration::from_millis(random.random_range(100..10_000)),
        };
        let entry = ServerEntry {
            id,
            incarnation,
            service,
            address,
            zone: "z".parse().expect("valid name"),
            slots: 3,
            phase,
            warmup: Duration::ZERO,
        };
        let until = self.now + lasts;
        self.entries.leave(OddEntry { entry, until });
    }

    /// A new server starts, and the one at this index removes its entry, serves on and ends.
    fn replace_gracefully(&mut self, at: usize) {
        let serves_on = Duration::from_millis(self.entry_random.random_range(SERVES_ON_MS));
        if self.servers[at].serves_until.is_some() {
            return;
        }
        self.servers[at].serves_until = Some(self.now + serves_on);
        let address = self.unused_address();
        self.starts.push(PendingStart {
            at: self.now,
            address,
            id: None,
        });
        // The address goes to another server in time.
        let address = self.servers[at].instance.address;
        self.starts.push(PendingStart {
            at: self.now + serves_on + Duration::from_millis(2_000),
            address,
            id: None,
        });
    }

    /// The server at this index crashes, and one starts at the address after a time.
    fn end_and_start(
        &mut self,
        at: usize,
        wait: Duration,
        address: SocketAddr,
        id: Option<ServerId>,
    ) {
        self.servers[at].crash(self.now);
        let at = self.now + wait;
        self.starts.push(PendingStart { at, address, id });
    }

    fn may_end(&self, at: usize) -> bool {
        let running = self.servers.iter().filter(|server| server.up);
        self.servers[at].up && running.count() > MIN_SERVERS
    }

    fn unused_address(&mut self) -> SocketAddr {
        self.next_server += 1;
        new_address(self.next_server)
    }

    /// Ends servers that have served on for long enough, and starts those that are due.
    pub(super) fn end_and_start_servers(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            if server.serves_until.is_some_and(|until| until <= now) {
                server.crash(now);
            }
        }
        let due = |start: &PendingStart| start.at <= now;
        let starts: Vec<PendingStart> = self.starts.extract_if(.., |start| due(start)).collect();
        for start in starts {
            self.start_server(start);
        }
    }

    fn start_server(&mut self, start: PendingStart) {
        let mut servers = self.servers.iter();
        let is_taken = servers.any(|server| server.up && server.instance.address == start.address);
        if is_taken {
            return;
        }
        let Some(id) = start.id else {
            self.next_server += 1;
            let mut server = SimServer::new(self.next_server);
            server.started_at = self.now;
            server.instance.incarnation = self.servers.len() as u64 * 1_000;
            server.instance.address = start.address;
            self.servers.push(server);
            return;
        };
        let mut servers = self.servers.iter_mut();
        let ended = servers.find(|server| server.instance.id == id && !server.up);
        if let Some(server) = ended {
            server.restart(self.now);
            server.instance.address = start.address;
        }
    }
}
