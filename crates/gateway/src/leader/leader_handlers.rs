//! Message handlers of the leader actor.

use {
    super::{
        leader_actor::{CONFIRM_FAILURES, LeaderActor, NextTick, Role},
        leader_messages::{
            ConfirmEnded, ConfirmOutcome, DigestReceived, ElectorChangeReceived,
            OwnerChangeReceived, OwnersRead, PlanEvent, ReportReceived, ResendRequested, Resign,
            ShareSuspects, Tick, WriteEnded,
        },
        owner_store::WriteOutcome,
        takeover::TakeoverEnded,
    },
    crate::{
        peers::{ElectorChange, PeerMessage},
        state::StoreKind,
    },
    camphorcove_core::{
        ownership::{AUTHORITY_LIMIT, ORDER_TIMEOUT, PlanInput, Predecessor},
        time::{BootTime, with_drift},
    },
    kameo::message::{Context, Message},
    std::time::Duration,
    tokio::time::sleep,
};

/// Time for which answers of servers are batched while key ranges move. A planning round
/// looks at all ranges, and answers arrive by the hundred.
const MOVE_BATCH_DELAY: Duration = Duration::from_millis(10);

impl Message<Tick> for LeaderActor {
    type Reply = NextTick;

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, Self::Reply>) -> NextTick {
        let actor = context.actor_ref().clone();
        NextTick(self.tick(&actor))
    }
}

impl Message<OwnersRead> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: OwnersRead, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.update_role(now);
    }
}

/// Tells the actor to send the latest change of the assignment to all hosts.
#[derive(Debug)]
pub(super) struct Announce;

impl Message<Announce> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Announce, _: &mut Context<Self, Self::Reply>) {
        self.announce();
    }
}

impl Message<OwnerChangeReceived> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: OwnerChangeReceived, _: &mut Context<Self, Self::Reply>) {
        let OwnerChangeReceived(change) = message;
        self.apply_owner_change(&change, None);
    }
}

impl Message<ElectorChangeReceived> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: ElectorChangeReceived, _: &mut Context<Self, Self::Reply>) {
        let ElectorChangeReceived(ElectorChange { change, electors }) = message;
        self.apply_owner_change(&change, Some(electors));
    }
}

impl Message<ConfirmEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: ConfirmEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.confirming = false;
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        if planner.state().term != ended.term {
            return;
        }
        let reached_store = !matches!(ended.outcome, ConfirmOutcome::Unconfirmed);
        match ended.outcome {
            ConfirmOutcome::Confirmed(sent_at) => {
                if self.confirm_failures >= CONFIRM_FAILURES {
                    self.state.record_store_recovery();
                }
                self.confirm_failures = 0;
                planner.handle_input(PlanInput::Confirmed(sent_at), now);
                self.choose_electors(now);
            }
            ConfirmOutcome::Unconfirmed => self.confirm_failures += 1,
            ConfirmOutcome::WritesLost(stored) => {
                self.confirm_failures = 0;
                self.write_again(stored, now);
            }
        }
        self.update_role(now);
        // A successor needs the store to take over. A stopping host therefore stays leader
        // until the store has answered or its process ends.
        if self.stopping && reached_store {
            let actor = context.actor_ref().clone();
            self.resign(&actor, now);
        }
    }
}

impl Message<ReportReceived> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: ReportReceived, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.handle_report(message.report, message.from, now);
    }
}

impl Message<DigestReceived> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: DigestReceived, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let DigestReceived { digest, from } = message;
        let known = self.state.owners().map_or(0, |(owners, _)| owners.term);
        let known = self
            .last_digest_sender
            .map_or(known, |(_, term)| known.max(term));
        if digest.term < known || digest.nonce == self.state.nonce {
            return;
        }
        if let Role::Leader(planner) = &self.role
            && digest.term > planner.state().term
        {
            self.step_down("a digest of a later leader arrived", now);
        }
        self.last_digest_sender = Some((from, digest.term));
        self.last_digest_at = Some(now);
        self.state
            .set_relay_peers(&digest.peers, &digest.without_servers);
        if !digest.peers.is_empty() {
            self.peers = digest.peers;
        }
        self.candidacy.record_largest_host(digest.largest_cpu);
        let watches = digest.watchers.contains(&self.state.settings.peers);
        // While the leader lacks the store, only the watchers probe the store and try to
        // replace the leader.
        if digest.has_store || !watches {
            self.candidacy.record_leader_contact(now);
        }
        self.may_replace_leader = watches && !digest.has_store;
        // The store was out only if the same leader reaches it again. A new leader that
        // reaches it shows that only the old one did not.
        let lacked_store = self.leader_without_store.take() == Some(digest.nonce);
        if lacked_store && digest.has_store {
            self.state.record_store_recovery();
        }
        self.leader_without_store = (!digest.has_store).then_some(digest.nonce);
        self.state.record_digest(watches);
        self.state
            .record_digest_evacuations(digest.addition.0.evacuations.as_ref());
        self.state.set_remote_load(digest.hosts, &digest.servers);
        self.state.set_shared_limits(&digest.limits);
        self.state.set_warmup_shares(&digest.addition.0.warmups);
        self.state.set_key_shares(&digest.addition.0.key_shares);
        self.state.set_transfers(digest.addition.0.transfers);
        self.state.record_leaving_servers(&digest.leaving);
        let behind = |kind| self.state.is_behind(kind);
        let is_behind = [StoreKind::Config, StoreKind::Fleet, StoreKind::Owners]
            .into_iter()
            .any(behind);
        if !watches && is_behind {
            let message = PeerMessage::ResendRequest(self.state.followed_versions());
            self.link.send(&self.state, from, &message);
        }
    }
}

impl Message<ResendRequested> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: ResendRequested, _: &mut Context<Self, Self::Reply>) {
        if matches!(self.role, Role::Leader(_)) {
            self.resend_missed(&message.versions, message.from);
        }
    }
}

impl Message<ShareSuspects> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: ShareSuspects, _: &mut Context<Self, Self::Reply>) {
        self.share_suspects();
    }
}

impl Message<Resign> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Resign, context: &mut Context<Self, Self::Reply>) {
        self.stopping = true;
        // Reads the store at once, as this host resigns only after an answer.
        self.confirm_started_at = BootTime::default();
        let now = self.state.now();
        let actor = context.actor_ref().clone();
        self.run_leader_round(&actor, now);
    }
}

impl Message<PlanEvent> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, event: PlanEvent, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        if planner.state().term != event.term {
            return;
        }
        planner.handle_input(event.input, now);
        // Lease renewals wait for the next tick, which saves a planning round for each.
        if planner.has_moves() && !self.early_round_pending {
            self.early_round_pending = true;
            let actor = context.actor_ref().clone();
            tokio::spawn(async move {
                sleep(MOVE_BATCH_DELAY).await;
                if let Err(error) = actor.tell(RunEarlyRound).await {
                    log::error!(reason:% = error; "leader actor is gone");
                }
            });
        }
    }
}

/// Runs a planning round before the next tick, for ranges that move.
#[derive(Debug)]
pub(super) struct RunEarlyRound;

impl Message<RunEarlyRound> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: RunEarlyRound, context: &mut Context<Self, Self::Reply>) {
        self.early_round_pending = false;
        let now = self.state.now();
        let actor = context.actor_ref().clone();
        self.run_leader_round(&actor, now);
    }
}

impl Message<WriteEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: WriteEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        // The store has lost writes after this one was sent, and the planner has been told.
        if planner.state().term != ended.term || self.version != ended.replaced {
            return;
        }
        match ended.outcome {
            WriteOutcome::Written { version } => {
                self.version = version;
                let electors = planner.state().electors.len();
                planner.handle_input(PlanInput::WriteAcked(ended.sent_at), now);
                let written = planner.state().electors.len();
                if electors != written {
                    log::info!(term = ended.term, before = electors, electors = written; "number of electors changed");
                }
                self.announce();
            }
            WriteOutcome::WritesLost { stored } => self.write_again(stored, now),
            WriteOutcome::NotDone => planner.handle_input(PlanInput::WriteNotApplied, now),
            WriteOutcome::Lost => {
                self.step_down("another host changed the assignment", now);
                return;
            }
        }
        let actor = context.actor_ref().clone();
        self.run_leader_round(&actor, now);
    }
}

impl Message<TakeoverEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: TakeoverEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.role = Role::Follower;
        self.candidacy.record_attempt(now);
        if ended.other_leader {
            self.candidacy.record_leader_contact(now);
        }
        self.deferred_epoch = ended.deferred_epoch.or(self.deferred_epoch);
        let Some((state, version)) = ended.won else {
            return;
        };
        let predecessor_end = match &ended.predecessor {
            // The earlier process on this host has ended and can renew no lease.
            Predecessor::Known(predecessor) if self.is_own_record(predecessor) => now,
            Predecessor::Known(_) | Predecessor::Unknown => now + with_drift(AUTHORITY_LIMIT),
            Predecessor::Ended => now,
        };
        let predecessor_end = match state.term {
            1 => BootTime::default(),
            _ => predecessor_end + ORDER_TIMEOUT,
        };
        self.begin_term(
            (state, version),
            ended.predecessor,
            ended.recovery,
            ended.elector_source,
            predecessor_end,
        );
        let actor = context.actor_ref().clone();
        self.run_leader_round(&actor, now);
    }
}
