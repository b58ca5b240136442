//! The host list and its earlier states.

use {camphorcove_net::platform::ListedHost, std::time::Duration, tokio::time::Instant};

/// States of the host list with the time each was set, oldest first.
#[derive(Debug, Default)]
pub(super) struct HostHistory {
    states: Vec<(Instant, Vec<ListedHost>)>,
}

impl HostHistory {
    pub fn set(&mut self, hosts: Vec<ListedHost>) {
        self.states.push((Instant::now(), hosts));
    }

    /// The list as it was `lag` ago; the oldest one if there was none yet.
    pub fn shown(&self, lag: Duration) -> Vec<ListedHost> {
        let now = Instant::now();
        let mut shown = self.states.first();
        for state in &self.states {
            if now.duration_since(state.0) >= lag {
                shown = Some(state);
            }
        }
        shown.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
