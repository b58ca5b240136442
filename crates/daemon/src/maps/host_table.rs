//! Liveness of the region's hosts.
//!
//! A host is live while it polls this host and answers its probes, or while a
//! relay that polls this host reports it as live. Hosts that control no scope also
//! accept the list of live hosts in their upstream's answers. Controllers do not:
//! two controllers that accepted each other's list would keep a lost host in it
//! forever. The platform's host list only supplies addresses and says nothing
//! about liveness.

use {
    super::reachability_probe::FAILED_PROBES_LIMIT,
    camphorcove_core::{
        ids::{HostId, ServiceName},
        map::MapVersion,
        time::{BootTime, MAP_TTL, POLL_MAX_WAIT, with_drift},
    },
    camphorcove_net::peer::{MapPoll, PeerAddress},
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A host that has been silent for the length of three polls is no longer live.
///
/// The host may still act on its last map; the controller waits for that map's expiry
/// separately.
const LIVENESS_TIMEOUT: Duration = POLL_MAX_WAIT.saturating_mul(3);

/// Hosts that this host knows, with the evidence of their liveness; shared between tasks.
#[derive(Debug, Default)]
pub struct HostTable {
    rows: Mutex<TableRows>,
}

#[derive(Debug, Default)]
struct TableRows {
    live: BTreeMap<HostId, LiveRow>,
    pollers: HashMap<HostId, PollerRow>,
    lists: HashMap<HostId, UpstreamList>,
    address_book: BTreeMap<HostId, PeerAddress>,
}

#[derive(Clone, Debug)]
struct LiveRow {
    address: PeerAddress,
    /// Time of the latest evidence that the host is live.
    last_seen: BootTime,
}

/// Latest list of live hosts from an upstream host.
///
/// Each answer replaces the list, so a host that the upstream removes is removed here too.
/// When the upstream stops answering, its last list stays in use until its maps have
/// expired, so that a new controller does not start with an empty list.
#[derive(Clone, Debug)]
struct UpstreamList {
    hosts: Vec<PeerAddress>,
    received_at: BootTime,
}

/// State of a host that polls this one.
#[derive(Debug)]
struct PollerRow {
    address: PeerAddress,
    relay: bool,
    last_poll: BootTime,
    /// Live hosts that the poller reported as downstream of it, if it is a relay.
    downstream: Vec<PeerAddress>,
    /// Digest that the poller sent with its downstream hosts.
    digest: u64,
    /// By scope: the oldest map version that the poller or a host downstream of it may still
    /// use, and the time of the poll that reported it.
    oldest_versions: HashMap<ServiceName, (MapVersion, BootTime)>,
    /// Number of consecutive failed probes.
    failed_probes: u32,
}

impl HostTable {
    /// Records a poll. Returns true if the poller must send its list of downstream hosts,
    /// because the known list does not match the poll's digest.
    pub fn record_poll(&self, poll: &MapPoll, now: BootTime) -> bool {
        let mut rows = self.rows();
        let id = poll.from.host.id.clone();
        let row = rows
            .pollers
            .entry(id)
            .or_insert_with(|| PollerRow::new(poll));
        let downstream_unknown = row.update(poll, now);
        let mut seen: Vec<PeerAddress> = row.downstream.clone();
        if row.is_live(now) {
            seen.push(poll.from.clone());
        }
        for address in seen {
            rows.mark_live(address, now);
        }
        downstream_unknown
    }

    /// Records the list of live hosts in an upstream host's answer.
    ///
    /// The upstream's own entry is ignored: only its answers are evidence that it is live.
    pub fn record_list(&self, upstream: &HostId, list: &[PeerAddress], now: BootTime) {
        let mut hosts = list.to_vec();
        hosts.retain(|address| address.host.id != *upstream);
        let list = UpstreamList {
            hosts,
            received_at: now,
        };
        self.rows().lists.insert(upstream.clone(), list);
    }

    /// Records that a host answered a poll from this host, which makes it live.
    pub fn record_answer(&self, from: &PeerAddress, now: BootTime) {
        self.rows().mark_live(from.clone(), now);
    }

    /// Replaces the address book, which holds the hosts of the platform's list and the settings.
    pub fn set_address_book(&self, address_book: Vec<PeerAddress>) {
        let entries = address_book
            .into_iter()
            .map(|address| (address.host.id.clone(), address));
        self.rows().address_book = entries.collect();
    }

    /// Live hosts other than this one, ordered by id. Removes expired entries first.
    pub fn live(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        rows.live_hosts().into_values().collect()
    }

    /// Live hosts and hosts of the address book, without duplicates, ordered by id.
    pub fn known(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        let mut known = rows.address_book.clone();
        known.extend(rows.live_hosts());
        known.into_values().collect()
    }

    /// Live hosts that poll this one and are not relays, ordered by id.
    pub fn downstream(&self, now: BootTime) -> Vec<PeerAddress> {
        let mut rows = self.rows();
        rows.expire(now);
        let pollers = rows.pollers.values();
        let pollers = pollers.filter(|row| !row.relay && row.is_live(now));
        let mut downstream: Vec<PeerAddress> = pollers.map(|row| row.address.clone()).collect();
        downstream.sort_by(|left, right| left.host.id.cmp(&right.host.id));
        downstream
    }

    /// All hosts that poll this one, ordered by id, including those that fail probes.
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

    /// Records the result of a probe to a host that polls this one.
    pub fn record_probe(&self, host: &HostId, answered: bool) {
        if let Some(row) = self.rows().pollers.get_mut(host) {
            row.failed_probes = match answered {
                true => 0,
                false => row.failed_probes.saturating_add(1),
            };
        }
    }

    /// Oldest version of a scope's map that a host downstream of this one may still use.
    ///
    /// Returns `None` if no host polls this one for the scope.
    pub fn oldest_version(&self, service: &ServiceName, now: BootTime) -> Option<MapVersion> {
        let mut rows = self.rows();
        rows.expire(now);
        let oldest_versions = rows
            .pollers
            .values()
            .filter_map(|row| row.oldest_versions.get(service));
        oldest_versions.map(|(version, _)| *version).min()
    }

    fn rows(&self) -> MutexGuard<'_, TableRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableRows {
    fn mark_live(&mut self, address: PeerAddress, now: BootTime) {
        let id = address.host.id.clone();
        let known = self.live.get(&id);
        let last_seen = known.map_or(now, |row| row.last_seen.max(now));
        self.live.insert(id, LiveRow { address, last_seen });
    }

    /// Hosts on the lists of upstream hosts and hosts seen directly. The address of a host
    /// that was seen directly takes precedence over a listed one.
    fn live_hosts(&self) -> BTreeMap<HostId, PeerAddress> {
        let mut lists: Vec<&UpstreamList> = self.lists.values().collect();
        lists.sort_by_key(|list| list.received_at);
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
            .retain(|_, row| now.since(row.last_seen) < LIVENESS_TIMEOUT);
        self.lists
            .retain(|_, list| now.since(list.received_at) < limit);
        self.pollers
            .retain(|_, row| now.since(row.last_poll) < limit);
        for row in self.pollers.values_mut() {
            row.oldest_versions
                .retain(|_, (_, last_poll)| now.since(*last_poll) < limit);
        }
    }
}

impl PollerRow {
    fn new(poll: &MapPoll) -> Self {
        Self {
            address: poll.from.clone(),
            relay: poll.relay,
            last_poll: BootTime::default(),
            downstream: Vec::new(),
            digest: digest(&[]),
            oldest_versions: HashMap::new(),
            failed_probes: 0,
        }
    }

    fn is_live(&self, now: BootTime) -> bool {
        self.failed_probes < FAILED_PROBES_LIMIT && now.since(self.last_poll) < LIVENESS_TIMEOUT
    }

    fn update(&mut self, poll: &MapPoll, now: BootTime) -> bool {
        self.address = poll.from.clone();
        self.relay = poll.relay;
        self.last_poll = now;
        if let Some(downstream) = &poll.downstream {
            self.downstream = downstream.clone();
            self.digest = poll.downstream_digest;
        }
        for (service, version) in &poll.held {
            self.oldest_versions
                .insert(service.clone(), (*version, now));
        }
        for (service, version) in &poll.oldest_versions {
            let oldest_version = self.oldest_versions.entry(service.clone());
            let (lowest, _) = oldest_version.or_insert((*version, now));
            *lowest = (*lowest).min(*version);
        }
        self.digest != poll.downstream_digest
    }
}

/// Digest of a list of hosts; never 0, which means that no list is held.
pub fn digest(hosts: &[PeerAddress]) -> u64 {
    let encoded = camphorcove_net::peer::encode(&hosts.to_vec());
    xxh3_64(&encoded).max(1)
}
