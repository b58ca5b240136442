//! Routes that show the state of hosts, services and servers.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminResult, json_reply},
        owner_routes::valid_millis,
    },
    crate::maps::TimedMap,
    camphorcove_core::{
        conf::{OperatorOrders, ServiceConfig},
        ids::{ConfigVersion, HostId, ServerId, ServiceName, ShardId},
        map::{RoutingMap, ServerPhase},
    },
    camphorcove_net::{
        operator::{HostStatus, MoveStatus, ServerLoad, ServerStatus, ServiceStatus, StatusReport},
        peer::ConfigSnapshot,
        platform::ObjectStore,
    },
    std::{collections::BTreeMap, sync::Arc},
};

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    pub(super) async fn status(&self) -> AdminResult {
        let platform = match self.context.repo.head().await {
            Ok(head) => Some(head.map_or(ConfigVersion(0), |head| head.version)),
            Err(error) => {
                log::info!(
                    "status report lacks the configuration version in the platform: {error}"
                );
                None
            }
        };
        let snapshot = self.context.config.config();
        let orders = snapshot.as_ref().map(|snapshot| &snapshot.orders);
        let refusals = self.context.authenticator.refusals().into_iter();
        json_reply(&StatusReport {
            host: self.context.view.host(),
            config: snapshot
                .as_ref()
                .map_or(ConfigVersion(0), |snapshot| snapshot.version),
            platform,
            hosts: self.host_statuses().await,
            services: self.service_statuses(),
            roles: self.context.view.roles().await,
            drained: orders.map_or_else(Vec::new, drained_texts),
            pins: orders.map_or_else(Vec::new, pin_texts),
            refusals: refusals
                .map(|(reason, count)| (reason.to_string(), count))
                .collect(),
        })
    }

    pub(super) fn services(&self) -> AdminResult {
        json_reply(&self.service_statuses())
    }

    pub(super) async fn servers(&self, call: &AdminCall) -> AdminResult {
        let requested = call.optional::<ServiceName>("service")?;
        let loads = self.context.view.loads().await;
        let mut statuses = Vec::new();
        if let Some(snapshot) = self.context.config.config() {
            for service in &snapshot.config.services {
                if requested
                    .as_ref()
                    .is_none_or(|requested| *requested == service.name)
                {
                    self.server_statuses(&snapshot, service, &loads, &mut statuses);
                }
            }
        }
        json_reply(&statuses)
    }

    /// Lists the shard moves in all routing maps. The maps do not name the new owner and
    /// the reason; these are added for moves that this host carries out as a controller.
    pub(super) async fn moves(&self) -> AdminResult {
        let mut moves: BTreeMap<(ServiceName, ShardId), MoveStatus> = BTreeMap::new();
        for timed_map in self.context.maps.all().values() {
            for status in moves_in_map(&timed_map.map) {
                moves.insert((status.service.clone(), status.shard), status);
            }
        }
        for status in self.context.view.moves().await {
            moves.insert((status.service.clone(), status.shard), status);
        }
        json_reply(&moves.into_values().collect::<Vec<_>>())
    }

    async fn host_statuses(&self) -> Vec<HostStatus> {
        let mut hosts: BTreeMap<HostId, HostStatus> = BTreeMap::new();
        for peer in self.context.config.peers().iter() {
            let entry = host_entry(&mut hosts, &peer.host.id);
            entry.zone = Some(peer.host.zone.clone());
            entry.peer = Some(peer.peer);
        }
        for (host, version) in self.context.view.host_versions().await {
            host_entry(&mut hosts, &host).config = Some(version);
        }
        let own = self
            .context
            .config
            .config()
            .map(|snapshot| snapshot.version);
        host_entry(&mut hosts, &self.context.view.host()).config = own;
        hosts.into_values().collect()
    }

    fn service_statuses(&self) -> Vec<ServiceStatus> {
        let Some(snapshot) = self.context.config.config() else {
            return Vec::new();
        };
        let services = snapshot.config.services.iter();
        services
            .map(|service| self.service_status(service))
            .collect()
    }

    fn service_status(&self, service: &ServiceConfig) -> ServiceStatus {
        let timed_map = self.context.maps.stored(&service.name);
        let map = timed_map.as_ref().map(|timed_map| &timed_map.map);
        let now = self.clock.now();
        let count = |filter: &dyn Fn(&camphorcove_core::map::ShardEntry) -> bool| {
            map.map_or(0, |map| {
                map.shards.iter().filter(|entry| filter(entry)).count()
            })
        };
        ServiceStatus {
            service: service.name.clone(),
            routing: service.routing.to_string(),
            controller: map.map(|map| map.controller.clone()),
            map: map.map(|map| map.version.to_string()),
            config: map.map(|map| map.config),
            valid_ms: timed_map
                .as_ref()
                .map_or(0, |timed_map| valid_millis(timed_map, now)),
            servers: map.map_or_else(BTreeMap::new, count_phases),
            shards: map.map_or(0, |map| map.shards.len()),
            unowned: count(&|entry| entry.owner.is_none()),
            moving: count(&|entry| entry.moving),
        }
    }

    fn server_statuses(
        &self,
        snapshot: &ConfigSnapshot,
        service: &ServiceConfig,
        loads: &[ServerLoad],
        statuses: &mut Vec<ServerStatus>,
    ) {
        let timed_map: Option<TimedMap> = self.context.maps.stored(&service.name);
        let map = timed_map.map(|timed_map| timed_map.map);
        for server in &service.servers {
            let entry = map.as_ref().and_then(|map| map.server(&server.id));
            let is_this_server =
                |load: &&ServerLoad| load.service == service.name && load.server == server.id;
            statuses.push(ServerStatus {
                service: service.name.clone(),
                server: server.id.clone(),
                address: server.address,
                zone: server.zone.clone(),
                phase: entry.map(|entry| entry.phase),
                drained: is_drained(&snapshot.orders, &service.name, &server.id),
                shards: map
                    .as_ref()
                    .map_or(0, |map| count_owned_shards(map, &server.id)),
                forwarder: entry.and_then(|entry| entry.forwarder.clone()),
                load: loads.iter().find(is_this_server).cloned(),
            });
        }
    }
}

/// Entry of a host, added without details if it is missing.
fn host_entry<'a>(
    hosts: &'a mut BTreeMap<HostId, HostStatus>,
    host: &HostId,
) -> &'a mut HostStatus {
    hosts.entry(host.clone()).or_insert_with(|| HostStatus {
        host: host.clone(),
        zone: None,
        peer: None,
        config: None,
    })
}

fn drained_texts(orders: &OperatorOrders) -> Vec<String> {
    let drained = orders.drained.iter();
    drained
        .map(|(service, server)| format!("{service}/{server}"))
        .collect()
}

fn pin_texts(orders: &OperatorOrders) -> Vec<String> {
    let pins = orders.pins.iter();
    pins.map(|(service, key, server)| format!("{service}/{key} -> {server}"))
        .collect()
}

fn is_drained(orders: &OperatorOrders, service: &ServiceName, server: &ServerId) -> bool {
    let mut drained = orders.drained.iter();
    drained.any(|entry| (&entry.0, &entry.1) == (service, server))
}

/// Name of a phase, as in JSON.
pub(super) fn phase_name(phase: ServerPhase) -> &'static str {
    match phase {
        ServerPhase::Ready => "ready",
        ServerPhase::Draining => "draining",
        ServerPhase::Suspect => "suspect",
        ServerPhase::Lost => "lost",
    }
}

/// Number of servers in each phase.
fn count_phases(map: &Arc<RoutingMap>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for server in &map.servers {
        *counts
            .entry(phase_name(server.phase).to_owned())
            .or_default() += 1;
    }
    counts
}

/// Number of shards that a server owns.
fn count_owned_shards(map: &RoutingMap, server: &ServerId) -> usize {
    let index = map.servers.iter().position(|entry| entry.id == *server);
    let owns = |entry: &&camphorcove_core::map::ShardEntry| {
        entry.owner.is_some() && entry.owner.map(usize::from) == index
    };
    map.shards.iter().filter(owns).count()
}

/// Shards of a map that are being moved, without the details that a map lacks.
fn moves_in_map(map: &RoutingMap) -> Vec<MoveStatus> {
    let mut moves = Vec::new();
    for (entry, number) in map.shards.iter().zip(0..) {
        if !entry.moving {
            continue;
        }
        let shard = ShardId(number);
        moves.push(MoveStatus {
            service: map.service.clone(),
            shard,
            from: map.owner(shard).map(|server| server.id.clone()),
            to: None,
            reason: None,
        });
    }
    moves
}
