//! Messages in flight and steps of hosts.

use super::prelude::*;

/// Something a host does; `Tick`, `Poll` and `Request` schedule their own next occurrence.
#[derive(Clone, Debug)]
pub enum Step {
    Tick,
    /// Passes an event to the scope machine.
    Event(Box<ScopeEvent>),
    /// Executes actions that a pause held back.
    Actions(Vec<ScopeAction>),
    /// Asks all other hosts for their map.
    Poll,
    PollAnswer {
        map: Arc<RoutingMap>,
        valid_until: BootTime,
    },
    /// Sends a request to the owner of a random shard.
    Request,
}

/// A message in flight or a scheduled step.
///
/// A sender is given as host index and process number. `call` pairs an answer
/// with its call, and `sent_at` is a time of the sender's clock.
#[derive(Clone, Debug)]
pub enum Message {
    /// A step of the host's process with this number; dropped if the host has restarted since.
    Host(usize, u64, Step),
    /// The answer to a call of a host, or the failure scheduled for its timeout.
    ///
    /// The first of both counts and the other is dropped.
    Answer(usize, u64, u64, Box<ScopeEvent>),
    /// Reads the scope object: host, process, call and send time.
    Read(usize, u64, u64, BootTime),
    /// Writes the scope object: host, process, call, write id, expected version and new state.
    Write(
        usize,
        u64,
        u64,
        WriteId,
        Option<ObjectVersion>,
        Box<ScopeState>,
    ),
    /// Asks for a promise: host, process, call, elector, request and send time.
    Promise(usize, u64, u64, usize, PromiseRequest, BootTime),
    /// An order of a controller to a server; the deadline is on the server's clock.
    Order {
        from: (usize, u64),
        call: u64,
        server: usize,
        order: OrderId,
        body: ServerOrder,
        deadline: Option<u64>,
        sent_at: BootTime,
    },
    /// Asks a host for its map.
    PollRequest {
        from: (usize, u64),
        to: usize,
        sent_at: BootTime,
        version: Option<(MapVersion, BootTime)>,
    },
    /// A caller's request, sent by a host to a server; the deadline is on the server's clock.
    Request {
        server: usize,
        shard: ShardId,
        token: FencingToken,
        deadline: u64,
    },
    Fault(Fault),
}

/// A message with its delivery time; `number` orders messages of the same time as they were queued.
#[derive(Clone, Debug)]
pub struct QueuedMessage {
    pub(super) at: u64,
    pub(super) number: u64,
    pub(super) message: Message,
}

impl PartialEq for QueuedMessage {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for QueuedMessage {}
impl PartialOrd for QueuedMessage {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedMessage {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
