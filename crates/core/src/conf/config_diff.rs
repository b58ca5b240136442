//! Differences between two configurations, as text.

use super::{KeySource, RegionConfig, ServerConfig, ServiceConfig};

/// Describes the changes from `old` to `new`, one line each: `+` added, `-` removed, `~` changed.
///
/// Empty if the configurations are equal.
pub fn diff(old: Option<&RegionConfig>, new: &RegionConfig) -> Vec<String> {
    let mut lines = Vec::new();
    match old {
        None => lines.push(format!("+ region {}", new.region)),
        Some(old) => diff_region(&mut lines, old, new),
    }
    let before = old.map_or(&[][..], |old| &old.services[..]);
    for service in before {
        if !new.services.iter().any(|other| other.name == service.name) {
            let count = service.servers.len();
            lines.push(format!("- service {} ({count} servers)", service.name));
        }
    }
    for service in &new.services {
        match before.iter().find(|other| other.name == service.name) {
            None => {
                let count = service.servers.len();
                lines.push(format!("+ service {} ({count} servers)", service.name));
            }
            Some(other) if other == service => {}
            Some(other) => diff_service(&mut lines, other, service),
        }
    }
    lines
}

fn diff_region(lines: &mut Vec<String>, old: &RegionConfig, new: &RegionConfig) {
    let changes = [
        ("region", old.region.to_string(), new.region.to_string()),
        ("zones", join(&old.zones), join(&new.zones)),
    ];
    push_changes(lines, "region", &changes);
}

fn diff_service(lines: &mut Vec<String>, old: &ServiceConfig, new: &ServiceConfig) {
    let subject = format!("service {}", new.name);
    push_changes(lines, &subject, &service_changes(old, new));
    for server in &old.servers {
        if !new.servers.iter().any(|other| other.id == server.id) {
            lines.push(format!(
                "- {subject}: server {} ({})",
                server.id, server.address
            ));
        }
    }
    for server in &new.servers {
        match old.servers.iter().find(|other| other.id == server.id) {
            None => lines.push(format!(
                "+ {subject}: server {} ({})",
                server.id, server.address
            )),
            Some(other) if other == server => {}
            Some(other) => {
                let subject = format!("{subject}: server {}", server.id);
                push_changes(lines, &subject, &server_changes(other, server));
            }
        }
    }
}

/// Name of a setting with its old and new value.
type Change = (&'static str, String, String);

fn service_changes(old: &ServiceConfig, new: &ServiceConfig) -> Vec<Change> {
    let pair = |name, read: &dyn Fn(&ServiceConfig) -> String| (name, read(old), read(new));
    vec![
        pair("host", &|service| {
            service.host.clone().unwrap_or_else(|| "any".into())
        }),
        pair("path_prefix", &|service| service.path_prefix.clone()),
        pair("routing", &|service| service.routing.to_string()),
        pair("key", &|service| {
            service
                .key
                .as_ref()
                .map_or("none".into(), KeySource::to_string)
        }),
        pair("shards", &|service| service.shards.to_string()),
        pair("placement", &|service| service.placement.to_string()),
        pair("fencing", &|service| service.fencing.to_string()),
        pair("class", &|service| service.class.to_string()),
        pair("dedup", &|service| service.dedup.to_string()),
        pair("idempotent_methods", &|service| {
            join(&service.idempotent_methods)
        }),
        pair("max_moves", &|service| service.max_moves.to_string()),
        pair("limits.timeout", &|service| {
            service.limits.timeout.to_string()
        }),
        pair("limits.max_timeout", &|service| {
            service.limits.max_timeout.to_string()
        }),
        pair("limits.queue", &|service| service.limits.queue.to_string()),
        pair("limits.max_body", &|service| {
            service.limits.max_body.to_string()
        }),
        pair("limits.max_header", &|service| {
            service.limits.max_header.to_string()
        }),
    ]
}

fn server_changes(old: &ServerConfig, new: &ServerConfig) -> Vec<Change> {
    let pair = |name, read: &dyn Fn(&ServerConfig) -> String| (name, read(old), read(new));
    vec![
        pair("address", &|server| server.address.to_string()),
        pair("zone", &|server| server.zone.to_string()),
        pair("weight", &|server| server.weight.to_string()),
        pair("slots", &|server| server.slots.to_string()),
        pair("connections", &|server| server.connections.to_string()),
    ]
}

fn push_changes(lines: &mut Vec<String>, subject: &str, changes: &[Change]) {
    for (name, old, new) in changes {
        if old != new {
            lines.push(format!("~ {subject}: {name}: {old} -> {new}"));
        }
    }
}

fn join<T: std::fmt::Display>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(T::to_string).collect();
    format!("[{}]", texts.join(", "))
}
