//! The route that shows which server owns a key.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminResult, json_reply},
    },
    crate::maps::TimedMap,
    camphorcove_core::{
        conf::OperatorOrders,
        ids::{ServerId, ServiceName},
        time::BootTime,
    },
    camphorcove_net::{
        operator::{ApiCode, ApiError, OwnerReport},
        platform::ObjectStore,
    },
};

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    pub(super) fn owner(&self, call: &AdminCall) -> AdminResult {
        let service = call.parsed::<ServiceName>("service")?;
        let key = call.required("key")?;
        let timed_map = self
            .context
            .maps
            .stored(&service)
            .ok_or_else(|| no_map(&service))?;
        let map = &timed_map.map;
        let not_keyed = || {
            let text = format!("service {service} is not keyed");
            ApiError::new(ApiCode::NotFound, text)
        };
        let shard = map.shard(key.as_bytes()).ok_or_else(not_keyed)?;
        let entry = map.entry(shard).copied().unwrap_or_default();
        let owner = map.owner(shard);
        let snapshot = self.context.config.config();
        let orders = snapshot.as_ref().map(|snapshot| &snapshot.orders);
        json_reply(&OwnerReport {
            pinned: orders.and_then(|orders| pinned_server(orders, &service, key)),
            service,
            key: key.to_owned(),
            shard,
            owner: owner.map(|server| server.id.clone()),
            address: owner.map(|server| server.address),
            token: entry.token.to_string(),
            forwarder: owner.and_then(|server| server.forwarder.clone()),
            moving: entry.moving,
            map: map.version.to_string(),
            valid_ms: valid_millis(&timed_map, self.clock.now()),
        })
    }
}

fn no_map(service: &ServiceName) -> ApiError {
    let text = format!("this host has no routing map of service {service}");
    ApiError::new(ApiCode::NotFound, text)
}

/// Remaining validity of a map in milliseconds; 0 if it has expired.
pub(super) fn valid_millis(timed_map: &TimedMap, now: BootTime) -> u64 {
    let left = timed_map.valid_until.since(now);
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// Server to which an operator has pinned the key, if any.
fn pinned_server(orders: &OperatorOrders, service: &ServiceName, key: &str) -> Option<ServerId> {
    let mut pins = orders.pins.iter();
    let pin = pins.find(|pin| pin.0 == *service && pin.1 == key)?;
    Some(pin.2.clone())
}
