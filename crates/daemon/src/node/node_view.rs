//! Implements the operator API's view of the daemon's state.

use {
    crate::{
        admin::OperatorView,
        context::RequestCounters,
        control::ScopeRegistry,
        forward::ForwardService,
        maps::MapContext,
        metrics::{MetricSources, render},
    },
    camphorcove_core::{
        control::{ScopeEvent, ScopeRole},
        ids::{ConfigVersion, Epoch, HostId, ServiceName},
    },
    camphorcove_net::{
        operator::{MoveStatus, RoleStatus, ServerLoad},
        peer::{PeerAddress, PeerKind, PeerTraffic, StatusAnswer, StatusRequest},
        platform::HttpStore,
    },
    std::{sync::Arc, time::Duration},
};

/// Gives the operator API access to the state of the daemon's components.
#[derive(Debug)]
pub struct NodeView {
    /// Routing maps, configuration and known hosts.
    pub context: Arc<MapContext>,
    /// Scope actors of this host.
    pub scopes: ScopeRegistry,
    /// Request counters.
    pub counters: Arc<RequestCounters>,
    /// Forwarder, for the load of its servers.
    pub forward: Arc<ForwardService>,
    /// Platform client, for its call counts.
    pub store: HttpStore,
    /// Byte counters of the traffic with peers.
    pub traffic: Arc<PeerTraffic>,
}

/// Timeout of a status request to another host.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

impl NodeView {
    async fn host_version(&self, peer: PeerAddress) -> Option<(HostId, ConfigVersion)> {
        let host = peer.host.id;
        let client = &self.context.client;
        let kind = PeerKind::Status;
        let answer: StatusAnswer = client
            .call(&host, peer.peer, kind, &StatusRequest, STATUS_TIMEOUT)
            .await
            .ok()?;
        Some((host, answer.config))
    }
}

impl OperatorView for NodeView {
    fn host(&self) -> HostId {
        self.context.host.id.clone()
    }

    async fn host_versions(&self) -> Vec<(HostId, ConfigVersion)> {
        let this_host = &self.context.host.id;
        let peers = self.context.live_hosts().into_iter();
        let others = peers.filter(|peer| peer.host.id != *this_host);
        let requests = others.map(|peer| self.host_version(peer));
        let answers = futures_util::future::join_all(requests).await;
        answers.into_iter().flatten().collect()
    }

    async fn roles(&self) -> Vec<RoleStatus> {
        let this_host = &self.context.host.id;
        let mut roles = Vec::new();
        for (service, report) in self.scopes.reports() {
            let epoch = report.epoch.0;
            let mut add = |role: &str, remaining_ms: u64| {
                roles.push(RoleStatus {
                    service: service.clone(),
                    role: role.to_owned(),
                    epoch,
                    remaining_ms,
                });
            };
            let authority = u64::try_from(report.authority.as_millis()).unwrap_or(u64::MAX);
            match report.role {
                ScopeRole::Controller => add("controller", authority),
                ScopeRole::Candidate => add("candidate", 0),
                ScopeRole::Idle => {}
            }
            if report.electors.contains(this_host) {
                add("elector", 0);
            }
        }
        roles
    }

    async fn moves(&self) -> Vec<MoveStatus> {
        let reports = self.scopes.reports();
        let mut moves = Vec::new();
        for (service, report) in reports {
            for (shard, from, to, reason) in &report.moves {
                moves.push(MoveStatus {
                    service: service.clone(),
                    shard: *shard,
                    from: Some(from.clone()),
                    to: Some(to.clone()),
                    reason: Some(reason.clone()),
                });
            }
        }
        moves
    }

    async fn loads(&self) -> Vec<ServerLoad> {
        let loads = self.forward.server_loads().into_iter();
        let loads = loads.map(|(service, server, load)| ServerLoad {
            service,
            server,
            in_flight: load.in_flight,
            queued: load.queued,
            // The forwarder does not expose connection counts and ejections.
            connections: 0,
            ejected: false,
        });
        loads.collect()
    }

    fn metrics(&self) -> String {
        render(&MetricSources {
            context: &self.context,
            scopes: &self.scopes,
            counters: &self.counters,
            forward: &self.forward,
            store: &self.store,
            traffic: &self.traffic,
        })
    }

    async fn confirm_lost(&self, service: &ServiceName, epoch: Epoch) -> Result<(), String> {
        let scope = self.scopes.get(service);
        let scope = scope.ok_or_else(|| format!("no scope {service}"))?;
        let report = scope.report();
        if report.role == ScopeRole::Idle {
            let controller = report.controller.as_ref();
            let controller = controller.map_or("unknown", |host| host.as_str());
            return Err(format!(
                "this host does not claim scope {service}; its controller is {controller}"
            ));
        }
        if report.epoch <= epoch {
            return Err(format!(
                "the claim has epoch {}, which the confirmation covers itself",
                report.epoch
            ));
        }
        scope.tell(ScopeEvent::ConfirmLost).await;
        Ok(())
    }
}
