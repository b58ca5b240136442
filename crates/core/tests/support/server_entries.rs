//! Entries of servers in the simulated store, among them those that other programs leave there.

use {
    super::sim_server::SimServer,
    camphorcove_core::{
        fleet::{ServerEntry, ServerPhase},
        ids::{ServerId, ServiceName},
        time::BootTime,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time after a crash at which the server's entry expires.
const ENTRY_EXPIRY_TIME: Duration = Duration::from_millis(2_600);

/// Age up to which older copies of the entries are kept.
const COPY_MEMORY: Duration = Duration::from_secs(10);

type EntryTable = BTreeMap<ServerId, ServerEntry>;

/// Entry of another program.
#[derive(Clone, Debug)]
pub struct OddEntry {
    pub entry: ServerEntry,
    pub until: BootTime,
}

/// Entries of servers as the leaders see them.
#[derive(Debug, Default)]
pub struct ServerEntries {
    odd: Vec<OddEntry>,
    /// Entries at earlier times, oldest first, and now.
    copies: VecDeque<(BootTime, EntryTable)>,
    /// Until then, leaders see a copy of this age.
    copy: Option<(BootTime, Duration)>,
}

impl ServerEntries {
    /// Leaves an entry of another program; one under the same name is replaced.
    pub fn leave(&mut self, odd: OddEntry) {
        self.odd.retain(|known| known.entry.id != odd.entry.id);
        self.odd.push(odd);
    }

    /// Shows leaders a copy of this age until a time.
    pub fn show_copy(&mut self, until: BootTime, age: Duration) {
        self.copy = Some((until, age));
    }

    /// Removes all entries of other programs.
    pub fn end_faults(&mut self) {
        self.odd.clear();
        self.copy = None;
    }

    /// Brings the entries up to date.
    pub fn update(&mut self, servers: &[SimServer], service: &ServiceName, now: BootTime) {
        self.odd.retain(|odd| now < odd.until);
        let mut table = EntryTable::new();
        for server in servers {
            let crashed_at = server.crashed_at;
            let has_expired = crashed_at.is_some_and(|at| now.since(at) > ENTRY_EXPIRY_TIME);
            if has_expired || server.serves_until.is_some() {
                continue;
            }
            let entry = ServerEntry {
                id: server.instance.id.clone(),
                incarnation: server.instance.incarnation,
                service: service.clone(),
                address: server.instance.address,
                zone: "z".parse().expect("valid name"),
                slots: 3,
                phase: match server.draining {
                    true => ServerPhase::Draining,
                    false => ServerPhase::Ready,
                },
                warmup: Duration::ZERO,
            };
            table.insert(entry.id.clone(), entry);
        }
        for odd in &self.odd {
            table.insert(odd.entry.id.clone(), odd.entry.clone());
        }
        self.copies.push_back((now, table));
        while let Some((at, _)) = self.copies.front()
            && now.since(*at) > COPY_MEMORY
        {
            self.copies.pop_front();
        }
    }

    /// Entries as the leaders see them.
    pub fn listed(&self, now: BootTime) -> impl Iterator<Item = &ServerEntry> {
        let copy = self.copy.filter(|(until, _)| now < *until);
        let age = copy.map_or(Duration::ZERO, |(_, age)| age);
        let mut copies = self.copies.iter().rev();
        let shown = copies.find(|(at, _)| now.since(*at) >= age);
        let shown = shown.or(self.copies.front());
        shown.into_iter().flat_map(|(_, table)| table.values())
    }
}
