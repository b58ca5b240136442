//! Model of hosts, leaders and the store in virtual time: which hosts report to which leader, who takes
//! over, and which electors are written. Planner, watch and lists are those of the product; servers and keys are left out.
//!
//! After each step, no leader may have authority at a time at which a later leader takes it for ended.

use {
    super::model_leader::{ModelLeader, PendingWrite},
    camphorcove_core::{
        fleet::{EvacuationTable, FleetView},
        ids::HostId,
        ownership::{
            AUTHORITY_LIMIT, ElectorSource, LeaderRecord, LeaseBounds, ORDER_TIMEOUT, OwnerState,
            OwnershipPlanner, PlanAction, PlanContext, PlanInput, Predecessor, PredecessorWatch,
        },
        time::{BootTime, with_drift},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, collections::HashMap, net::SocketAddr, time::Duration},
};

/// Virtual time that one step takes.
const STEP: Duration = Duration::from_millis(25);

/// Longest time that a datagram takes.
const LONGEST_DELAY: Duration = Duration::from_millis(20);

/// Share of the datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.03;

/// Share of the writes whose answer is lost.
const ANSWER_LOSS: f64 = 0.2;

/// Pause before a write without an answer is sent again.
const WRITE_RETRY: Duration = Duration::from_millis(400);

/// Interval at which a leader asks the store to confirm its leadership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without a digest after which a host takes over, and the longest random addition to it.
const LEADER_TIMEOUT_MS: u64 = 800;
const TAKEOVER_SPREAD_MS: u64 = 600;

/// Most hosts of a run at the begin; others are added.
const MOST_HOSTS: usize = 20;

struct ModelHost {
    id: HostId,
    address: SocketAddr,
    nonce: u64,
    /// No process runs until then.
    dark_until: BootTime,
    /// Neither the store nor other hosts are reached until then.
    isolated_until: BootTime,
    /// When the host is isolated, and for how long.
    cut_at: Option<(BootTime, Duration)>,
    /// The store is not reached until then.
    storeless_until: BootTime,
    /// Whether the process has read the assignment, which holds the key for datagrams.
    has_read: bool,
    /// Latest known term and its leader.
    known: Option<(u64, usize)>,
    contact_at: BootTime,
    timeout: Duration,
    reports_at: BootTime,
    leader: Option<Box<ModelLeader>>,
}

#[derive(Clone, Copy)]
enum Datagram {
    Report { term: u64 },
    Digest { term: u64 },
}

struct DatagramInFlight {
    from: usize,
    to: usize,
    arrives_at: BootTime,
    content: Datagram,
}

/// Hosts, their leaders and the store.
pub struct LeaderModel {
    now: BootTime,
    random: ChaCha8Rng,
    hosts: Vec<ModelHost>,
    datagrams: Vec<DatagramInFlight>,
    store: Option<(OwnerState, u64)>,
    store_down_until: BootTime,
    /// Hosts of odd and even numbers do not reach each other until then.
    split_until: BootTime,
    /// For how long the next leader is isolated that has sent a write.
    cut_after_write: Option<Duration>,
    report_interval: Duration,
    next_nonce: u64,
    /// Pairs of leaders that could both act, and the faults before.
    pub violations: Vec<String>,
    trace: Vec<String>,
    /// Terms that have begun.
    pub terms: u64,
    /// Times at which a leader counted on other hosts' reports, without the store.
    pub supported_steps: u64,
}

impl LeaderModel {
    pub fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(2..=MOST_HOSTS);
        let interval = random.random_range(125..=250);
        let mut model = Self {
            now: BootTime::from_millis(100_000),
            random,
            hosts: Vec::new(),
            datagrams: Vec::new(),
            store: None,
            store_down_until: BootTime::default(),
            split_until: BootTime::default(),
            cut_after_write: None,
            report_interval: Duration::from_millis(interval),
            next_nonce: 1,
            violations: Vec::new(),
            trace: Vec::new(),
            terms: 0,
            supported_steps: 0,
        };
        for _ in 0..count {
            model.add_host();
        }
        model
    }

    /// Plays faults for `span`, after some calm time.
    pub fn play(&mut self, span: Duration) {
        let calm_time = self.random.random_range(500..6_000);
        self.run(Duration::from_millis(calm_time));
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            self.inject_fault();
            let pause = match self.random.random_range(0..3) {
                0 => 50,
                1 => 500,
                _ => 4_000,
            };
            let pause = self.random.random_range(0..pause);
            self.run(Duration::from_millis(pause));
        }
        self.run(Duration::from_secs(16));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            self.step();
        }
    }

    fn add_host(&mut self) {
        let number = self.hosts.len();
        let host = ModelHost {
            id: format!("h-{number}").parse().expect("valid id"),
            address: ([127, 0, 0, 1], 6_000 + u16::try_from(number).unwrap_or(0)).into(),
            nonce: 0,
            dark_until: self.now,
            isolated_until: BootTime::default(),
            cut_at: None,
            storeless_until: BootTime::default(),
            has_read: false,
            known: None,
            contact_at: self.now,
            timeout: Duration::ZERO,
            reports_at: self.now,
            leader: None,
        };
        self.hosts.push(host);
        self.restart(number, Duration::ZERO);
    }

    /// Ends the process of a host; a new one starts after `pause`.
    fn restart(&mut self, at: usize, pause: Duration) {
        self.next_nonce += 1;
        let timeout = LEADER_TIMEOUT_MS + self.random.random_range(0..TAKEOVER_SPREAD_MS);
        let host = &mut self.hosts[at];
        host.nonce = self.next_nonce;
        host.dark_until = self.now + pause;
        host.has_read = false;
        host.known = None;
        host.contact_at = host.dark_until;
        host.timeout = Duration::from_millis(timeout);
        host.leader = None;
    }

    /// Latest leader.
    fn leading_host(&self) -> Option<usize> {
        let term = |host: &ModelHost| {
            let leader = host.leader.as_ref();
            leader.map(|leader| leader.planner.state().term)
        };
        let leading = (0..self.hosts.len()).filter(|at| self.hosts[*at].leader.is_some());
        leading.max_by_key(|at| term(&self.hosts[*at]))
    }

    fn inject_fault(&mut self) {
        let count = self.hosts.len();
        let leading = self.leading_host().unwrap_or(0);
        let span = Duration::from_millis(self.random.random_range(100..13_000));
        let until = self.now + span;
        let share = self.random.random::<f64>();
        let fault = self.random.random_range(0..13);
        self.trace.push(format!(
            "{}: fault {fault}, share {share:.2}, leader h-{leading}, for {span:?}",
            self.now
        ));
        match fault {
            // Many hosts lose power, the leader or not.
            0..=2 => {
                let spared = (fault > 0).then_some(leading);
                let pause = Duration::from_millis(self.random.random_range(200..6_000));
                for at in 0..count {
                    if spared != Some(at) && self.random.random::<f64>() < share {
                        self.restart(at, pause);
                    }
                }
            }
            3 | 4 => self.hosts[leading].isolated_until = until,
            5 => {
                for at in 0..count {
                    if self.random.random::<f64>() < share / 2.0 {
                        self.hosts[at].isolated_until = until;
                    }
                }
            }
            6 => self.hosts[leading].storeless_until = until,
            7 => self.store_down_until = until,
            8 => self.split_until = until,
            9 | 10 => self.cut_after_write = Some(span),
            11 if count < MOST_HOSTS * 2 => {
                for _ in 0..self.random.random_range(1..=count) {
                    self.add_host();
                }
            }
            _ => {
                let pause = Duration::from_millis(self.random.random_range(200..3_000));
                self.restart(leading, pause);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.hosts.len() {
            if self.now < self.hosts[at].dark_until {
                continue;
            }
            if let Some((cut_at, span)) = self.hosts[at].cut_at
                && self.now >= cut_at
            {
                self.hosts[at].cut_at = None;
                self.hosts[at].isolated_until = self.now + span;
            }
            self.run_leader(at);
            self.follow(at);
        }
        self.check_authority();
    }

    fn reaches_store(&self, at: usize) -> bool {
        let host = &self.hosts[at];
        let cut_until = host.isolated_until.max(host.storeless_until);
        self.now >= cut_until && self.now >= self.store_down_until
    }

    fn send(&mut self, from: usize, to: usize, content: Datagram) {
        if from == to || self.random.random::<f64>() < DATAGRAM_LOSS {
            return;
        }
        let delay = self.random.random_range(0.0..1.0);
        self.datagrams.push(DatagramInFlight {
            from,
            to,
            arrives_at: self.now + LONGEST_DELAY.mul_f64(delay),
            content,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let datagrams = std::mem::take(&mut self.datagrams);
        for datagram in datagrams {
            if datagram.arrives_at > now {
                self.datagrams.push(datagram);
                continue;
            }
            let (from, to) = (datagram.from, datagram.to);
            let is_cut = |at: usize| {
                let host: &ModelHost = &self.hosts[at];
                now < host.isolated_until || now < host.dark_until
            };
            let is_split = now < self.split_until && from % 2 != to % 2;
            if is_split || is_cut(from) || is_cut(to) || !self.hosts[to].has_read {
                continue;
            }
            match datagram.content {
                Datagram::Report { term } => self.take_report(from, to, term),
                Datagram::Digest { term } => self.take_digest(from, to, term),
            }
        }
    }

    fn take_report(&mut self, from: usize, to: usize, term: u64) {
        let (id, address) = (self.hosts[from].id.clone(), self.hosts[from].address);
        let now = self.now;
        let Some(leader) = &mut self.hosts[to].leader else {
            return;
        };
        if leader.planner.state().term == term {
            leader.take_report(id, address, now);
        }
    }

    fn take_digest(&mut self, from: usize, to: usize, term: u64) {
        let now = self.now;
        let host = &mut self.hosts[to];
        if host.known.is_some_and(|(known, _)| known > term) {
            return;
        }
        host.known = Some((term, from));
        host.contact_at = now;
        let is_earlier = |leader: &ModelLeader| leader.planner.state().term < term;
        if host.leader.as_deref().is_some_and(is_earlier) {
            host.leader = None;
        }
    }

    /// Reports to the leader, reads the assignment or takes over.
    fn follow(&mut self, at: usize) {
        let now = self.now;
        let reaches_store = self.reaches_store(at);
        if !self.hosts[at].has_read && reaches_store {
            self.read_store(at);
        }
        let host = &self.hosts[at];
        if !host.has_read || host.leader.is_some() {
            return;
        }
        if now >= host.reports_at {
            let known = host.known;
            self.hosts[at].reports_at = now + self.report_interval;
            if let Some((term, leader)) = known {
                self.send(at, leader, Datagram::Report { term });
            }
        }
        let host = &self.hosts[at];
        if reaches_store && now.since(host.contact_at) >= host.timeout {
            self.take_over(at);
        }
    }

    fn read_store(&mut self, at: usize) {
        let now = self.now;
        let record = self.store.as_ref().and_then(|(state, _)| {
            let record = state.leader.as_ref()?;
            Some((state.term, record.host.clone()))
        });
        let leader = record.and_then(|(term, id)| {
            let at = self.hosts.iter().position(|host| host.id == id)?;
            Some((term, at))
        });
        let host = &mut self.hosts[at];
        host.has_read = true;
        if leader > host.known {
            host.known = leader;
            host.contact_at = now;
        }
    }

    /// The rules of the product's takeover, for a store that loses no writes.
    fn take_over(&mut self, at: usize) {
        let known = self.hosts[at].known.map_or(0, |(term, _)| term);
        self.read_store(at);
        let now = self.now;
        let (mut state, revision) = match self.store.clone() {
            Some(stored) => stored,
            None => (OwnerState::new(String::new()), 0),
        };
        self.hosts[at].contact_at = now;
        if state.term > known {
            return;
        }
        let host = &self.hosts[at];
        let record = LeaderRecord {
            host: host.id.clone(),
            nonce: host.nonce,
            address: host.address,
        };
        let others_may_act = state.earlier_leaders_may_act;
        let predecessor = match (state.begin_term(record.clone()), others_may_act) {
            (_, true) => Predecessor::Unknown,
            (Some(leader), false) => Predecessor::Known(leader),
            (None, false) => Predecessor::Ended,
        };
        state.earlier_leaders_may_act = predecessor != Predecessor::Ended;
        let authority_end = match &predecessor {
            Predecessor::Known(earlier) if earlier.host == record.host => now,
            Predecessor::Known(_) | Predecessor::Unknown => now + with_drift(AUTHORITY_LIMIT),
            Predecessor::Ended => now,
        };
        let end = match state.term {
            1 => BootTime::default(),
            _ => authority_end + ORDER_TIMEOUT,
        };
        self.terms += 1;
        self.store = Some((state.clone(), revision + 1));
        let electors = state.electors.clone();
        let term = state.term;
        self.trace.push(format!(
            "{now}: h-{at} leads term {term}, {} electors",
            electors.len()
        ));
        let leader = ModelLeader {
            watch: PredecessorWatch::new(predecessor, electors, ElectorSource::Store, now),
            planner: OwnershipPlanner::new(state, end, now),
            bounds: LeaseBounds::new(end),
            revision: revision + 1,
            started_at: now,
            confirmed_at: now,
            reported_at: BTreeMap::new(),
            write: None,
        };
        self.hosts[at].known = Some((term, at));
        self.hosts[at].leader = Some(Box::new(leader));
    }

    fn run_leader(&mut self, at: usize) {
        let Some(mut leader) = self.hosts[at].leader.take() else {
            return;
        };
        let reaches_store = self.reaches_store(at);
        if !self.finish_write(&mut leader, reaches_store) {
            return;
        }
        if reaches_store && self.now.since(leader.confirmed_at) >= CONFIRM_INTERVAL {
            leader.confirmed_at = self.now;
            let stored_term = self.store.as_ref().map_or(0, |(state, _)| state.term);
            if stored_term > leader.planner.state().term {
                return;
            }
            leader.confirm(self.now);
        }
        if self.now >= self.hosts[at].reports_at {
            self.hosts[at].reports_at = self.now + self.report_interval;
            let (id, address) = (self.hosts[at].id.clone(), self.hosts[at].address);
            leader.take_report(id, address, self.now);
            leader.check_reports(self.report_interval, self.now);
            let term = leader.planner.state().term;
            for to in 0..self.hosts.len() {
                self.send(at, to, Datagram::Digest { term });
            }
        }
        self.poll(&mut leader);
        if leader.write.is_some()
            && let Some(span) = self.cut_after_write.take()
        {
            let delay = STEP * self.random.random_range(1..20);
            self.hosts[at].cut_at = Some((self.now + delay, span));
        }
        self.hosts[at].leader = Some(leader);
    }

    fn poll(&mut self, leader: &mut ModelLeader) {
        let plan_context = PlanContext {
            fleet: &FleetView::default(),
            evacuations: &EvacuationTable::default(),
            fleet_is_behind: false,
            services: &[],
            capacity: &HashMap::new(),
        };
        for action in leader.planner.poll(plan_context, self.now) {
            let PlanAction::Write(state) = action else {
                continue;
            };
            leader.write = Some(PendingWrite {
                state: *state,
                revision: leader.revision,
                due_at: self.now + STEP * self.random.random_range(1..8),
                sent_at: self.now,
            });
        }
    }

    /// Sends a pending write, again until its outcome is known; returns whether the leader goes on.
    fn finish_write(&mut self, leader: &mut ModelLeader, reaches_store: bool) -> bool {
        let Some(write) = &mut leader.write else {
            return true;
        };
        if self.now < write.due_at {
            return true;
        }
        if !reaches_store {
            write.due_at = self.now + WRITE_RETRY;
            return true;
        }
        let (stored, revision) = self.store.as_ref().expect("an assignment");
        let is_ours = *stored == write.state;
        if *revision != write.revision && !is_ours {
            return false;
        }
        if !is_ours {
            self.store = Some((write.state.clone(), write.revision + 1));
        }
        if self.random.random::<f64>() < ANSWER_LOSS {
            write.due_at = self.now + WRITE_RETRY;
            return true;
        }
        leader.revision = write.revision + 1;
        let sent_at = write.sent_at;
        leader.write = None;
        leader
            .planner
            .handle_input(PlanInput::WriteAcked(sent_at), self.now);
        true
    }

    fn check_authority(&mut self) {
        let mut leaders = Vec::new();
        for (at, host) in self.hosts.iter().enumerate() {
            if let Some(leader) = &host.leader
                && self.now >= host.dark_until
            {
                leaders.push((leader.planner.state().term, at, leader));
            }
        }
        leaders.sort_by_key(|(term, ..)| *term);
        // An order sent at the end of the authority may arrive until then; a report takes some time.
        let soon = self.now + ORDER_TIMEOUT;
        let mut found = Vec::new();
        for (at, (term, host, leader)) in leaders.iter().enumerate() {
            if !leader.planner.has_authority(self.now) {
                continue;
            }
            if leader.planner.confirmed_age(self.now) > Duration::from_millis(2_500) {
                self.supported_steps += 1;
            }
            for (later_term, later_host, later) in &leaders[at + 1..] {
                let assumed_end = soon.minus(LONGEST_DELAY + STEP);
                if later.bounds.earlier_leaders_have_ended(assumed_end) {
                    found.push(format!(
                        "{}: h-{host} acts in term {term}, and h-{later_host} in term {later_term} takes it for ended",
                        self.now
                    ));
                }
            }
        }
        if !found.is_empty() {
            self.violations.append(&mut found);
            self.violations.append(&mut self.trace);
        }
    }
}
