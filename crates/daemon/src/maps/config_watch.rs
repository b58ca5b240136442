//! Reads the configuration and the host list from the platform.

use {
    super::{MapContext, PollDirector},
    camphorcove_core::control::HostInfo,
    camphorcove_net::{
        config::{ConfigRepo, HEAD_KEY},
        peer::PeerAddress,
        platform::{ListedHost, ObjectStore},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Length of one watch; a watch is one call to the platform.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// The configuration is read at least this often, in case a watch lost a change.
const REREAD_INTERVAL: Duration = Duration::from_secs(15);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Interval at which the host list is read.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);

/// Interval while this host has no configuration yet.
const HOSTS_INTERVAL_AT_START: Duration = Duration::from_millis(500);

/// Watches the platform on behalf of this host.
#[derive(Clone, Debug)]
pub struct ConfigWatch<S> {
    context: Arc<MapContext>,
    director: PollDirector,
    store: S,
    seeds: Vec<PeerAddress>,
}

impl<S: ObjectStore> ConfigWatch<S> {
    /// Watch that also uses the hosts named in the settings.
    pub fn new(
        context: Arc<MapContext>,
        director: PollDirector,
        store: S,
        seeds: Vec<PeerAddress>,
    ) -> Self {
        context.hosts.set_book(seeds.clone());
        Self {
            context,
            director,
            store,
            seeds,
        }
    }

    /// Reads and watches the configuration while this host is a relay or has none.
    pub async fn watch_config(self) {
        let repo = ConfigRepo::new(self.store.clone());
        let mut position = 0;
        let mut next_read = Instant::now();
        loop {
            if !self.reads_platform() {
                sleep(FAILURE_PAUSE).await;
                continue;
            }
            if Instant::now() >= next_read {
                match repo.load().await {
                    Ok(Some(snapshot)) => self.context.adopt_config(snapshot, "platform"),
                    Ok(None) => self.context.set_ready(),
                    Err(error) => {
                        log::debug!("configuration not read: {error}");
                        sleep(FAILURE_PAUSE).await;
                        continue;
                    }
                }
                next_read = Instant::now() + REREAD_INTERVAL;
            }
            match self.store.watch(HEAD_KEY, position, WATCH_WAIT).await {
                Ok(result) => {
                    position = result.position;
                    if !result.events.is_empty() {
                        next_read = Instant::now();
                    }
                }
                Err(error) => {
                    log::debug!("configuration watch failed: {error}");
                    // The platform may have lost its positions.
                    position = 0;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Reads the host list, which supplies addresses to ask.
    pub async fn watch_hosts(self) {
        loop {
            if self.reads_platform() {
                match self.store.hosts().await {
                    Ok(listed) => self.update_book(listed),
                    Err(error) => log::debug!("host list not read: {error}"),
                }
            }
            let pause = match self.context.config.config() {
                Some(_) => HOSTS_INTERVAL,
                None => HOSTS_INTERVAL_AT_START,
            };
            sleep(pause).await;
        }
    }

    fn reads_platform(&self) -> bool {
        self.context.config.config().is_none() || self.director.is_relay()
    }

    fn update_book(&self, listed: Vec<ListedHost>) {
        let mut book = self.seeds.clone();
        for host in listed {
            book.retain(|known| known.host.id != host.id);
            book.push(PeerAddress {
                host: HostInfo {
                    id: host.id,
                    zone: host.zone,
                    leaving: host.leaving,
                },
                peer: host.peer,
            });
        }
        book.retain(|host| host.host.id != self.context.host.id);
        self.context.hosts.set_book(book);
    }
}
