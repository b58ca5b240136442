//! Rules between the services of a file.

use {
    super::{FaultKind, fault_sink::FaultSink, service_reader::ReadService},
    std::{
        collections::{HashMap, HashSet, hash_map::Entry},
        net::SocketAddr,
    },
};

pub(super) fn check_service_names(services: &[ReadService<'_, '_>], sink: &mut FaultSink<'_>) {
    let mut seen = HashSet::new();
    for service in services {
        let Some(name) = &service.name else { continue };
        if !seen.insert(name) {
            let allowed = "a name that is unique in the region".into();
            service
                .reader
                .fault_allowed(sink, "name", FaultKind::Duplicate, allowed, None);
        }
    }
}

/// Two services overlap if their host and path prefix are the same.
///
/// Otherwise the more specific one wins: a named host before any host, then the
/// longer prefix.
pub(super) fn check_routes(services: &[ReadService<'_, '_>], sink: &mut FaultSink<'_>) {
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
                    .fault_allowed(sink, "path_prefix", kind, allowed, None);
            }
        }
    }
}

/// Slot and connection limits hold for a process, so an address belongs to one server.
pub(super) fn check_addresses(services: &[ReadService<'_, '_>], sink: &mut FaultSink<'_>) {
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
                        .fault_allowed(sink, "address", kind, allowed, None);
                }
            }
        }
    }
}
