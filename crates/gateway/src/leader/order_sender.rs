//! Sends the planner's orders to servers.

use {
    super::{LeaderActor, leader_messages::PlanEvent},
    crate::state::{HostState, LogTopic},
    camphorcove_core::{
        ids::ServerId,
        ownership::{KeyRange, ORDER_TIMEOUT, OrderFailure, PlanAction, PlanInput},
        time::BootTime,
    },
    camphorcove_net::http::ConnectionUse,
    camphorcove_platform::{GrantOrder, ReleaseOrder, ServerOrders},
    kameo::actor::ActorRef,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Sends orders to servers and reports their results to the leader actor.
#[derive(Clone)]
pub struct OrderSender {
    state: Arc<HostState>,
    orders: ServerOrders,
}

impl OrderSender {
    /// Creates a sender that counts and logs in `state`.
    pub fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            orders: ServerOrders::default(),
        }
    }

    /// Sends one order in a task of its own.
    ///
    /// The timeout counts from this call, not from the start of the task: a successor waits
    /// only that long for orders of this leader, so a task that runs late must not send.
    pub fn send(&self, actor: ActorRef<LeaderActor>, term: u64, action: PlanAction) {
        let sender = self.clone();
        let decided_at = self.state.now();
        self.state.counters.orders.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let Some(input) = sender.execute(action, decided_at).await else {
                return;
            };
            if let Err(error) = actor.tell(PlanEvent { term, input }).await {
                log::error!(term, reason:% = error; "leader actor is gone");
            }
        });
    }

    async fn execute(&self, action: PlanAction, decided_at: BootTime) -> Option<PlanInput> {
        let left = |limit: Duration| (decided_at + limit).since(self.state.now());
        match action {
            PlanAction::Write(_) => None,
            PlanAction::Grant {
                service,
                server,
                range,
                token,
                token_offset,
                lease,
                handover,
            } => {
                let order = GrantOrder {
                    server: server.clone(),
                    range,
                    token: token + token_offset,
                    lease,
                    handover,
                };
                let result = self
                    .orders
                    .grant(&order, left(ORDER_TIMEOUT), ConnectionUse::Reused)
                    .await
                    .map(|_| ());
                self.log_failure("grant", &order.server.id, range, token, result.err());
                Some(PlanInput::GrantDone {
                    service,
                    range,
                    token,
                    server,
                    result,
                })
            }
            PlanAction::Release {
                service,
                server,
                range,
                token,
                token_offset,
                limit,
            } => {
                let order = ReleaseOrder {
                    server: server.clone(),
                    range,
                    token: token + token_offset,
                };
                let result = self.orders.release(&order, left(limit)).await;
                let failure = result.as_ref().err().copied();
                self.log_failure("release", &order.server.id, range, token, failure);
                Some(PlanInput::ReleaseDone {
                    service,
                    range,
                    token,
                    token_offset,
                    server,
                    result,
                })
            }
        }
    }

    fn log_failure(
        &self,
        order: &str,
        server: &ServerId,
        range: KeyRange,
        token: u64,
        failure: Option<OrderFailure>,
    ) {
        let Some(failure) = failure else {
            return;
        };
        if let Some(left_out) = self.state.may_log(LogTopic::Order) {
            log::warn!(
                order,
                server = server.as_str(),
                range:% = range,
                token,
                failure:? = failure,
                left_out;
                "order failed"
            );
        }
    }
}
