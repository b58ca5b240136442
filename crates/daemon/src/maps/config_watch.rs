//! Reads and watches the configuration and the host list on the platform.

use {
    super::{MapContext, PollScheduler},
    camphorcove_core::control::HostInfo,
    camphorcove_net::{
        config::{ConfigRepo, HEAD_KEY},
        peer::PeerAddress,
        platform::{ListedHost, ObjectStore},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Timeout of one long poll for configuration changes; each is one call to the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the configuration is read even if no change was reported, in case a
/// watch missed one.
const REFRESH_INTERVAL: Duration = Duration::from_secs(15);

/// Delay after a failed call, and between checks whether this host has to read the platform.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which the host list is read once a configuration is known.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which the host list is read while this host has no configuration; it needs
/// peers to ask for one.
const INITIAL_HOSTS_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the configuration and the address book of this host up to date from the platform.
#[derive(Clone, Debug)]
pub struct ConfigWatch<S> {
    context: Arc<MapContext>,
    scheduler: PollScheduler,
    store: S,
    seeds: Vec<PeerAddress>,
}

impl<S: ObjectStore> ConfigWatch<S> {
    /// Creates a watch and fills the address book with `seeds`, the hosts named in the settings.
    pub fn new(
        context: Arc<MapContext>,
        scheduler: PollScheduler,
        store: S,
        seeds: Vec<PeerAddress>,
    ) -> Self {
        context.hosts.set_address_book(seeds.clone());
        Self {
            context,
            scheduler,
            store,
            seeds,
        }
    }

    /// Reads and watches the configuration while this host is a relay or has no configuration.
    ///
    /// Other hosts receive the configuration with their map polls, which bounds the number of
    /// calls to the platform.
    pub async fn watch_config(self) {
        let repo = ConfigRepo::new(self.store.clone());
        let mut position = 0;
        let mut next_read = Instant::now();
        loop {
            if !self.reads_platform() {
                sleep(RETRY_DELAY).await;
                continue;
            }
            if Instant::now() >= next_read {
                match repo.load().await {
                    Ok(Some(snapshot)) => self.context.adopt_config(snapshot, "platform"),
                    Ok(None) => self.context.set_ready(),
                    Err(error) => {
                        log::debug!("reading the configuration failed: {error}");
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                }
                next_read = Instant::now() + REFRESH_INTERVAL;
            }
            match self.store.watch(HEAD_KEY, position, WATCH_TIMEOUT).await {
                Ok(result) => {
                    position = result.position;
                    if !result.events.is_empty() {
                        next_read = Instant::now();
                    }
                }
                Err(error) => {
                    log::debug!("configuration watch failed: {error}");
                    // The platform may have lost its watch positions; start from the beginning.
                    position = 0;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the host list periodically; it supplies addresses for polls and searches.
    pub async fn watch_hosts(self) {
        loop {
            if self.reads_platform() {
                match self.store.hosts().await {
                    Ok(listed) => self.update_address_book(listed),
                    Err(error) => log::debug!("reading the host list failed: {error}"),
                }
            }
            let pause = match self.context.config.config() {
                Some(_) => HOSTS_INTERVAL,
                None => INITIAL_HOSTS_INTERVAL,
            };
            sleep(pause).await;
        }
    }

    fn reads_platform(&self) -> bool {
        self.context.config.config().is_none() || self.scheduler.is_relay()
    }

    fn update_address_book(&self, listed: Vec<ListedHost>) {
        let mut address_book = self.seeds.clone();
        for host in listed {
            address_book.retain(|known| known.host.id != host.id);
            address_book.push(PeerAddress {
                host: HostInfo {
                    id: host.id,
                    zone: host.zone,
                    leaving: host.leaving,
                },
                peer: host.peer,
            });
        }
        address_book.retain(|host| host.host.id != self.context.host.id);
        self.context.hosts.set_address_book(address_book);
    }
}
