//! Has news of suspected requests sent to other hosts as soon as there are any.

use {
    crate::{
        leader::{LeaderActor, ShareSuspects},
        state::HostState,
    },
    kameo::actor::ActorRef,
    std::sync::Arc,
};

/// Asks the leader actor, which knows the other hosts, to send news; never returns.
pub async fn share_suspects(state: Arc<HostState>, leader: ActorRef<LeaderActor>) {
    loop {
        state.suspects_changed.notified().await;
        if let Err(error) = leader.tell(ShareSuspects).try_send() {
            log::warn!(reason:% = error; "leader actor did not accept news of suspected requests");
        }
    }
}
