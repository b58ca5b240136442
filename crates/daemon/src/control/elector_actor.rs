//! The actor that owns this host's promises as an elector.

use {
    super::scope_codec::decode_scope,
    camphorcove_core::{
        election::{ElectorTable, PromiseReply, PromiseRequest},
        ids::{Epoch, HostId, ServiceName},
        time::BootTime,
    },
    camphorcove_net::{
        clock::BootClock,
        platform::{HttpStore, ObjectKey, ObjectStore},
    },
    kameo::{
        Actor, Reply,
        actor::ActorRef,
        message::{Context, Message},
    },
    std::{collections::HashMap, time::Duration},
};

/// Shortest time between two reads of a scope object that is not known yet.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Scope objects that this host promised for are read this often, so that it
/// notices a successor that cannot reach it.
const REREAD_INTERVAL: Duration = Duration::from_secs(10);

/// Owns the table of promises.
#[derive(Actor)]
pub struct ElectorActor {
    table: ElectorTable,
    clock: BootClock,
    store: HttpStore,
    read_at: HashMap<ServiceName, BootTime>,
}

/// Answer to a request for a promise.
#[derive(Debug, Reply)]
pub struct PromiseAnswer(pub PromiseReply);

/// Tells the elector what a scope object names.
#[derive(Clone, Debug)]
pub struct ScopeKnown {
    /// Scope.
    pub service: ServiceName,
    /// Term.
    pub epoch: Epoch,
    /// Its controller.
    pub controller: HostId,
    /// Process of the controller.
    pub nonce: u64,
}

impl ElectorActor {
    /// Elector of a process that starts now.
    pub fn new(clock: BootClock, store: HttpStore) -> Self {
        Self {
            table: ElectorTable::new(clock.now()),
            clock,
            store,
            read_at: HashMap::new(),
        }
    }

    fn read_if_due(&mut self, service: &ServiceName, elector: &ActorRef<Self>) {
        let now = self.clock.now();
        let interval = match self.table.has_read(service) {
            true => REREAD_INTERVAL,
            false => READ_INTERVAL,
        };
        let last = self.read_at.get(service);
        if last.is_some_and(|last| now.since(*last) < interval) {
            return;
        }
        self.read_at.insert(service.clone(), now);
        let store = self.store.clone();
        let service = service.clone();
        let elector = elector.clone();
        tokio::spawn(async move {
            let object = store.get(&scope_key(&service)).await.ok().flatten();
            let state = object.and_then(|object| decode_scope(&object.value));
            if let Some(state) = state {
                let known = ScopeKnown {
                    service,
                    epoch: state.epoch,
                    controller: state.controller,
                    nonce: state.nonce,
                };
                let _ = elector.tell(known).await;
            }
        });
    }
}

impl Message<PromiseRequest> for ElectorActor {
    type Reply = PromiseAnswer;

    async fn handle(
        &mut self,
        request: PromiseRequest,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let elector = context.actor_ref().clone();
        self.read_if_due(&request.service, &elector);
        PromiseAnswer(self.table.answer(&request, self.clock.now()))
    }
}

impl Message<ScopeKnown> for ElectorActor {
    type Reply = ();

    async fn handle(&mut self, known: ScopeKnown, _: &mut Context<Self, Self::Reply>) {
        let now = self.clock.now();
        let ScopeKnown {
            service,
            epoch,
            controller,
            nonce,
        } = known;
        self.table
            .scope_read(&service, epoch, &controller, nonce, now);
    }
}

/// Key of a scope object.
pub fn scope_key(service: &ServiceName) -> ObjectKey {
    ObjectKey::new(format!("scope/{service}"))
}
