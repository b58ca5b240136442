//! Keeps the leader actor running when the handler of a message panics.

use {
    super::LeaderActor,
    futures_util::FutureExt,
    kameo::{
        Actor,
        actor::ActorRef,
        error::Infallible,
        message::BoxMessage,
        reply::{BoxReplySender, ReplyError},
    },
    std::panic::AssertUnwindSafe,
};

impl Actor for LeaderActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(actor: Self, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(actor)
    }

    /// Catches a panic in a handler: by default, it would end the actor, and with it the part of
    /// the host that leads and follows.
    async fn on_message(
        &mut self,
        message: BoxMessage<Self>,
        actor: ActorRef<Self>,
        reply: Option<BoxReplySender>,
        stop: &mut bool,
    ) -> Result<(), Box<dyn ReplyError>> {
        let handling = message.handle_dyn(self, actor, reply, stop);
        match AssertUnwindSafe(handling).catch_unwind().await {
            Ok(handled) => handled,
            Err(_) => {
                self.recover_from_panic();
                Ok(())
            }
        }
    }
}

impl LeaderActor {
    /// Gives up the leadership, as a plan may be half done, and goes on as a follower. Another
    /// host takes over from what the store holds.
    fn recover_from_panic(&mut self) {
        log::error!("leader actor panicked, continuing as a follower");
        let now = self.state.now();
        self.step_down("a panic", now);
        self.confirming = false;
        self.early_round_pending = false;
    }
}
