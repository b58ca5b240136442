//! Connections of leaders to servers, on which answers may come that belong to no order.

use {
    camphorcove_core::ownership::{OrderFailure, ServerInstance},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{HashMap, VecDeque},
};

/// Answer of a server to an order.
pub type OrderAnswer = Result<(), OrderFailure>;

#[derive(Debug)]
struct KeptConnection {
    /// Start of the server at the other end.
    server: ServerInstance,
    /// Answers that the leader's host has not read, oldest first.
    unread: VecDeque<OrderAnswer>,
    /// Last answer that the server gave, if any.
    last: Option<OrderAnswer>,
}

/// One kept connection for each leader and server that it sends orders to.
#[derive(Debug)]
pub struct KeptConnections {
    random: ChaCha8Rng,
    connections: HashMap<(u64, ServerInstance), KeptConnection>,
}

impl KeptConnections {
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
            connections: HashMap::new(),
        }
    }

    /// Closes the connection of a leader to a server.
    pub fn close(&mut self, leader: u64, server: &ServerInstance) {
        self.connections.remove(&(leader, server.clone()));
    }

    /// Lets a server answer an order, with a share `extra` of further answers before it. Returns the answer
    /// that the leader's host reads, and whether it is the first one on the connection.
    pub fn receive(
        &mut self,
        (leader, ordered): (u64, &ServerInstance),
        (answer, server): (OrderAnswer, &ServerInstance),
        extra: f64,
    ) -> (OrderAnswer, bool) {
        let key = (leader, ordered.clone());
        // The end of a server closes its connections.
        let is_current = |connection: &KeptConnection| connection.server == *server;
        let known = self.connections.remove(&key).filter(is_current);
        let mut connection = known.unwrap_or_else(|| KeptConnection {
            server: server.clone(),
            unread: VecDeque::new(),
            last: None,
        });
        let is_first = connection.last.is_none();
        if let Some(last) = connection.last
            && self.random.random::<f64>() < extra
        {
            let written = match self.random.random_range(0..5) {
                0 => Err(OrderFailure::OtherServer),
                1 => Err(OrderFailure::Superseded),
                2 => Err(OrderFailure::Rejected),
                _ => last,
            };
            connection.unread.push_back(written);
        }
        connection.unread.push_back(answer);
        connection.last = Some(answer);
        let read = connection.unread.pop_front().unwrap_or(answer);
        if is_first || read.is_ok() {
            self.connections.insert(key, connection);
        }
        (read, is_first)
    }
}
