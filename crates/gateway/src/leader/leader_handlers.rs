//! What the leader actor does with each message.

use {
    super::{
        leader_actor::{CONFIRM_FAILURES, LeaderActor, NextTick, Role},
        leader_messages::{
            ConfirmEnded, DigestReceived, OwnerChangeReceived, OwnersRead, PlanEvent,
            ReportReceived, ResendRequested, Resign, Tick, WriteEnded,
        },
        owner_store::WriteOutcome,
        takeover::TakeoverEnded,
    },
    crate::{peers::PeerMessage, state::StoreKind},
    camphorcove_core::{
        ownership::{AUTHORITY_LIMIT, ORDER_TIMEOUT, PlanInput},
        time::{BootTime, with_drift},
    },
    kameo::message::{Context, Message},
    std::time::Duration,
    tokio::time::sleep,
};

/// Time in which answers of servers are gathered while ranges move: a round of the plan
/// looks at all ranges, and answers come by the hundred.
const MOVE_GATHER: Duration = Duration::from_millis(10);

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
        self.owners_read(now);
    }
}

/// Send the assignment to all hosts.
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
        let now = self.state.now();
        let OwnerChangeReceived(change) = message;
        let Some((known, revision)) = self.state.owners() else {
            return;
        };
        // Without the state that the change starts from, the store is read: the digests
        // name the newest revision.
        if revision != change.from {
            return;
        }
        let Some(state) = change.delta.apply(&known) else {
            log::warn!(from = change.from, to = change.to; "change of owners does not fit");
            return;
        };
        if self.state.set_owners(state, change.to) {
            self.state.note_revision(StoreKind::Owners, change.to);
            self.owners_read(now);
        }
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
        let confirmed = ended.confirmed.is_some();
        match ended.confirmed {
            Some(sent_at) => {
                if self.confirm_failures >= CONFIRM_FAILURES {
                    self.state.note_store_returned();
                }
                self.confirm_failures = 0;
                // Hosts only leave the count while the store is there.
                if self.before.is_none() {
                    self.quorum_base = self.hosts.count();
                }
                planner.handle_input(PlanInput::Confirmed(sent_at), now);
            }
            None => self.confirm_failures += 1,
        }
        self.owners_read(now);
        // Without the store no successor could follow, so a host that stops leads on
        // until the store has just answered, or its process ends.
        if self.stopping && confirmed {
            let actor = context.actor_ref().clone();
            self.resign(&actor, now);
        }
    }
}

impl Message<ReportReceived> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: ReportReceived, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.take_report(message.report, message.from, now);
    }
}

impl Message<DigestReceived> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: DigestReceived, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let DigestReceived { digest, from } = message;
        let known = self.state.owners().map_or(0, |(owners, _)| owners.term);
        let known = self.leader_at.map_or(known, |(_, term)| known.max(term));
        if digest.term < known || digest.nonce == self.state.nonce {
            return;
        }
        if let Role::Leader(planner) = &self.role
            && digest.term > planner.state().term
        {
            self.step_down("a digest of a later leader arrived", now);
        }
        self.leader_at = Some((from, digest.term));
        if !digest.peers.is_empty() {
            self.peers = digest.peers;
        }
        self.candidacy.note_largest(digest.largest_cpu);
        let watches = digest.watchers.contains(&self.state.settings.peers);
        // Most hosts leave it to the watchers to find out whether the store is back.
        if digest.has_store || !watches {
            self.candidacy.heard(now);
        }
        self.lacks_store = watches && !digest.has_store;
        // Another leader that has the store shows that only the last one was turned away.
        let lacked = self.store_away.take() == Some(digest.nonce);
        if lacked && digest.has_store {
            self.state.note_store_returned();
        }
        self.store_away = (!digest.has_store).then_some(digest.nonce);
        self.state.note_digest(watches);
        self.state.set_remote_load(digest.hosts, &digest.servers);
        let behind = |kind| self.state.is_behind(kind);
        if !watches && (behind(StoreKind::Fleet) || behind(StoreKind::Owners)) {
            let message = PeerMessage::ResendRequest(self.state.followed_revisions());
            self.link.send(&self.state, from, &message);
        }
    }
}

impl Message<ResendRequested> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: ResendRequested, _: &mut Context<Self, Self::Reply>) {
        if matches!(self.role, Role::Leader(_)) {
            self.send_missed(&message.revisions, message.from);
        }
    }
}

impl Message<Resign> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Resign, context: &mut Context<Self, Self::Reply>) {
        self.stopping = true;
        // The store is asked at once: without it, this host leads on.
        self.confirmed_at = BootTime::default();
        let now = self.state.now();
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
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
        // Renewals wait for the next tick, which saves a round of the plan for each.
        if planner.has_moves() && !self.hastened {
            self.hastened = true;
            let actor = context.actor_ref().clone();
            tokio::spawn(async move {
                sleep(MOVE_GATHER).await;
                if let Err(error) = actor.tell(Hasten).await {
                    log::error!(reason:% = error; "leader actor is gone");
                }
            });
        }
    }
}

/// Work on moves before the next tick.
#[derive(Debug)]
pub(super) struct Hasten;

impl Message<Hasten> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Hasten, context: &mut Context<Self, Self::Reply>) {
        self.hastened = false;
        let now = self.state.now();
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}

impl Message<WriteEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: WriteEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        if planner.state().term != ended.term {
            return;
        }
        match ended.outcome {
            WriteOutcome::Written { revision } => {
                self.revision = revision;
                planner.handle_input(PlanInput::WriteAcked(ended.sent_at), now);
                self.announce();
            }
            WriteOutcome::NotDone => planner.handle_input(PlanInput::WriteNotApplied, now),
            WriteOutcome::Lost => {
                self.step_down("another host changed the assignment", now);
                return;
            }
        }
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}

impl Message<TakeoverEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: TakeoverEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.role = Role::Follower;
        self.candidacy.tried(now);
        if ended.other {
            self.candidacy.heard(now);
        }
        let Some((state, revision)) = ended.won else {
            return;
        };
        let predecessor_end = match &ended.before {
            // The earlier process on this very host has ended, so it cannot renew any more.
            Some(before) if self.is_ended(before) => now,
            Some(_) => now + with_drift(AUTHORITY_LIMIT),
            None => now,
        };
        let predecessor_end = match state.term {
            1 => BootTime::default(),
            _ => predecessor_end + ORDER_TIMEOUT,
        };
        self.begin_term(state, revision, ended.before, predecessor_end);
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}
