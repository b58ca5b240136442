//! Network faults: lost and delayed messages, and links blocked by direction.

use {rand::RngExt, rand_chacha::ChaCha8Rng, std::collections::BTreeSet};

/// A participant that sends or receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Host(usize),
    Server(usize),
    Platform,
}

/// Faults in force on the links between nodes.
#[derive(Clone, Debug, Default)]
pub struct FakeNetwork {
    /// Sender and receiver of each blocked link.
    pub blocked: BTreeSet<(Node, Node)>,
    /// Share of messages lost, in percent.
    pub loss_percent: u32,
    /// Share of messages delayed by up to `max_extra_delay`, in percent.
    pub delayed_percent: u32,
    /// Largest additional delay in microseconds.
    pub max_extra_delay: u64,
    pub platform_down: bool,
    /// Largest additional delay of messages to and from the platform, in microseconds.
    pub platform_delay: u64,
}

impl FakeNetwork {
    /// Delay of a message in microseconds, or `None` if it is lost.
    pub fn delay(&self, from: Node, to: Node, rng: &mut ChaCha8Rng) -> Option<u64> {
        let platform = from == Node::Platform || to == Node::Platform;
        if self.blocked.contains(&(from, to)) || (platform && self.platform_down) {
            return None;
        }
        if self.loss_percent > 0 && rng.random_range(0..100) < self.loss_percent {
            return None;
        }
        let mut delay = rng.random_range(300..2_000);
        if self.delayed_percent > 0 && rng.random_range(0..100) < self.delayed_percent {
            delay += rng.random_range(0..self.max_extra_delay.max(1));
        }
        if platform && self.platform_delay > 0 {
            delay += rng.random_range(0..self.platform_delay);
        }
        Some(delay)
    }

    /// Blocks the links between a node and the others, in one direction or both.
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

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.blocked.clear();
        self.loss_percent = 0;
        self.delayed_percent = 0;
        self.platform_down = false;
        self.platform_delay = 0;
    }
}
