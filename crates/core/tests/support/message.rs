//! Messages under way and steps of hosts.

use super::prelude::*;

#[derive(Clone, Debug)]
pub enum Step {
    Tick,
    Event(Box<ScopeEvent>),
    Actions(Vec<ScopeAction>),
    Poll,
    PollAnswer {
        map: Arc<RoutingMap>,
        valid_until: BootTime,
    },
    Request,
}

#[derive(Clone, Debug)]
pub enum Message {
    /// A step of a host's process; dropped if the process has been replaced.
    Host(usize, u64, Step),
    /// The answer to a call; dropped if the call was answered before.
    Answer(usize, u64, u64, Box<ScopeEvent>),
    Read(usize, u64, u64, BootTime),
    Write(
        usize,
        u64,
        u64,
        WriteId,
        Option<ObjectVersion>,
        Box<ScopeState>,
    ),
    Promise(usize, u64, u64, usize, PromiseRequest, BootTime),
    Order {
        from: (usize, u64),
        call: u64,
        server: usize,
        order: OrderId,
        body: ServerOrder,
        deadline: Option<u64>,
        sent_at: BootTime,
    },
    PollAsk {
        from: (usize, u64),
        to: usize,
        sent_at: BootTime,
        version: Option<(MapVersion, BootTime)>,
    },
    Request {
        server: usize,
        shard: ShardId,
        token: FencingToken,
        deadline: u64,
    },
    Fault(Fault),
}

#[derive(Clone, Debug)]
pub struct Queued {
    pub(super) at: u64,
    pub(super) number: u64,
    pub(super) message: Message,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
