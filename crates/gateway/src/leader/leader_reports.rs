//! Reports to the leader, its digests, and the changes that it sends to all hosts.

use {
    super::{
        leader_actor::{CONFIRM_FAILURES, LeaderActor, Role},
        memory_check::{HostMemory, MemoryCheck},
        owner_update::OwnerUpdate,
    },
    crate::{
        peers::{
            Digest, DigestAddition, OwnerChange, PeerMessage, Report, ReportAddition, Trailing,
        },
        state::{ConfigCopy, FleetUpdate, ReportScope, SeenVersions, StoreKind, SuspectNews},
    },
    camphorcove_core::{
        fleet::EvacuationSource,
        ownership::{
            AUTHORITY_LIMIT_WITHOUT_MAJORITY, ElectorList, FRESH_REPORT_LIMIT, OwnerDelta,
            PlanInput,
        },
        time::BootTime,
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Report and digest interval per host: it grows with the number of hosts, which bounds
/// the rate of datagrams at the leader.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(4);

/// Bounds of the report and digest interval. Placement needs a few reports to detect a hot
/// key, and three digests have to fit into the timeout after which a leader counts as lost.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(125);
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// One digest out of this many lists the addresses of all hosts.
const DIGESTS_PER_PEER_LIST: u32 = 8;

/// Age of a term at which all hosts have reported to the new leader.
const HOST_COUNT_DELAY: Duration = Duration::from_millis(2_000);

/// Hosts that watch the store besides the leader. Leader and watchers rarely lose the
/// store at the same time.
const WATCHER_COUNT: usize = 2;

/// Hosts that watch the store while the leader does not reach it. The store may turn away many
/// hosts, so it takes several to find one that reaches it at once; not all hosts watch, since
/// the store may be down for all.
const WATCHER_COUNT_WITHOUT_STORE: usize = 8;

/// Digests after which other hosts become the watchers, while the leader does not reach
/// the store.
const DIGESTS_PER_WATCHER_TURN: u32 = 3;

/// Most free slots with which a server is listed in a digest. A server with more free slots
/// does not make requests wait.
const MAX_LISTED_FREE_SLOTS: u32 = 1;

impl LeaderActor {
    /// Interval of reports and digests.
    pub(super) fn report_interval(&self) -> Duration {
        let interval = REPORT_INTERVAL_PER_HOST * self.state.hosts();
        interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Reports the load of this host to the leader. The leader records its own report, checks
    /// its majority and sends a digest.
    pub(super) fn send_report(&mut self, now: BootTime) {
        self.share_suspects();
        let host = self.state.settings.host.clone();
        let leader = self.leader_address();
        let term = match &self.role {
            Role::Leader(planner) => planner.state().term,
            Role::Follower | Role::Candidate => leader.map_or(0, |(_, term)| term),
        };
        let scope = match self.reported_term.replace(term) == Some(term) {
            true => ReportScope::Changes,
            false => ReportScope::NewLeader,
        };
        let load = self.state.take_load_report(scope);
        let demand = self.state.take_demand();
        let report = Report {
            host,
            nonce: self.state.nonce,
            term,
            cpu_permille: self.state.settings.cpu_permille(),
            lacks_store: self.state.lacks_store(),
            lacks_servers: self.state.lacks_servers(),
            versions: self.state.versions(),
            config_version: self.state.config_version(),
            remembered_owners: self.state.remembered_owners(),
            load,
            addition: Trailing(ReportAddition {
                zone: Some(self.state.settings.zone.clone()),
                evacuations: self.state.evacuation_news(),
                warmups: self.state.take_warmup_reports(),
                demand,
            }),
        };
        if matches!(self.role, Role::Leader(_)) {
            let own = self.state.settings.peers;
            self.handle_report(report, own, now);
            self.check_majority(now);
            self.send_digests(now);
            return;
        }
        if let Some((address, _)) = leader {
            let message = PeerMessage::Report(report);
            self.link.send(&self.state, address, &message);
            self.send_unknown_configuration(address);
        }
    }

    /// Sends a configuration that no digest has shown yet to a leader which does not reach the store,
    /// so that it sends it to all hosts.
    fn send_unknown_configuration(&self, leader: SocketAddr) {
        if self.leader_without_store.is_none() {
            return;
        }
        let known = self.state.peer_version(StoreKind::Config);
        if let Some(copy) = self.state.config_copy_after(known) {
            let message = PeerMessage::Config(ConfigCopy::clone(&copy));
            self.link.send(&self.state, leader, &message);
        }
    }

    /// Address and term of the latest leader known from the store or from its digests.
    pub(super) fn leader_address(&self) -> Option<(SocketAddr, u64)> {
        let stored = self.state.owners();
        let stored = stored.and_then(|(owners, _)| {
            let leader = owners.leader.as_ref()?;
            Some((leader.address, owners.term))
        });
        let latest = [stored, self.last_digest_sender].into_iter().flatten();
        latest.max_by_key(|(_, term)| *term)
    }

    /// Sends to all hosts what has changed in the assignment since the last call.
    pub(super) fn announce(&mut self) {
        let Some((owners, version)) = self.state.owners() else {
            return;
        };
        let last_announced = self.announced.replace((owners.clone(), version));
        let Some((old, from)) = last_announced else {
            return;
        };
        let change = OwnerChange {
            from,
            to: version,
            delta: OwnerDelta::between(&old, &owners),
        };
        let electors = (old.electors != owners.electors).then(|| owners.electors.clone());
        let update = OwnerUpdate { change, electors };
        let message = update.message();
        self.owner_log.push(update);
        self.link
            .send_all(&self.state, &self.peer_addresses(), &message);
    }

    /// Sends this host's news of suspected requests to all hosts.
    pub(super) fn share_suspects(&self) {
        if let Some(news) = self.state.take_suspect_news() {
            self.send_suspects(news);
        }
    }

    fn send_suspects(&self, news: SuspectNews) {
        let mut addresses = self.peer_addresses();
        if let Some((leader, _)) = self.leader_address() {
            addresses.insert(leader);
        }
        addresses.remove(&self.state.settings.peers);
        let message = PeerMessage::Suspects(news);
        self.link.send_all(&self.state, &addresses, &message);
    }

    /// Sends new fleet updates to all hosts.
    pub(super) fn send_fleet_updates(&mut self) {
        for update in self.state.fleet_updates(self.fleet_version_sent) {
            self.fleet_version_sent = update.to;
            let message = PeerMessage::Fleet(FleetUpdate::clone(&update));
            self.link
                .send_all(&self.state, &self.peer_addresses(), &message);
        }
    }

    /// Sends a new configuration to all hosts, so that they need not read it from the store. One
    /// that does not fit into a datagram is not sent; the hosts read it then.
    pub(super) fn send_config_copy(&mut self) {
        if let Some(copy) = self.state.config_copy_after(self.config_version_sent) {
            self.config_version_sent = copy.version;
            let message = PeerMessage::Config(ConfigCopy::clone(&copy));
            self.link
                .send_all(&self.state, &self.peer_addresses(), &message);
        }
    }

    /// Sends the configuration to a host that has read all of the store's changes and has an older
    /// one in force: the store has lost the newer one, and the host has started since.
    fn resend_lost_configuration(&self, report: &Report, to: SocketAddr) {
        let seen = report.versions.get(StoreKind::Config);
        if seen < self.state.versions().get(StoreKind::Config) {
            return;
        }
        let copy = self.state.config_copy();
        if let Some(copy) = copy.filter(|copy| copy.config_version > report.config_version) {
            let message = PeerMessage::Config(ConfigCopy::clone(&copy));
            self.link.send(&self.state, to, &message);
        }
    }

    /// Resends the changes after `versions` to a host that missed them.
    pub(super) fn resend_missed(&self, versions: &SeenVersions, to: SocketAddr) {
        for update in self.state.fleet_updates(versions.get(StoreKind::Fleet)) {
            let message = PeerMessage::Fleet(FleetUpdate::clone(&update));
            self.link.send(&self.state, to, &message);
        }
        let config_version = versions.get(StoreKind::Config);
        if let Some(copy) = self.state.config_copy_after(config_version) {
            let message = PeerMessage::Config(ConfigCopy::clone(&copy));
            self.link.send(&self.state, to, &message);
        }
        for change in self.owner_log.since(versions.get(StoreKind::Owners)) {
            self.link.send(&self.state, to, &change.message());
        }
    }

    /// Applies a change that the leader has sent.
    pub(super) fn apply_owner_change(
        &mut self,
        change: &OwnerChange,
        electors: Option<ElectorList>,
    ) {
        let Some((known, version)) = self.state.owners() else {
            return;
        };
        // A host with another version skips the change. The digests show it the newest one, and it
        // reads the store.
        if version != change.from {
            return;
        }
        let Some(mut state) = change.delta.apply(&known) else {
            log::warn!(from:% = change.from, to:% = change.to; "cannot apply change of the assignment");
            return;
        };
        if let Some(electors) = electors {
            state.electors = electors;
        }
        if self.state.set_owners(state, change.to) {
            self.state.record_version(StoreKind::Owners, change.to);
            self.update_role(self.state.now());
        }
    }

    /// Addresses of all other known hosts.
    pub(super) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let reporting = self.hosts.addresses();
        let mut addresses: BTreeSet<_> = self.peers.iter().copied().chain(reporting).collect();
        addresses.remove(&self.state.settings.peers);
        addresses
    }

    /// Records a report, if this host leads.
    pub(super) fn handle_report(&mut self, report: Report, from: SocketAddr, now: BootTime) {
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        self.versions.merge(&report.versions);
        if let Some(list) = report.addition.0.evacuations.clone() {
            let source = EvacuationSource::Snapshot;
            self.state.apply_evacuations(list, source);
        }
        // A report for another term does not show that its host follows this leader.
        if report.term != planner.state().term {
            return;
        }
        let zone = report.addition.0.zone.as_ref();
        for (service, keys) in &report.load.keys {
            for counted in keys {
                planner.record_requests(service, zone, *counted, now);
            }
        }
        let memory = self
            .unverified
            .as_mut()
            .map(|check| check.record_report(&report));
        if memory == Some(HostMemory::Later) {
            self.unverified = None;
            log::warn!(host = report.host.as_str(); "host remembers a later assignment, taking all keys from their owners");
            planner.handle_input(PlanInput::AssignmentLacksWrites, now);
        }
        for limit in &report.load.limits {
            self.limits.record_report(limit, now);
        }
        for warmup in &report.addition.0.warmups {
            self.warmups.record_report(warmup);
        }
        self.state.record_leaving_servers(&report.load.leaving);
        if let Some(end) = self.predecessors.record_report(&report.host, from, now) {
            log::info!(host = report.host.as_str(); "previous leader has stopped acting");
            planner.handle_input(PlanInput::PredecessorEnds(end), now);
        }
        let own = report.host == self.state.settings.host;
        if !own {
            self.resend_lost_configuration(&report, from);
        }
        self.zone_planning.record_report(&report, now);
        self.hosts.record_report(&report, from, own, now);
    }

    /// Tells the planner which hosts report to this leader, and when the authority of earlier leaders ends
    /// because of that.
    pub(super) fn check_majority(&mut self, now: BootTime) {
        let limit = FRESH_REPORT_LIMIT.min(self.report_interval() * 2);
        let reporting = self.hosts.fresh_ids(limit, now);
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        let electors = planner.state().electors.len();
        let needs_majority = planner.confirmed_age(now) >= AUTHORITY_LIMIT_WITHOUT_MAJORITY
            && planner.is_supported_by(&reporting);
        if needs_majority && !self.majority_needed {
            log::info!(term = planner.state().term, reporting = reporting.len(), electors; "acting without the store, as most electors report");
        }
        self.majority_needed = needs_majority;
        // The last digest of the previous leader lists the hosts that it knew.
        let known_hosts = electors.max(self.peers.len());
        let count = reporting.len();
        let is_passed =
            |check: &MemoryCheck| known_hosts > 0 && check.is_passed(count, known_hosts);
        let verified = self.unverified.as_ref().is_some_and(is_passed);
        if verified {
            self.unverified = None;
            log::info!(reporting = count, known_hosts; "no host remembers a later assignment");
            planner.handle_input(PlanInput::AssignmentVerified, now);
        }
        if let Some(end) = self.predecessors.check(&reporting, verified, now) {
            let electors = self.predecessors.electors().len();
            log::info!(reporting = count, electors, verified; "earlier leaders have lost their support");
            planner.handle_input(PlanInput::PredecessorEnds(end), now);
        }
        planner.handle_input(PlanInput::Reports(reporting), now);
    }

    /// Makes the hosts that report the electors for the next write, once no earlier leader counts the
    /// present ones. Is called while the store is reachable.
    pub(super) fn choose_electors(&mut self, now: BootTime) {
        if !self.predecessors.has_ended() || self.complete_host_count(now).is_none() {
            return;
        }
        if let Role::Leader(planner) = &mut self.role {
            planner.handle_input(PlanInput::Electors(self.hosts.ids().collect()), now);
        }
    }

    /// Sends a digest of the reports to all hosts. It lists only busy servers.
    pub(super) fn send_digests(&mut self, now: BootTime) {
        self.hosts.expire(now);
        let Role::Leader(planner) = &self.role else {
            return;
        };
        let term = planner.state().term;
        let mut servers: Vec<_> = self.hosts.in_flight_totals().into_iter().collect();
        let hosts = self.complete_host_count(now);
        let limits = self.limits.update(now);
        self.state.set_shared_limits(&limits);
        let warmups = self.warmups.update(self.state.warmup_shares(), now);
        self.state.set_warmup_shares(&warmups);
        let mut key_shares = planner.key_shares(&self.capacity());
        let table = self.state.table();
        key_shares.retain(|share| {
            let table = table.as_ref();
            table.is_some_and(|table| table.uses_ranks(&share.service))
        });
        self.state.set_key_shares(&key_shares);
        self.state.set_remote_load(hosts, &servers);
        let slots = self.state.slots_by_hash();
        servers.retain(|(server, total)| {
            let slots = slots.get(server).copied().unwrap_or_default();
            total + MAX_LISTED_FREE_SLOTS >= slots
        });
        let lists_peers = self.digests_sent.is_multiple_of(DIGESTS_PER_PEER_LIST);
        self.digests_sent = self.digests_sent.wrapping_add(1);
        if lists_peers {
            // A new leader knows the hosts from its predecessor's digests until they report to it.
            if hosts.is_some() {
                self.peers = self.hosts.addresses().collect();
            }
            if let Some(known) = self.state.known_suspects() {
                self.send_suspects(known);
            }
        }
        let transfers = self.plan_transfers(now);
        let has_store = self.confirm_failures < CONFIRM_FAILURES && !self.state.lacks_store();
        let watchers = self.watchers(has_store, now);
        let digest = Digest {
            nonce: self.state.nonce,
            term,
            has_store,
            largest_cpu: self.hosts.largest_cpu_permille(),
            hosts,
            versions: self.versions,
            watchers,
            servers,
            limits,
            leaving: self.state.leaving_list(),
            without_servers: self.hosts.without_servers(),
            peers: match lists_peers {
                true => self.peers.clone(),
                false => Vec::new(),
            },
            addition: Trailing(DigestAddition {
                evacuations: self.state.digest_evacuations(),
                warmups,
                key_shares,
                transfers,
            }),
        };
        self.state
            .set_relay_peers(&digest.peers, &digest.without_servers);
        let message = PeerMessage::Digest(digest);
        self.link
            .send_all(&self.state, &self.peer_addresses(), &message);
    }

    /// Hosts that are to watch the store besides this one. While this host does not reach
    /// the store, the watchers rotate until one of them reaches it and takes over.
    pub(super) fn watchers(&mut self, has_store: bool, now: BootTime) -> Vec<SocketAddr> {
        let own = &self.state.settings.host;
        if has_store {
            self.digests_at_store_loss = self.digests_sent;
            return self.hosts.watchers(own, WATCHER_COUNT, 0, now);
        }
        // The rotation starts with the largest hosts, which are the regular watchers.
        let turn =
            self.digests_sent.wrapping_sub(self.digests_at_store_loss) / DIGESTS_PER_WATCHER_TURN;
        let turn = usize::try_from(turn).unwrap_or(0);
        let count = WATCHER_COUNT_WITHOUT_STORE;
        self.hosts.watchers(own, count, turn * count, now)
    }

    /// Number of hosts that share limits; `None` until all hosts had time to report to a
    /// new leader.
    pub(super) fn complete_host_count(&self, now: BootTime) -> Option<u32> {
        let count = u32::try_from(self.hosts.count()).unwrap_or(u32::MAX);
        (now.since(self.term_started_at) >= HOST_COUNT_DELAY).then_some(count)
    }
}
