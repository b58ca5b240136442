//! Scopes of the configuration, each with its actor.

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

/// Interval of the machines' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Messages that may wait for one actor.
const MAILBOX: usize = 4_096;

/// One scope's actor.
#[derive(Clone, Debug)]
pub struct ScopeHandle {
    actor: ActorRef<ScopeActor>,
    report: Arc<ArcSwap<ScopeReport>>,
}

impl ScopeHandle {
    /// Tells the machine of an event.
    pub async fn tell(&self, event: ScopeEvent) {
        let _ = self.actor.tell(event).await;
    }

    /// The machine's state as reported last.
    pub fn report(&self) -> Arc<ScopeReport> {
        self.report.load_full()
    }
}

/// Starts and stops actors as services come and go.
#[derive(Clone, Debug)]
pub struct ScopeRegistry {
    template: ScopeIo,
    nonce: u64,
    scopes: Arc<Mutex<BTreeMap<ServiceName, ScopeHandle>>>,
}

impl ScopeRegistry {
    /// Registry whose actors use the connections of `template`.
    pub fn new(template: ScopeIo, nonce: u64) -> Self {
        Self {
            template,
            nonce,
            scopes: Arc::default(),
        }
    }

    /// Follows the configuration and ticks the machines until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut changes = self.template.context.config.changes();
        changes.mark_changed();
        loop {
            ticks.tick().await;
            if changes.has_changed().unwrap_or(false) {
                changes.mark_unchanged();
                self.follow_config().await;
            }
            for handle in self.scopes().values() {
                // A full mailbox delays the tick; the next one makes up for it.
                let _ = handle.actor.tell(Tick).try_send();
            }
        }
    }

    /// Scope of a service.
    pub fn get(&self, service: &ServiceName) -> Option<ScopeHandle> {
        self.scopes().get(service).cloned()
    }

    /// All scopes with their reports.
    pub fn reports(&self) -> Vec<(ServiceName, Arc<ScopeReport>)> {
        let scopes = self.scopes();
        let reports = scopes
            .iter()
            .map(|(service, handle)| (service.clone(), handle.report()));
        reports.collect()
    }

    /// Hands over all roles of this host.
    pub async fn resign(&self) {
        let handles: Vec<ScopeHandle> = self.scopes().values().cloned().collect();
        for handle in handles {
            handle.tell(ScopeEvent::Resign).await;
        }
    }

    /// Whether this host controls or claims any scope.
    pub fn has_roles(&self) -> bool {
        let reports = self.reports();
        let mut roles = reports.iter().map(|(_, report)| report.role);
        roles.any(|role| role == ScopeRole::Controller)
    }

    async fn follow_config(&self) {
        let services = self.template.context.services();
        let mut gone = Vec::new();
        {
            let mut scopes = self.scopes();
            for service in &services {
                let known = scopes.contains_key(service);
                if !known {
                    scopes.insert(service.clone(), self.start(service));
                }
            }
            scopes.retain(|service, handle| {
                let keep = services.contains(service);
                if !keep {
                    gone.push((service.clone(), handle.clone()));
                }
                keep
            });
        }
        for (service, handle) in gone {
            // Grants and maps of the service lapse by themselves.
            handle.actor.kill();
            self.template.context.set_controls(&service, false);
        }
    }

    fn start(&self, service: &ServiceName) -> ScopeHandle {
        let io = ScopeIo {
            service: service.clone(),
            ..self.template.clone()
        };
        let host = io.context.me().host;
        let machine = ScopeMachine::new(service.clone(), host, self.nonce, random_nonce());
        let report = Arc::new(ArcSwap::from_pointee(ScopeReport::default()));
        let actor = ScopeActor::new(machine, io, report.clone());
        let mailbox = kameo::mailbox::bounded(MAILBOX);
        ScopeHandle {
            actor: ScopeActor::spawn_with_mailbox(actor, mailbox),
            report,
        }
    }

    fn scopes(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ScopeHandle>> {
        self.scopes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
