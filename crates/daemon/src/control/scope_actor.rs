//! The actor that drives one scope's machine.

use {
    super::{
        scope_io::ScopeIo,
        scope_report::{ObservedTotals, ScopeReport},
        scope_watch::ScopeWatch,
    },
    crate::maps::HeldMap,
    arc_swap::ArcSwap,
    camphorcove_core::{
        audit::AuditRecord,
        control::{ScopeAction, ScopeEvent, ScopeMachine, ScopeRole},
        election::PromiseReply,
        ids::ServerId,
        time::BootTime,
    },
    kameo::{
        Actor,
        actor::ActorRef,
        message::{Context, Message},
    },
    std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc},
};

/// Drives one scope's machine: tells it what happens and does what it asks for.
#[derive(Actor)]
pub struct ScopeActor {
    machine: ScopeMachine,
    io: ScopeIo,
    watch: ScopeWatch,
    addresses: HashMap<ServerId, SocketAddr>,
    archived: u64,
    archiving: bool,
    promise_failures: u64,
    report: Arc<ArcSwap<ScopeReport>>,
}

/// Time passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl ScopeActor {
    /// Actor for a machine; it reports its state into `report`.
    pub fn new(machine: ScopeMachine, io: ScopeIo, report: Arc<ArcSwap<ScopeReport>>) -> Self {
        Self {
            machine,
            watch: ScopeWatch::new(io.service.clone(), io.context.clone()),
            io,
            addresses: HashMap::new(),
            archived: 0,
            archiving: false,
            promise_failures: 0,
            report,
        }
    }

    fn feed(&mut self, event: ScopeEvent, actor: &ActorRef<Self>) {
        self.learn_addresses(&event);
        let now = self.io.context.now();
        if let ScopeEvent::RecordsArchived { up_to } = &event {
            self.archived = self.archived.max(*up_to);
            self.archiving = false;
        }
        if let ScopeEvent::PromiseAnswered { reply, .. } = &event {
            let promised = *reply == Some(PromiseReply::Promised);
            self.promise_failures += u64::from(!promised);
        }
        let written = matches!(&event, ScopeEvent::ScopeWritten { result: Ok(_), .. });
        let before = self.machine.role();
        let actions = self.machine.handle(event, now);
        for action in actions {
            self.act(action, now, actor);
        }
        let after = self.machine.role();
        if before != after {
            self.role_changed(before, after);
        }
        if written {
            self.archive(actor);
        }
    }

    fn role_changed(&self, before: ScopeRole, after: ScopeRole) {
        let service = &self.io.service;
        let controls = after == ScopeRole::Controller;
        self.io.context.set_controls(service, controls);
        log::info!(
            service = service.as_str(), epoch = self.machine.epoch().0;
            "role changed from {before:?} to {after:?}"
        );
    }

    /// Remembers servers' addresses, also of servers that leave the configuration:
    /// the machine sends them orders until their shards have moved.
    fn learn_addresses(&mut self, event: &ScopeEvent) {
        match event {
            ScopeEvent::SpecChanged(spec) => {
                for server in &spec.service.servers {
                    self.addresses.insert(server.id.clone(), server.address);
                }
            }
            ScopeEvent::MapObserved { map: Some(map), .. } => {
                for server in &map.servers {
                    let known = self.addresses.entry(server.id.clone());
                    known.or_insert(server.address);
                }
            }
            _ => {}
        }
    }

    fn act(&mut self, action: ScopeAction, now: BootTime, actor: &ActorRef<Self>) {
        let io = self.io.clone();
        match action {
            ScopeAction::ReadScope => answer(actor, async move { io.read().await }),
            ScopeAction::WriteScope {
                write,
                expected,
                state,
            } => answer(
                actor,
                async move { io.write(write, expected, &state).await },
            ),
            ScopeAction::AskPromise { elector, request } => {
                answer(actor, async move { io.ask_promise(elector, request).await });
            }
            ScopeAction::SendOrder {
                server,
                order,
                body,
                valid_until,
            } => {
                let address = self.addresses.get(&server).copied();
                answer(actor, async move {
                    io.send_order(server, address, order, body, valid_until)
                        .await
                });
            }
            ScopeAction::PublishMap { map, valid_until } => {
                if now < valid_until {
                    let hints = &io.context.hints;
                    hints.note(&map.service, map.version.epoch, &map.controller);
                    self.watch.published(map.version);
                    io.context.maps.accept(HeldMap { map, valid_until });
                }
            }
            ScopeAction::OfferHandover { host } => {
                tokio::spawn(async move { io.offer_handover(host).await });
            }
            ScopeAction::SteppedDown => {
                log::info!(service = io.service.as_str(); "stepped down");
            }
        }
    }

    /// Archives audit records of the scope object, one batch at a time.
    fn archive(&mut self, actor: &ActorRef<Self>) {
        let Some(state) = self.machine.state() else {
            return;
        };
        let records = state.records.iter();
        let records: Vec<AuditRecord> = records
            .filter(|record| record.number > self.archived)
            .cloned()
            .collect();
        if records.is_empty() || self.archiving {
            return;
        }
        self.archiving = true;
        let io = self.io.clone();
        let before = self.archived;
        answer(actor, async move {
            let up_to = io.archive(&records).await.unwrap_or(before);
            ScopeEvent::RecordsArchived { up_to }
        });
    }

    fn publish_report(&self) {
        let observed = ObservedTotals {
            promise_failures: self.promise_failures,
            unavailable: self.watch.unavailable(),
        };
        let report = ScopeReport::of(&self.machine, self.io.context.now(), observed);
        self.report.store(Arc::new(report));
    }
}

/// Runs an action and feeds its answer back.
fn answer(actor: &ActorRef<ScopeActor>, action: impl Future<Output = ScopeEvent> + Send + 'static) {
    let actor = actor.clone();
    tokio::spawn(async move {
        let event = action.await;
        let _ = actor.tell(event).await;
    });
}

impl Message<ScopeEvent> for ScopeActor {
    type Reply = ();

    async fn handle(&mut self, event: ScopeEvent, context: &mut Context<Self, Self::Reply>) {
        let actor = context.actor_ref().clone();
        self.feed(event, &actor);
    }
}

impl Message<Tick> for ScopeActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, Self::Reply>) {
        let actor = context.actor_ref().clone();
        let controls = self.machine.role() == ScopeRole::Controller;
        for event in self.watch.observe(controls) {
            self.feed(event, &actor);
        }
        self.feed(ScopeEvent::Tick, &actor);
        if self.watch.is_slow_tick() {
            self.publish_report();
            if controls {
                self.archive(&actor);
            }
        }
    }
}
