//! Operators' orders: drained servers and pinned keys.

use {
    super::{RepoError, repo_error::*},
    camphorcove_core::{
        conf::{OperatorOrders, RegionConfig, ServiceConfig},
        ids::{ServerId, ServiceName},
        keys::{KeyHash, shard_of},
    },
    snafu::{OptionExt, ensure},
    std::fmt,
};

/// Maximum length of a pinned key, in bytes; bounds the size of the configuration head.
const PIN_KEY_LIMIT: usize = 1_024;

/// A request to change the orders in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "order", rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorOrder {
    /// Drain a server: it gets no new work.
    Drain {
        /// Service of the server.
        service: ServiceName,
        /// Server to drain.
        server: ServerId,
    },
    /// Let a drained server take new work again.
    Undrain {
        /// Service of the server.
        service: ServiceName,
        /// Drained server.
        server: ServerId,
    },
    /// Pin a key: its shard is to be owned by the given server.
    Pin {
        /// Keyed service.
        service: ServiceName,
        /// Key to pin.
        key: String,
        /// Server that is to own the key's shard.
        server: ServerId,
    },
    /// Remove the pin of a key: the controller chooses the owner of its shard again.
    Unpin {
        /// Keyed service.
        service: ServiceName,
        /// Pinned key.
        key: String,
    },
}

impl fmt::Display for OperatorOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Drain { service, server } => write!(f, "drain {service} {server}"),
            Self::Undrain { service, server } => write!(f, "undrain {service} {server}"),
            Self::Pin {
                service,
                key,
                server,
            } => write!(f, "pin {service} {key:?} {server}"),
            Self::Unpin { service, key } => write!(f, "unpin {service} {key:?}"),
        }
    }
}

impl OperatorOrder {
    /// Returns the orders in force after this one; equal to `orders` if it changes
    /// nothing.
    pub(super) fn apply(
        &self,
        config: &RegionConfig,
        orders: &OperatorOrders,
    ) -> Result<OperatorOrders, RepoError> {
        let mut orders = orders.clone();
        match self {
            Self::Drain { service, server } => {
                check_server(config, service, server)?;
                let entry = (service.clone(), server.clone());
                if !orders.drained.contains(&entry) {
                    orders.drained.push(entry);
                }
            }
            Self::Undrain { service, server } => {
                check_server(config, service, server)?;
                orders
                    .drained
                    .retain(|entry| (&entry.0, &entry.1) != (service, server));
            }
            Self::Pin {
                service,
                key,
                server,
            } => {
                let keyed = check_pinned_key(config, service, key)?;
                check_server(config, service, server)?;
                orders.pins.retain(|pin| !is_pin_of(pin, service, key));
                check_shard_pins(keyed, &orders, key, server)?;
                let pin = (service.clone(), key.clone(), server.clone());
                orders.pins.push(pin);
            }
            Self::Unpin { service, key } => {
                check_pinned_key(config, service, key)?;
                orders.pins.retain(|pin| !is_pin_of(pin, service, key));
            }
        }
        orders.drained.sort();
        orders.pins.sort();
        Ok(orders)
    }
}

/// Whether `pin` is for this key of this service.
fn is_pin_of(pin: &(ServiceName, String, ServerId), service: &ServiceName, key: &str) -> bool {
    pin.0 == *service && pin.1 == key
}

/// Checks that the service and the server are configured.
fn check_server(
    config: &RegionConfig,
    service: &ServiceName,
    server: &ServerId,
) -> Result<(), RepoError> {
    let found = config.services.iter().find(|other| other.name == *service);
    let (what, name) = ("service", service.as_str());
    let found = found.context(NotFoundSnafu { what, name })?;
    let known = found.servers.iter().any(|other| other.id == *server);
    let (what, name) = ("server", server.as_str());
    ensure!(known, NotFoundSnafu { what, name });
    Ok(())
}

/// Checks the length of a pinned key and returns its service, which must be keyed.
fn check_pinned_key<'a>(
    config: &'a RegionConfig,
    service: &ServiceName,
    key: &str,
) -> Result<&'a ServiceConfig, RepoError> {
    let (what, size, limit) = ("the key", key.len(), PIN_KEY_LIMIT);
    ensure!(size <= limit, TooLargeSnafu { what, size, limit });
    let found = config
        .services
        .iter()
        .find(|other| other.name == *service && other.is_keyed());
    let (what, name) = ("keyed service", service.as_str());
    found.context(NotFoundSnafu { what, name })
}

/// Checks that no other key of the shard is pinned to another server: a shard moves
/// as a whole, so all its pinned keys need the same server.
fn check_shard_pins(
    service: &ServiceConfig,
    orders: &OperatorOrders,
    key: &str,
    server: &ServerId,
) -> Result<(), RepoError> {
    let shard = |key: &str| shard_of(KeyHash::of(key.as_bytes()), service.shards);
    let clash = orders
        .pins
        .iter()
        .find(|(other_service, other_key, other_server)| {
            *other_service == service.name
                && other_server != server
                && shard(other_key) == shard(key)
        });
    match clash {
        None => Ok(()),
        Some((_, other, server)) => PinClashSnafu {
            other,
            server: server.as_str(),
        }
        .fail(),
    }
}

/// Removes orders for servers that are not configured and returns them as text.
///
/// Without this, a server added later under the same id would start drained or with
/// pinned keys.
pub(super) fn remove_dangling_orders(
    orders: &mut OperatorOrders,
    config: &RegionConfig,
) -> Vec<String> {
    let mut withdrawn = Vec::new();
    orders.drained.retain(|(service, server)| {
        let known = check_server(config, service, server).is_ok();
        if !known {
            withdrawn.push(format!("drain {service} {server}"));
        }
        known
    });
    orders.pins.retain(|(service, key, server)| {
        let known = check_server(config, service, server).is_ok();
        if !known {
            withdrawn.push(format!("pin {service} {key:?} {server}"));
        }
        known
    });
    withdrawn
}
