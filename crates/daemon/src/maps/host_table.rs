//! Live hosts of the region, by evidence.
//!
//! A host is live while it polls this host and answers its probes, or while a
//! relay that polls this host says so of it. Hosts that control no scope also
//! believe the list in their upstream's answers. Controllers do not: two
//! controllers that believed each other's list would keep a lost host in it for
//! ever. The platform's list only supplies addresses to ask.

use {
    super::reach_probe::FAILED_PROBES,
    camphorcove_core::{
        ids::{HostId, ServiceName},
        map::MapVersion,
        time::{BootTime, MAP_TTL, POLL_HOLD, with_drift},
    },
    camphorcove_net::peer::{MapPoll, PeerAddress},
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A host that was silent for three polls is no longer live.
///
/// What the host may still do under its last map is waited out separately.
const SILENCE_LIMIT: Duration = POLL_HOLD.saturating_mul(3);

/// Live hosts, shared by the tasks of this host.
#[derive(Debug, Default)]
pub struct HostTable {
    rows: Mutex<TableRows>,
}

#[derive(Debug, Default)]
struct TableRows {
    live: BTreeMap<HostId, LiveRow>,
    pollers: HashMap<HostId, PollerRow>,
    lists: HashMap<HostId, UpstreamList>,
    book: BTreeMap<HostId, PeerAddress>,
}

#[derive(Clone, Debug)]
struct LiveRow {
    address: PeerAddress,
    seen: BootTime,
}

/// Live hosts as an upstream host listed them last.
///
/// A host leaves the list as soon as the upstream drops it. When the upstream
/// itself falls silent, its last list is used until its maps have lapsed, so that
/// a new controller does not start without any hosts.
#[derive(Clone, Debug)]
struct UpstreamList {
    hosts: Vec<PeerAddress>,
    received: BootTime,
}

/// What a host that polls this one has told.
#[derive(Debug)]
struct PollerRow {
    address: PeerAddress,
    relay: bool,
    answered: BootTime,
    downstream: Vec<PeerAddress>,
    digest: u64,
    floors: HashMap<ServiceName, (MapVersion, BootTime)>,
    failed_probes: u32,
}

impl HostTable {
    /// Records a poll; true if the poller's downstream hosts are not known.
    pub fn note_poll(&self, poll: &MapPoll, now: BootTime) -> bool {
        let mut rows = self.rows();
        let id = poll.from.host.id.clone();
        let row = rows
            .pollers
            .entry(id)
            .or_insert_with(|| PollerRow::new(poll));
        let lacking = row.note(poll, now);
        let mut seen: Vec<PeerAddress> = row.downstream.clone();
        if row.is_live(now) {
            seen.push(poll.from.clone());
        }
        for address in seen {
            rows.see(address, now);
        }
        lacking
    }

    /// Records the live hosts that an upstream host lists now.
    ///
    /// Of the upstream host itself the answer is the only evidence.
    pub fn note_list(&self, upstream: &HostId, list: &[PeerAddress], now: BootTime) {
        let mut hosts = list.to_vec();
        hosts.retain(|address| address.host.id != *upstream);
        let list = UpstreamList {
            hosts,
            received: now,
        };
        self.rows().lists.insert(upstream.clone(), list);
    }

    /// Records that a host answered a poll of this host.
    pub fn note_answer(&self, from: &PeerAddress, now: BootTime) {
        self.rows().see(from.clone(), now);
    }

    /// Replaces the addresses that the platform's list and the settings supply.
    pub fn set_book(&self, book: Vec<PeerAddress>) {
        let entries = book
            .into_iter()
            .map(|address| (address.host.id.clone(), address));
        self.rows().book = entries.collect();
    }

    /// Live hosts without this one, by id. Forgets hosts that were silent for too long.
    pub fn live(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        rows.live_hosts().into_values().collect()
    }

    /// Live hosts and hosts of the address book, without duplicates.
    pub fn known(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        let mut known = rows.book.clone();
        known.extend(rows.live_hosts());
        known.into_values().collect()
    }

    /// Hosts other than relays that poll this host.
    pub fn downstream(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        let pollers = rows.pollers.values();
        let pollers = pollers.filter(|row| !row.relay && row.is_live(now));
        let mut downstream: Vec<PeerAddress> = pollers.map(|row| row.address.clone()).collect();
        downstream.sort_by(|left, right| left.host.id.cmp(&right.host.id));
        downstream
    }

    /// Hosts that poll this one, by id.
    pub fn pollers(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        let mut pollers: Vec<PeerAddress> = rows
            .pollers
            .values()
            .map(|row| row.address.clone())
            .collect();
        pollers.sort_by(|left, right| left.host.id.cmp(&right.host.id));
        pollers
    }

    /// Records whether a host that polls this one answered a probe.
    pub fn note_probe(&self, host: &HostId, answered: bool) {
        if let Some(row) = self.rows().pollers.get_mut(host) {
            row.failed_probes = match answered {
                true => 0,
                false => row.failed_probes.saturating_add(1),
            };
        }
    }

    /// Oldest version of a scope's map that a host behind this one may still use.
    ///
    /// `None` if no host polls this one for the scope.
    pub fn floor(&self, service: &ServiceName, now: BootTime) -> Option<MapVersion> {
        let mut rows = self.rows();
        rows.expire(now);
        let floors = rows
            .pollers
            .values()
            .filter_map(|row| row.floors.get(service));
        floors.map(|(version, _)| *version).min()
    }

    fn rows(&self) -> MutexGuard<'_, TableRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableRows {
    fn see(&mut self, address: PeerAddress, now: BootTime) {
        let id = address.host.id.clone();
        let known = self.live.get(&id);
        let seen = known.map_or(now, |row| row.seen.max(now));
        self.live.insert(id, LiveRow { address, seen });
    }

    /// Hosts on upstream hosts' lists and, with better evidence, hosts seen directly.
    fn live_hosts(&self) -> BTreeMap<HostId, PeerAddress> {
        let mut lists: Vec<&UpstreamList> = self.lists.values().collect();
        lists.sort_by_key(|list| list.received);
        let listed = lists.into_iter().flat_map(|list| &list.hosts);
        let seen = self.live.values().map(|row| &row.address);
        listed
            .chain(seen)
            .map(|address| (address.host.id.clone(), address.clone()))
            .collect()
    }

    fn expire(&mut self, now: BootTime) {
        let limit = with_drift(MAP_TTL);
        self.live
            .retain(|_, row| now.since(row.seen) < SILENCE_LIMIT);
        self.lists
            .retain(|_, list| now.since(list.received) < limit);
        self.pollers
            .retain(|_, row| now.since(row.answered) < limit);
        for row in self.pollers.values_mut() {
            row.floors
                .retain(|_, (_, answered)| now.since(*answered) < limit);
        }
    }
}

impl PollerRow {
    fn new(poll: &MapPoll) -> Self {
        Self {
            address: poll.from.clone(),
            relay: poll.relay,
            answered: BootTime::default(),
            downstream: Vec::new(),
            digest: digest(&[]),
            floors: HashMap::new(),
            failed_probes: 0,
        }
    }

    fn is_live(&self, now: BootTime) -> bool {
        self.failed_probes < FAILED_PROBES && now.since(self.answered) < SILENCE_LIMIT
    }

    fn note(&mut self, poll: &MapPoll, now: BootTime) -> bool {
        self.address = poll.from.clone();
        self.relay = poll.relay;
        self.answered = now;
        if let Some(downstream) = &poll.downstream {
            self.downstream = downstream.clone();
            self.digest = poll.downstream_digest;
        }
        for (service, version) in &poll.held {
            self.floors.insert(service.clone(), (*version, now));
        }
        for (service, version) in &poll.floors {
            let floor = self.floors.entry(service.clone());
            let (lowest, _) = floor.or_insert((*version, now));
            *lowest = (*lowest).min(*version);
        }
        self.digest != poll.downstream_digest
    }
}

/// Digest of a list of hosts; never 0, which stands for no list.
pub fn digest(hosts: &[PeerAddress]) -> u64 {
    let encoded = camphorcove_net::peer::encode(&hosts.to_vec());
    xxh3_64(&encoded).max(1)
}
