//! Hosts that may send a request to a server for this one.

use {
    camphorcove_core::time::BootTime,
    rand::{Rng, seq::SliceRandom},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time for which a host that could not be reached, or reached no server itself, is left out.
const LEFT_OUT_TIME: Duration = Duration::from_secs(1);

/// Other hosts as the last digests name them. They stay known while there is no leader.
#[derive(Debug, Default)]
pub struct RelayPeers {
    hosts: Vec<SocketAddr>,
    /// Hosts that have reported that they reach no servers.
    without_servers: Vec<SocketAddr>,
    left_out_until: HashMap<SocketAddr, BootTime>,
}

impl RelayPeers {
    /// Replaces the list of all hosts, if `hosts` names any, and of those without servers.
    pub fn update(&mut self, hosts: &[SocketAddr], without_servers: &[SocketAddr]) {
        if !hosts.is_empty() {
            self.hosts = hosts.to_vec();
        }
        self.without_servers = without_servers.to_vec();
    }

    /// Leaves a host out for some time.
    pub fn leave_out(&mut self, host: SocketAddr, now: BootTime) {
        self.left_out_until.retain(|_, until| now < *until);
        self.left_out_until.insert(host, now + LEFT_OUT_TIME);
    }

    /// Up to `count` hosts that may take a request, in random order and without `own`.
    pub fn choose(
        &self,
        own: SocketAddr,
        count: usize,
        now: BootTime,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let is_usable = |host: &&SocketAddr| {
            let left_out = self.left_out_until.get(*host);
            **host != own
                && !self.without_servers.contains(host)
                && left_out.is_none_or(|until| now >= *until)
        };
        let mut usable: Vec<SocketAddr> = self.hosts.iter().filter(is_usable).copied().collect();
        let (chosen, _) = usable.partial_shuffle(random, count);
        chosen.to_vec()
    }
}
