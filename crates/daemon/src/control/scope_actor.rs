//! The actor that runs the state machine of one scope.

use {
    super::{
        scope_io::ScopeIo,
        scope_observer::ScopeObserver,
        scope_report::{ObservedTotals, ScopeReport},
    },
    crate::maps::TimedMap,
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

/// Feeds events to one scope's state machine and executes the actions it returns.
#[derive(Actor)]
pub struct ScopeActor {
    machine: ScopeMachine,
    io: ScopeIo,
    observer: ScopeObserver,
    addresses: HashMap<ServerId, SocketAddr>,
    archived_up_to: u64,
    archive_in_progress: bool,
    promise_failures: u64,
    report: Arc<ArcSwap<ScopeReport>>,
}

/// Sent at a fixed interval so that the state machine can act on elapsed time.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl ScopeActor {
    /// Creates an actor for a state machine; the actor publishes the machine's state in `report`.
    pub fn new(machine: ScopeMachine, io: ScopeIo, report: Arc<ArcSwap<ScopeReport>>) -> Self {
        Self {
            machine,
            observer: ScopeObserver::new(io.service.clone(), io.context.clone()),
            io,
            addresses: HashMap::new(),
            archived_up_to: 0,
            archive_in_progress: false,
            promise_failures: 0,
            report,
        }
    }

    fn handle_event(&mut self, event: ScopeEvent, actor: &ActorRef<Self>) {
        self.record_addresses(&event);
        let now = self.io.context.now();
        if let ScopeEvent::RecordsArchived { up_to } = &event {
            self.archived_up_to = self.archived_up_to.max(*up_to);
            self.archive_in_progress = false;
        }
        if let ScopeEvent::PromiseAnswered { reply, .. } = &event {
            let granted = *reply == Some(PromiseReply::Promised);
            self.promise_failures += u64::from(!granted);
        }
        let scope_written = matches!(&event, ScopeEvent::ScopeWritten { result: Ok(_), .. });
        let before = self.machine.role();
        let actions = self.machine.handle(event, now);
        for action in actions {
            self.execute(action, now, actor);
        }
        let after = self.machine.role();
        if before != after {
            self.role_changed(before, after);
        }
        if scope_written {
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

    /// Stores the servers' addresses. Addresses of servers that were removed from the
    /// configuration are kept, because the state machine sends orders to such servers
    /// until their shards have moved.
    fn record_addresses(&mut self, event: &ScopeEvent) {
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

    fn execute(&mut self, action: ScopeAction, now: BootTime, actor: &ActorRef<Self>) {
        let io = self.io.clone();
        match action {
            ScopeAction::ReadScope => spawn_action(actor, async move { io.read().await }),
            ScopeAction::WriteScope {
                write,
                expected,
                state,
            } => spawn_action(
                actor,
                async move { io.write(write, expected, &state).await },
            ),
            ScopeAction::RequestPromise { elector, request } => {
                spawn_action(
                    actor,
                    async move { io.request_promise(elector, request).await },
                );
            }
            ScopeAction::SendOrder {
                server,
                order,
                body,
                valid_until,
            } => {
                let address = self.addresses.get(&server).copied();
                spawn_action(actor, async move {
                    io.send_order(server, address, order, body, valid_until)
                        .await
                });
            }
            ScopeAction::PublishMap { map, valid_until } => {
                if now < valid_until {
                    let hints = &io.context.hints;
                    hints.record_controller(&map.service, map.version.epoch, &map.controller);
                    self.observer.published(map.version);
                    io.context.maps.accept(TimedMap { map, valid_until });
                }
            }
            ScopeAction::OfferHandover { host } => {
                tokio::spawn(async move { io.offer_handover(host).await });
            }
            ScopeAction::SteppedDown => {
                log::info!(service = io.service.as_str(); "stepped down as controller");
            }
        }
    }

    /// Archives the audit records of the scope object that are not archived yet. At most
    /// one batch is in progress at a time.
    fn archive(&mut self, actor: &ActorRef<Self>) {
        let Some(state) = self.machine.state() else {
            return;
        };
        let records = state.records.iter();
        let records: Vec<AuditRecord> = records
            .filter(|record| record.number > self.archived_up_to)
            .cloned()
            .collect();
        if records.is_empty() || self.archive_in_progress {
            return;
        }
        self.archive_in_progress = true;
        let io = self.io.clone();
        let before = self.archived_up_to;
        spawn_action(actor, async move {
            let up_to = io.archive(&records).await.unwrap_or(before);
            ScopeEvent::RecordsArchived { up_to }
        });
    }

    fn publish_report(&self) {
        let observed = ObservedTotals {
            promise_failures: self.promise_failures,
            unavailable: self.observer.unavailable(),
        };
        let report = ScopeReport::of(&self.machine, self.io.context.now(), observed);
        self.report.store(Arc::new(report));
    }
}

/// Runs an action in its own task and sends the resulting event to the actor.
fn spawn_action(
    actor: &ActorRef<ScopeActor>,
    action: impl Future<Output = ScopeEvent> + Send + 'static,
) {
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
        self.handle_event(event, &actor);
    }
}

impl Message<Tick> for ScopeActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, Self::Reply>) {
        let actor = context.actor_ref().clone();
        let controls = self.machine.role() == ScopeRole::Controller;
        for event in self.observer.observe(controls) {
            self.handle_event(event, &actor);
        }
        self.handle_event(ScopeEvent::Tick, &actor);
        if self.observer.is_slow_tick() {
            self.publish_report();
            if controls {
                self.archive(&actor);
            }
        }
    }
}
