//! Description of the hosts, services and servers of a region.

use {
    camphorcove_core::conf::RoutingMode,
    camphorcove_standin::backend::BackendSettings,
    std::{fmt::Write, net::SocketAddr},
};

/// Plan of one backend server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Weight in the region's configuration.
    pub weight: u32,
    /// Simulated behaviour; its slots and connections also go into the region's configuration.
    pub settings: BackendSettings,
}

/// Plan of one service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name; the service's path prefix is `/` and this name.
    pub name: String,
    /// How a server is selected; keyed services take the key from the second path segment.
    pub routing: RoutingMode,
    /// Number of shards.
    pub shards: u32,
    /// Additional TOML lines of the service's table in the configuration.
    pub extra_config: String,
    /// Backend servers of the service; their zones are assigned in turn.
    pub servers: Vec<ServerPlan>,
}

/// Plan of a region.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    /// Number of hosts; their zones are assigned in turn.
    pub hosts: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Services of the region.
    pub services: Vec<ServicePlan>,
}

impl ServicePlan {
    /// Returns the request path of a key.
    pub fn path(&self, key: &str) -> String {
        format!("/{}/{key}", self.name)
    }

    /// Appends the service's tables to the configuration; `addresses` are those of its servers.
    fn write_config(&self, text: &mut String, addresses: &[SocketAddr], zones: usize) {
        let name = &self.name;
        let (routing, shards) = (self.routing, self.shards);
        let _ = writeln!(
            text,
            "[[services]]\nname = \"{name}\"\npath_prefix = \"/{name}\"\nrouting = \"{routing}\"\nshards = {shards}"
        );
        if routing == RoutingMode::Keyed {
            let _ = writeln!(text, "key = {{ from = \"path\", segment = 1 }}");
        }
        let _ = writeln!(text, "{}", self.extra_config);
        for (number, (server, address)) in self.servers.iter().zip(addresses).enumerate() {
            let _ = writeln!(
                text,
                "[[services.servers]]\nid = \"{name}-{number}\"\naddress = \"{address}\"\nzone = \"{}\"\nweight = {}\nslots = {}\nconnections = {}",
                zone_name(number % zones),
                server.weight,
                server.settings.slots,
                server.settings.connections,
            );
        }
    }
}

impl RegionPlan {
    /// Returns the region's configuration in TOML; `addresses` holds the server addresses of
    /// each service.
    pub fn config(&self, addresses: &[Vec<SocketAddr>]) -> String {
        let zones: Vec<String> = (0..self.zones)
            .map(|number| format!("{:?}", zone_name(number)))
            .collect();
        let mut text = format!("region = \"{REGION}\"\nzones = [{}]\n", zones.join(", "));
        for (service, addresses) in self.services.iter().zip(addresses) {
            service.write_config(&mut text, addresses, self.zones);
        }
        text
    }
}

/// Name of every region that the benchmarks start.
pub(super) const REGION: &str = "bench";

/// Name of a zone by its index, from 0.
pub(super) fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}
