//! Links between nodes: loss, delay and partitions by direction.

use {rand::RngExt, rand_chacha::ChaCha8Rng, std::collections::BTreeSet};

/// An end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Host(usize),
    Server(usize),
    Platform,
}

/// Links between nodes.
#[derive(Clone, Debug, Default)]
pub struct FakeNetwork {
    pub blocked: BTreeSet<(Node, Node)>,
    /// Share of messages lost, in percent.
    pub loss: u32,
    /// Share of messages delayed by up to `long_delay`, in percent.
    pub slow: u32,
    pub long_delay: u64,
    pub platform_down: bool,
    pub platform_delay: u64,
}

impl FakeNetwork {
    /// Delay of a message in microseconds, or `None` if it is lost.
    pub fn delay(&self, from: Node, to: Node, random: &mut ChaCha8Rng) -> Option<u64> {
        let platform = from == Node::Platform || to == Node::Platform;
        if self.blocked.contains(&(from, to)) || (platform && self.platform_down) {
            return None;
        }
        if self.loss > 0 && random.random_range(0..100) < self.loss {
            return None;
        }
        let mut delay = random.random_range(300..2_000);
        if self.slow > 0 && random.random_range(0..100) < self.slow {
            delay += random.random_range(0..self.long_delay.max(1));
        }
        if platform && self.platform_delay > 0 {
            delay += random.random_range(0..self.platform_delay);
        }
        Some(delay)
    }

    /// Cuts a node off in one direction or both.
    pub fn cut(&mut self, node: Node, others: &[Node], inbound: bool, outbound: bool) {
        for other in others {
            if *other == node {
                continue;
            }
            if outbound {
                self.blocked.insert((node, *other));
            }
            if inbound {
                self.blocked.insert((*other, node));
            }
        }
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.loss = 0;
        self.slow = 0;
        self.platform_down = false;
        self.platform_delay = 0;
    }
}
