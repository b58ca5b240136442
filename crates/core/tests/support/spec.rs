//! Configurations of a service, its hosts and servers for tests.

use {
    camphorcove_core::{
        conf::{FencingMode, PlacementGoal, RoutingMode, ServerConfig, ServiceConfig},
        control::{HostInfo, ScopeSpec},
        ids::{ConfigVersion, ServerId},
    },
    std::net::SocketAddr,
};

pub const SERVICE: &str = "ledig";

pub fn server_id(index: usize) -> ServerId {
    format!("server-{index}").parse().unwrap()
}

/// A host; zones alternate by index among three.
pub fn host_info(index: usize) -> HostInfo {
    HostInfo {
        id: format!("host-{index}").parse().unwrap(),
        zone: format!("zone-{}", index % 3).parse().unwrap(),
        leaving: false,
    }
}

/// A server; zones alternate by index among three.
pub fn server_config(index: usize) -> ServerConfig {
    ServerConfig {
        id: server_id(index),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(index).unwrap())),
        zone: format!("zone-{}", index % 3).parse().unwrap(),
        weight: 100,
        slots: 3,
        connections: 120,
    }
}

/// A scope whose servers check tokens if `checked`; without shards the service is unkeyed.
pub fn scope_spec(servers: usize, shards: u32, checked: bool) -> ScopeSpec {
    ScopeSpec {
        version: ConfigVersion(1),
        service: ServiceConfig {
            name: SERVICE.parse().unwrap(),
            host: None,
            path_prefix: "/".into(),
            routing: if shards == 0 {
                RoutingMode::Free
            } else {
                RoutingMode::Keyed
            },
            key: None,
            shards,
            placement: PlacementGoal::Availability,
            fencing: if checked {
                FencingMode::Checked
            } else {
                FencingMode::Unchecked
            },
            class: Default::default(),
            dedup: Default::default(),
            idempotent_methods: Vec::new(),
            max_moves: 4,
            limits: Default::default(),
            servers: (0..servers).map(server_config).collect(),
        },
        drained: Vec::new(),
        pins: Vec::new(),
    }
}
