//! The actor that answers promise requests on behalf of this host.
//!
//! A host that is an elector of a scope promises the scope's controller to support
//! no other controller until the promise expires.

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

/// Minimum interval between reads of a scope object that has not been read successfully yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between later reads of a scope object. They reveal a new controller
/// that cannot reach this host.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Holds this host's promises for all scopes and answers requests for new ones.
#[derive(Actor)]
pub struct ElectorActor {
    table: ElectorTable,
    clock: BootClock,
    store: HttpStore,
    last_reads: HashMap<ServiceName, BootTime>,
}

/// The elector's reply to a [`PromiseRequest`], wrapped as an actor reply.
#[derive(Debug, Reply)]
pub struct PromiseAnswer(pub PromiseReply);

/// Tells the elector which controller a scope object names.
#[derive(Clone, Debug)]
pub struct ObservedTerm {
    /// Service that the scope belongs to.
    pub service: ServiceName,
    /// Epoch of the controller's term.
    pub epoch: Epoch,
    /// Host that is the controller in this term.
    pub controller: HostId,
    /// Random number that identifies the controller's process; a restart changes it.
    pub nonce: u64,
}

impl ElectorActor {
    /// Creates an elector without promises; the time of the call counts as the process start.
    pub fn new(clock: BootClock, store: HttpStore) -> Self {
        Self {
            table: ElectorTable::new(clock.now()),
            clock,
            store,
            last_reads: HashMap::new(),
        }
    }

    fn read_if_due(&mut self, service: &ServiceName, elector: &ActorRef<Self>) {
        let now = self.clock.now();
        let interval = match self.table.has_read_scope_object(service) {
            true => REFRESH_INTERVAL,
            false => RETRY_INTERVAL,
        };
        let last_read = self.last_reads.get(service);
        if last_read.is_some_and(|last_read| now.since(*last_read) < interval) {
            return;
        }
        self.last_reads.insert(service.clone(), now);
        let store = self.store.clone();
        let service = service.clone();
        let elector = elector.clone();
        tokio::spawn(async move {
            let object = store.get(&scope_key(&service)).await.ok().flatten();
            let state = object.and_then(|object| decode_scope(&object.value));
            if let Some(state) = state {
                let term = ObservedTerm {
                    service,
                    epoch: state.epoch,
                    controller: state.controller,
                    nonce: state.nonce,
                };
                let _ = elector.tell(term).await;
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

impl Message<ObservedTerm> for ElectorActor {
    type Reply = ();

    async fn handle(&mut self, term: ObservedTerm, _: &mut Context<Self, Self::Reply>) {
        let now = self.clock.now();
        let ObservedTerm {
            service,
            epoch,
            controller,
            nonce,
        } = term;
        self.table
            .record_scope_object(&service, epoch, &controller, nonce, now);
    }
}

/// Key under which the platform stores the scope object of a service.
pub fn scope_key(service: &ServiceName) -> ObjectKey {
    ObjectKey::new(format!("scope/{service}"))
}
