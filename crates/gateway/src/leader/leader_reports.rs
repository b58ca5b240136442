//! What the leader and the other hosts tell each other.

use {
    super::leader_actor::{CONFIRM_FAILURES, LeaderActor, Role},
    crate::{
        peers::{Digest, OwnerChange, PeerMessage, Report},
        state::{FleetUpdate, SeenRevisions, StoreKind},
    },
    camphorcove_core::{
        ownership::{
            AUTHORITY_LIMIT, AUTHORITY_LIMIT_WITHOUT_MAJORITY, LeaderRecord,
            MAJORITY_REPORT_MAX_AGE, ORDER_TIMEOUT, OwnerDelta, PlanInput,
        },
        time::BootTime,
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Interval of reports and digests for each host: bounds the leader's datagrams.
const REPORT_PER_HOST: Duration = Duration::from_millis(4);

/// Shortest and longest such interval. Placement sees a hot key within some reports, and
/// three digests fit into the time after which a leader counts as lost.
const REPORT_LEAST: Duration = Duration::from_millis(125);
const REPORT_MOST: Duration = Duration::from_millis(250);

/// Digests between two that list the hosts.
const PEERS_EVERY: u32 = 8;

/// Time of a term after which all hosts have reported to the new leader.
const COUNT_TIME: Duration = Duration::from_millis(2_000);

/// Hosts that watch the store besides the leader: all of them rarely lose it together.
const WATCHERS: usize = 2;

/// Digests after which others watch, while the leader lacks the store.
const WATCHER_TURN: u32 = 8;

/// Free slots of a server up to which hosts are told its load. With more, a request
/// does not wait there.
const SPARE_SLOTS: u32 = 1;

impl LeaderActor {
    pub(super) fn report_interval(&self) -> Duration {
        let interval = REPORT_PER_HOST * self.state.hosts();
        interval.clamp(REPORT_LEAST, REPORT_MOST)
    }

    pub(super) fn report(&mut self, now: BootTime) {
        let load = self.state.take_load_report();
        let host = self.state.settings.host.clone();
        let leader = self.leader_address();
        let term = match &self.role {
            Role::Leader(planner) => planner.state().term,
            Role::Follower | Role::Candidate => leader.map_or(0, |(_, term)| term),
        };
        let report = Report {
            host,
            nonce: self.state.nonce,
            term,
            cpu_permille: self.state.settings.cpu_permille(),
            revisions: self.state.revisions(),
            load,
        };
        if matches!(self.role, Role::Leader(_)) {
            let own = self.state.settings.peers;
            self.take_report(report, own, now);
            self.count_majority(now);
            self.send_digests(now);
            return;
        }
        if let Some((address, _)) = leader {
            let message = PeerMessage::Report(report);
            self.link.send(&self.state, address, &message);
        }
    }

    /// Address and term of the latest leader known from the store or from its digests.
    pub(super) fn leader_address(&self) -> Option<(SocketAddr, u64)> {
        let stored = self.state.owners();
        let stored = stored.and_then(|(owners, _)| {
            let leader = owners.leader.as_ref()?;
            Some((leader.address, owners.term))
        });
        let latest = [stored, self.leader_at].into_iter().flatten();
        latest.max_by_key(|(_, term)| *term)
    }

    /// Sends what changed in the assignment since the last time to all hosts.
    pub(super) fn announce(&mut self) {
        let Some((owners, revision)) = self.state.owners() else {
            return;
        };
        let before = self.announced.replace((owners.clone(), revision));
        let Some((old, from)) = before else {
            return;
        };
        let change = OwnerChange {
            from,
            to: revision,
            delta: OwnerDelta::between(&old, &owners),
        };
        self.owner_log.push(change.clone());
        let message = PeerMessage::Owners(change);
        self.link
            .send_all(&self.state, &self.peer_addresses(), &message);
    }

    /// Sends new changes of servers to all hosts.
    pub(super) fn pass_on_fleet(&mut self) {
        for update in self.state.fleet_updates(self.fleet_sent) {
            self.fleet_sent = update.to;
            let message = PeerMessage::Fleet(FleetUpdate::clone(&update));
            self.link
                .send_all(&self.state, &self.peer_addresses(), &message);
        }
    }

    /// Sends a host again what it missed.
    pub(super) fn send_missed(&self, revisions: &SeenRevisions, to: SocketAddr) {
        for update in self.state.fleet_updates(revisions.get(StoreKind::Fleet)) {
            let message = PeerMessage::Fleet(FleetUpdate::clone(&update));
            self.link.send(&self.state, to, &message);
        }
        for change in self.owner_log.since(revisions.get(StoreKind::Owners)) {
            let message = PeerMessage::Owners(OwnerChange::clone(&change));
            self.link.send(&self.state, to, &message);
        }
    }

    pub(super) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let reporting = self.hosts.addresses();
        let mut addresses: BTreeSet<_> = self.peers.iter().copied().chain(reporting).collect();
        addresses.remove(&self.state.settings.peers);
        addresses
    }

    pub(super) fn take_report(&mut self, report: Report, from: SocketAddr, now: BootTime) {
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        self.revisions.merge(&report.revisions);
        // A report that was meant for another term tells nothing of who follows whom now.
        if report.term != planner.state().term {
            return;
        }
        for (service, keys) in &report.load.keys {
            for (key, requests) in keys {
                planner.record_requests(service, *key, *requests, now);
            }
        }
        // A leader does not report: this one has been started anew or has stepped down.
        let predecessor =
            |before: &LeaderRecord| before.host == report.host && before.address == from;
        if self.before.as_ref().is_some_and(predecessor) {
            log::info!(host = report.host.as_str(); "the leader before acts no longer");
            self.before = None;
            planner.handle_input(PlanInput::PredecessorEnds(now + ORDER_TIMEOUT), now);
        }
        let own = report.host == self.state.settings.host;
        self.hosts.take(&report, from, own, now);
    }

    /// Tells the plan whether most hosts report to this leader.
    pub(super) fn count_majority(&mut self, now: BootTime) {
        let limit = self.report_interval() * 2;
        let reporting = self.hosts.fresh_count(limit, now);
        let base = self.quorum_base;
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        if now.since(self.term_began) >= AUTHORITY_LIMIT {
            self.before = None;
        }
        if base == 0 || reporting * 2 <= base {
            return;
        }
        planner.handle_input(PlanInput::MajorityReports, now);
        // Most hosts have left the leader before, so it acts on its own at most.
        if self.before.take().is_some() {
            let alone = self.term_began + AUTHORITY_LIMIT_WITHOUT_MAJORITY;
            // The leader before may have counted their last reports until now.
            let supported = now + MAJORITY_REPORT_MAX_AGE + REPORT_MOST * 2;
            let end = alone.max(supported) + ORDER_TIMEOUT;
            log::info!(reporting, base; "most hosts have left the leader before");
            planner.handle_input(PlanInput::PredecessorEnds(end), now);
        }
    }

    pub(super) fn send_digests(&mut self, now: BootTime) {
        self.hosts.expire(now);
        let Role::Leader(planner) = &self.role else {
            return;
        };
        let term = planner.state().term;
        let mut servers: Vec<_> = self.hosts.totals().into_iter().collect();
        let hosts = self.counted_hosts(now);
        self.state.set_remote_load(hosts, &servers);
        let slots = self.state.slots_by_hash();
        servers.retain(|(server, total)| {
            let slots = slots.get(server).copied().unwrap_or_default();
            total + SPARE_SLOTS >= slots
        });
        let listed = self.digests.is_multiple_of(PEERS_EVERY);
        self.digests = self.digests.wrapping_add(1);
        if listed {
            self.peers = self.hosts.addresses().collect();
        }
        let has_store = self.confirm_failures < CONFIRM_FAILURES;
        let watchers = self.watchers(has_store);
        let digest = Digest {
            nonce: self.state.nonce,
            term,
            has_store,
            largest_cpu: self.hosts.largest(),
            hosts,
            revisions: self.revisions,
            watchers,
            servers,
            peers: match listed {
                true => self.peers.clone(),
                false => Vec::new(),
            },
        };
        let message = PeerMessage::Digest(digest);
        self.link
            .send_all(&self.state, &self.peer_addresses(), &message);
    }

    /// Hosts that are to watch the store besides this one. Without the store, they take
    /// turns, until one reaches it and takes over.
    pub(super) fn watchers(&mut self, has_store: bool) -> Vec<SocketAddr> {
        if has_store {
            self.store_lost_at = self.digests;
        }
        // The largest hosts, which watch anyway, are the first to try.
        let turn = self.digests.wrapping_sub(self.store_lost_at) / WATCHER_TURN;
        let turn = usize::try_from(turn).unwrap_or(0);
        let own = &self.state.settings.host;
        self.hosts.watchers(own, WATCHERS, turn * WATCHERS)
    }

    /// Hosts that share limits; nothing while a new leader has not heard all of them.
    pub(super) fn counted_hosts(&self, now: BootTime) -> Option<u32> {
        let count = u32::try_from(self.hosts.count()).unwrap_or(u32::MAX);
        (now.since(self.term_began) >= COUNT_TIME).then_some(count)
    }
}
