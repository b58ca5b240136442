//! Table of the tasks of the servers whose forwarder this host is.

use {
    super::{ServerHandle, ServerTask, server_handle::ServerLimits},
    crate::context::RequestContext,
    arc_swap::ArcSwap,
    camphorcove_core::{
        admission::AdmissionLimits,
        balance::LoadReport,
        conf::RequestLimits,
        ids::{ServerId, ServiceName},
        map::{RoutingMap, ServerEntry},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
    },
};

type HandleMap = HashMap<ServiceName, HashMap<ServerId, ServerHandle>>;

/// Handles of server tasks by service and server. Reads take no lock.
#[derive(Debug, Default)]
pub struct ServerTable {
    handles: ArcSwap<HandleMap>,
    /// Held while `handles` is replaced.
    update_lock: Mutex<()>,
}

impl ServerTable {
    /// Handle of a server's task, which is started on first use.
    ///
    /// A server with a new address gets a new task, and the old one is retired.
    pub fn handle(
        &self,
        context: &RequestContext,
        service: &ServiceName,
        entry: &ServerEntry,
    ) -> ServerHandle {
        if let Some(handle) = self.find(service, entry) {
            return handle;
        }
        let _update_lock = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = self.find(service, entry) {
            return handle;
        }
        let limits = server_limits(context, service, entry);
        let handle = ServerTask::start(entry.address, limits, context.clock);
        let mut handles = HandleMap::clone(&self.handles.load());
        let servers = handles.entry(service.clone()).or_default();
        if let Some(replaced) = servers.insert(entry.id.clone(), handle.clone()) {
            replaced.retire();
        }
        self.handles.store(Arc::new(handles));
        handle
    }

    /// Applies a new map: passes new limits on, and retires the tasks of servers whose forwarder
    /// this host no longer is or whose address has changed.
    pub fn reconcile(&self, context: &RequestContext, map: &RoutingMap) {
        let _update_lock = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut handles = HandleMap::clone(&self.handles.load());
        let Some(servers) = handles.get_mut(&map.service) else {
            return;
        };
        servers.retain(|id, handle| {
            let entry = map.server(id);
            let forwarded = entry.filter(|entry| entry.forwarder.as_ref() == Some(&context.host));
            match forwarded {
                Some(entry) if entry.address == handle.address() => {
                    handle.update(server_limits(context, &map.service, entry));
                    true
                }
                _ => {
                    handle.retire();
                    false
                }
            }
        });
        self.handles.store(Arc::new(handles));
    }

    /// Load of each server that has a task.
    pub fn loads(&self) -> Vec<(ServiceName, ServerId, LoadReport)> {
        let handles = self.handles.load();
        let mut loads = Vec::new();
        for (service, servers) in handles.iter() {
            for (server, handle) in servers {
                loads.push((service.clone(), server.clone(), handle.load()));
            }
        }
        loads
    }

    fn find(&self, service: &ServiceName, entry: &ServerEntry) -> Option<ServerHandle> {
        let handles = self.handles.load();
        let handle = handles.get(service)?.get(&entry.id)?;
        (handle.address() == entry.address).then(|| handle.clone())
    }
}

/// Limits of a server; the queue has its default length while the configuration does not name
/// the service.
fn server_limits(
    context: &RequestContext,
    service: &ServiceName,
    entry: &ServerEntry,
) -> ServerLimits {
    let snapshot = context.configs.config();
    let configured = snapshot.as_ref().and_then(|snapshot| {
        let services = snapshot.config.services.iter();
        services
            .into_iter()
            .find(|candidate| candidate.name == *service)
    });
    let queue = configured.map_or_else(
        || RequestLimits::default().queue,
        |config| config.limits.queue,
    );
    ServerLimits {
        admission_limits: AdmissionLimits {
            slots: entry.slots,
            queue,
        },
        connections: entry.connections,
    }
}
