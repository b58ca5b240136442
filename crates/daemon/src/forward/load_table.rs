//! Server loads known to this host.

use {
    arc_swap::ArcSwap,
    camphorcove_core::{
        balance::{LoadReport, LoadTracker, ServerCandidate, choose_server},
        ids::{ServerId, ServiceName},
        map::{MapVersion, RoutingMap, ServerEntry, ServerPhase},
        time::BootTime,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Load trackers of the servers of one routing map, in the map's order.
#[derive(Debug)]
pub struct ServiceLoads {
    version: MapVersion,
    servers: Vec<(ServerId, ServerPhase, Arc<LoadTracker>)>,
}

impl ServiceLoads {
    /// Load tracker of a server.
    pub fn tracker(&self, server: &ServerId) -> Option<Arc<LoadTracker>> {
        let found = self.servers.iter().find(|(id, _, _)| id == server);
        found.map(|(_, _, tracker)| tracker.clone())
    }

    /// Chooses a server for an unkeyed request.
    ///
    /// Prefers ready servers other than `avoid`, then any ready server, then suspect servers.
    pub fn choose<'a>(
        &self,
        map: &'a RoutingMap,
        avoid: Option<&ServerId>,
        random: u64,
        now: BootTime,
    ) -> Option<&'a ServerEntry> {
        let all = self.candidates(map, ServerPhase::Ready);
        let preferred: Vec<_> = all
            .iter()
            .filter(|candidate| Some(&map.servers[candidate.index].id) != avoid)
            .copied()
            .collect();
        let index = choose_server(&preferred, random, now)
            .or_else(|| choose_server(&all, random, now))
            .or_else(|| choose_server(&self.candidates(map, ServerPhase::Suspect), random, now))?;
        map.servers.get(index)
    }

    /// Servers in this phase that have a forwarder.
    fn candidates(&self, map: &RoutingMap, phase: ServerPhase) -> Vec<ServerCandidate<'_>> {
        let pairs = map.servers.iter().zip(&self.servers).enumerate();
        let usable =
            pairs.filter(|(_, (entry, _))| entry.phase == phase && entry.forwarder.is_some());
        let candidate = usable.map(|(index, (entry, (_, _, tracker)))| ServerCandidate {
            index,
            weight: entry.weight,
            tracker,
        });
        candidate.collect()
    }
}

/// Server loads by service. Reads take no lock.
#[derive(Debug, Default)]
pub struct LoadTable {
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceLoads>>>,
    /// Held while `services` is replaced.
    update_lock: Mutex<()>,
}

impl LoadTable {
    /// Loads of a map's servers, rebuilt when the map's version has changed.
    pub fn loads(&self, map: &RoutingMap, now: BootTime) -> Arc<ServiceLoads> {
        if let Some(loads) = self.current(map) {
            return loads;
        }
        let _update_lock = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(loads) = self.current(map) {
            return loads;
        }
        let mut services = HashMap::clone(&self.services.load());
        let loads = Arc::new(rebuild(services.get(&map.service), map, now));
        services.insert(map.service.clone(), loads.clone());
        self.services.store(Arc::new(services));
        loads
    }

    /// Records the load of a server that its forwarder reported.
    pub fn report(
        &self,
        service: &ServiceName,
        server: &ServerId,
        report: LoadReport,
        now: BootTime,
    ) {
        let services = self.services.load();
        let tracker = services
            .get(service)
            .and_then(|loads| loads.tracker(server));
        if let Some(tracker) = tracker {
            tracker.report(report, now);
        }
    }

    /// Loads built from this version of the map.
    fn current(&self, map: &RoutingMap) -> Option<Arc<ServiceLoads>> {
        let services = self.services.load();
        let loads = services.get(&map.service)?;
        (loads.version == map.version).then(|| loads.clone())
    }
}

/// Builds the loads of a map, with the trackers of servers that were known and not lost.
///
/// The tracker of a server that is new or was lost starts its warm-up now. With the first map
/// all servers count as warm, because none is newer than the others.
fn rebuild(old: Option<&Arc<ServiceLoads>>, map: &RoutingMap, now: BootTime) -> ServiceLoads {
    let entry_loads = |entry: &ServerEntry| {
        let known = old.and_then(|loads| loads.servers.iter().find(|(id, _, _)| *id == entry.id));
        let tracker = match (old, known) {
            (None, _) => Arc::default(),
            (Some(_), Some((_, phase, tracker))) if *phase != ServerPhase::Lost => tracker.clone(),
            _ => Arc::new(LoadTracker::new(now)),
        };
        (entry.id.clone(), entry.phase, tracker)
    };
    ServiceLoads {
        version: map.version,
        servers: map.servers.iter().map(entry_loads).collect(),
    }
}
