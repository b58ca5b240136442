//! Checks across the services of a configuration file: unique names, routes and addresses.

use {
    super::{FaultKind, fault_sink::FaultSink, service_reader::PartialService},
    std::{
        collections::{HashMap, HashSet, hash_map::Entry},
        net::SocketAddr,
    },
};

/// Reports a service name that appears twice in the file.
pub(super) fn check_service_names(services: &[PartialService<'_, '_>], sink: &mut FaultSink<'_>) {
    let mut seen = HashSet::new();
    for service in services {
        let Some(name) = &service.name else { continue };
        if !seen.insert(name) {
            let allowed = "a name that is unique in the region".into();
            service
                .reader
                .report_with_allowed(sink, "name", FaultKind::Duplicate, allowed, None);
        }
    }
}

/// Reports services with the same host and path prefix.
///
/// Any other overlap is resolved by the more specific route: a service with a host goes before one
/// for any host, then the longer prefix wins.
pub(super) fn check_routes(services: &[PartialService<'_, '_>], sink: &mut FaultSink<'_>) {
    let mut seen: HashMap<(Option<&str>, &str), String> = HashMap::new();
    for service in services {
        let prefix = service.path_prefix.trim_end_matches('/');
        let name = service.name.as_ref().map_or("?", |name| name.as_str());
        match seen.entry((service.host.as_deref(), prefix)) {
            Entry::Vacant(vacant) => {
                vacant.insert(name.to_owned());
            }
            Entry::Occupied(other) => {
                let allowed = format!(
                    "a host and path prefix other than those of {:?}",
                    other.get()
                );
                let kind = FaultKind::OverlappingRoute;
                service
                    .reader
                    .report_with_allowed(sink, "path_prefix", kind, allowed, None);
            }
        }
    }
}

/// Reports a server address that appears twice in the file, even in different services.
///
/// Slot and connection limits apply to a server process, so an address must belong to one server.
pub(super) fn check_addresses(services: &[PartialService<'_, '_>], sink: &mut FaultSink<'_>) {
    let mut seen: HashMap<SocketAddr, String> = HashMap::new();
    for service in services {
        for server in &service.servers {
            let Some(address) = server.address else {
                continue;
            };
            match seen.entry(address) {
                Entry::Vacant(vacant) => {
                    vacant.insert(server.reader.path("address"));
                }
                Entry::Occupied(other) => {
                    let allowed = format!("an address other than that of {}", other.get());
                    let kind = FaultKind::Duplicate;
                    server
                        .reader
                        .report_with_allowed(sink, "address", kind, allowed, None);
                }
            }
        }
    }
}
