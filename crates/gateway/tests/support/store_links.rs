//! Hosts with a leader that follow the store, each over a connection of its own that can be disturbed.

use {
    super::{
        leader_hosts::LeaderHost,
        owned_region::{is_owned, owning_servers, start_host, stored, until},
    },
    camphorcove_gateway::{
        state::HostState,
        watch::{ConfigFollower, FleetFollower, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        entries::{config_entry, route_entry, server_entry},
        owning_server::OwningServer,
        store_standin::StoreStandin,
    },
    camphorcove_standin::proxy::ProxyStandin,
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time in which all hosts have reported to the leader and it has named the hosts that watch the store.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// A host and its way to the store.
pub struct LinkedHost {
    pub host: LeaderHost,
    pub link: ProxyStandin,
}

/// Hosts that follow a store with the servers `s-0`, `s-1` and `s-2`.
pub struct LinkedHosts {
    pub store: StoreStandin,
    pub hosts: Vec<LinkedHost>,
    /// Keeps the servers running.
    _servers: Vec<OwningServer>,
}

/// Configuration with this version and one route for each name.
pub fn configuration(version: u32, routes: &[&str]) -> Value {
    let routes: Vec<Value> = routes
        .iter()
        .map(|name| route_entry(name, "safe", "plain"))
        .collect();
    config_entry(&format!("{version:08x}"), &routes)
}

/// Starts hosts of which one leads, and waits until all know configuration 2 and the servers.
pub async fn linked_hosts(count: usize) -> LinkedHosts {
    let (store, address) = StoreStandin::start().await;
    let (_, servers) = owning_servers(3).await;
    store.put("config", "main", configuration(2, &["a"]));
    for server in &servers {
        let entry = server_entry("keyed", server.address, "ready", 1);
        store.put("servers", &server.id, entry);
    }
    let mut hosts = Vec::new();
    for number in 0..count {
        let link = ProxyStandin::to(address).await.expect("a port is free");
        let host = start_host(&format!("host-{number}"), link.address(), &servers).await;
        follow_store(&host.state, link.address());
        hosts.push(LinkedHost { host, link });
    }
    until("owned", || {
        stored(&store).is_some_and(|state| is_owned(&state))
    })
    .await;
    sleep(SETTLE_TIME).await;
    LinkedHosts {
        store,
        hosts,
        _servers: servers,
    }
}

fn follow_store(state: &Arc<HostState>, store: SocketAddr) {
    let client = StoreClient::new(store, Duration::from_millis(400));
    let follower = ConfigFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client.clone(), follower));
    let follower = FleetFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client, follower));
}

impl LinkedHost {
    /// Version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.host.state.config_version().0
    }

    /// Whether it reads the store for the other hosts.
    pub fn reads_store(&self) -> bool {
        self.host.state.is_leader() || self.host.state.watches_store()
    }
}

impl LinkedHosts {
    /// Waits until a configuration is in force on all of these hosts; returns how long it took.
    pub async fn in_force(&self, version: u64, is_meant: impl Fn(&LinkedHost) -> bool) -> Duration {
        until("in force", || {
            let meant = self.hosts.iter().filter(|host| is_meant(host));
            meant.map(LinkedHost::version).all(|held| held >= version)
        })
        .await
    }
}
