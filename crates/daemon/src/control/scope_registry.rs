//! Keeps one actor running for each configured scope.

use {
    super::{
        scope_actor::{ScopeActor, Tick},
        scope_io::ScopeIo,
        scope_report::ScopeReport,
    },
    arc_swap::ArcSwap,
    camphorcove_core::{
        control::{ScopeEvent, ScopeMachine, ScopeRole},
        ids::ServiceName,
    },
    camphorcove_net::peer::random_nonce,
    kameo::actor::{ActorRef, Spawn},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval at which all scope actors get a [`Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Mailbox capacity of one scope actor, in messages.
const MAILBOX_CAPACITY: usize = 4_096;

/// Reference to a running scope actor and to the state it published last.
#[derive(Clone, Debug)]
pub struct ScopeHandle {
    actor: ActorRef<ScopeActor>,
    report: Arc<ArcSwap<ScopeReport>>,
}

impl ScopeHandle {
    /// Sends an event to the scope's state machine.
    pub async fn tell(&self, event: ScopeEvent) {
        let _ = self.actor.tell(event).await;
    }

    /// Latest published state of the scope.
    pub fn report(&self) -> Arc<ScopeReport> {
        self.report.load_full()
    }
}

/// Starts and stops scope actors as services are added to and removed from the configuration.
#[derive(Clone, Debug)]
pub struct ScopeRegistry {
    io_template: ScopeIo,
    nonce: u64,
    scopes: Arc<Mutex<BTreeMap<ServiceName, ScopeHandle>>>,
}

impl ScopeRegistry {
    /// Creates an empty registry. Each actor gets a copy of `io_template` with its own service;
    /// `nonce` identifies this process to the electors.
    pub fn new(io_template: ScopeIo, nonce: u64) -> Self {
        Self {
            io_template,
            nonce,
            scopes: Arc::default(),
        }
    }

    /// Applies configuration changes and sends ticks to all actors until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut changes = self.io_template.context.config.changes();
        changes.mark_changed();
        loop {
            ticks.tick().await;
            if changes.has_changed().unwrap_or(false) {
                changes.mark_unchanged();
                self.apply_config().await;
            }
            for handle in self.scopes().values() {
                // If the mailbox is full the tick is skipped; the next one covers its time.
                let _ = handle.actor.tell(Tick).try_send();
            }
        }
    }

    /// Handle of a service's scope; `None` if the service is not configured.
    pub fn get(&self, service: &ServiceName) -> Option<ScopeHandle> {
        self.scopes().get(service).cloned()
    }

    /// Latest published state of every scope.
    pub fn reports(&self) -> Vec<(ServiceName, Arc<ScopeReport>)> {
        let scopes = self.scopes();
        let reports = scopes
            .iter()
            .map(|(service, handle)| (service.clone(), handle.report()));
        reports.collect()
    }

    /// Tells every scope to hand over the role that this host has in it.
    pub async fn hand_over_roles(&self) {
        let handles: Vec<ScopeHandle> = self.scopes().values().cloned().collect();
        for handle in handles {
            handle.tell(ScopeEvent::ShutdownRequested).await;
        }
    }

    /// Whether this host is the controller of any scope, by the published states.
    pub fn controls_any(&self) -> bool {
        let reports = self.reports();
        let mut roles = reports.iter().map(|(_, report)| report.role);
        roles.any(|role| role == ScopeRole::Controller)
    }

    async fn apply_config(&self) {
        let services = self.io_template.context.services();
        let mut removed = Vec::new();
        {
            let mut scopes = self.scopes();
            for service in &services {
                let known = scopes.contains_key(service);
                if !known {
                    scopes.insert(service.clone(), self.spawn_actor(service));
                }
            }
            scopes.retain(|service, handle| {
                let keep = services.contains(service);
                if !keep {
                    removed.push((service.clone(), handle.clone()));
                }
                keep
            });
        }
        for (service, handle) in removed {
            // The service's grants and maps need no cleanup: they expire.
            handle.actor.kill();
            self.io_template.context.set_controls(&service, false);
        }
    }

    fn spawn_actor(&self, service: &ServiceName) -> ScopeHandle {
        let io = ScopeIo {
            service: service.clone(),
            ..self.io_template.clone()
        };
        let host = io.context.local_peer().host;
        let machine = ScopeMachine::new(service.clone(), host, self.nonce, random_nonce());
        let report = Arc::new(ArcSwap::from_pointee(ScopeReport::default()));
        let actor = ScopeActor::new(machine, io, report.clone());
        let mailbox = kameo::mailbox::bounded(MAILBOX_CAPACITY);
        ScopeHandle {
            actor: ScopeActor::spawn_with_mailbox(actor, mailbox),
            report,
        }
    }

    fn scopes(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ScopeHandle>> {
        self.scopes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
