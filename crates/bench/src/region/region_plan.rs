//! What a region consists of.

use {
    camphorcove_core::conf::RoutingMode,
    camphorcove_standin::backend::BackendSettings,
    std::{fmt::Write, net::SocketAddr},
};

/// One backend server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Weight in the configuration.
    pub weight: u32,
    /// Behaviour; slots and connections are configured to be the same.
    pub settings: BackendSettings,
}

/// One service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name; also its path prefix.
    pub name: String,
    /// How a server is picked; keyed services take the key from the path.
    pub routing: RoutingMode,
    /// Number of shards.
    pub shards: u32,
    /// Further lines of the service's table in the configuration.
    pub lines: String,
    /// Servers.
    pub servers: Vec<ServerPlan>,
}

/// A region.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
}

impl ServicePlan {
    /// Path of a key of this service.
    pub fn path(&self, key: &str) -> String {
        format!("/{}/{key}", self.name)
    }

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
        let _ = writeln!(text, "{}", self.lines);
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
    /// The region's file; `addresses` are those of the servers by service.
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

/// Name of the region.
pub(super) const REGION: &str = "bench";

/// Name of a zone by number.
pub(super) fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}
