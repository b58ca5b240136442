//! The host list with its past versions, to show it with a lag.

use {camphorcove_net::platform::ListedHost, std::time::Duration, tokio::time::Instant};

/// Versions of the host list with the time at which each was set, oldest first.
#[derive(Debug, Default)]
pub(super) struct HostHistory {
    states: Vec<(Instant, Vec<ListedHost>)>,
}

impl HostHistory {
    pub fn set(&mut self, hosts: Vec<ListedHost>) {
        self.states.push((Instant::now(), hosts));
    }

    /// The list as it was `lag` ago; the oldest one if none had been set by then.
    pub fn delayed(&self, lag: Duration) -> Vec<ListedHost> {
        let now = Instant::now();
        let mut delayed = self.states.first();
        for state in &self.states {
            if now.duration_since(state.0) >= lag {
                delayed = Some(state);
            }
        }
        delayed.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
