//! Explains where a request would go, or why it would be refused.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminResult, json_reply},
        owner_routes::valid_millis,
        status_routes::phase_name,
    },
    crate::maps::HeldMap,
    camphorcove_core::{
        conf::{RegionConfig, ServiceConfig},
        ids::HostId,
        map::{RoutingMap, ServerEntry, ServerPhase},
    },
    camphorcove_net::{
        operator::{ExplainReport, ExplainRequest},
        platform::ObjectStore,
    },
};

/// Builds a report step by step.
struct Explanation {
    report: ExplainReport,
}

impl Explanation {
    fn new(host: HostId) -> Self {
        Self {
            report: ExplainReport {
                host,
                routed: false,
                steps: Vec::new(),
                service: None,
                key: None,
                shard: None,
                servers: Vec::new(),
                forwarder: None,
            },
        }
    }

    fn step(&mut self, text: impl Into<String>) {
        self.report.steps.push(text.into());
    }

    fn refused(mut self, reason: impl Into<String>) -> ExplainReport {
        self.step(format!("refused, not run: {}", reason.into()));
        self.report
    }
}

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    pub(super) fn explain(&self, call: &AdminCall) -> AdminResult {
        let request: ExplainRequest = call.json()?;
        json_reply(&self.explanation(&request))
    }

    fn explanation(&self, request: &ExplainRequest) -> ExplainReport {
        let mut explanation = Explanation::new(self.parts.view.host());
        let Some(snapshot) = self.parts.config.config() else {
            return explanation.refused("this host has no configuration");
        };
        explanation.step(format!(
            "configuration version {} is in force",
            snapshot.version
        ));
        let Some(service) = find_service(&snapshot.config, request) else {
            return explanation.refused("no service answers to this host and path");
        };
        explanation.step(format!(
            "service {} (host {}, path prefix {})",
            service.name,
            service.host.as_deref().unwrap_or("any"),
            service.path_prefix
        ));
        explanation.report.service = Some(service.name.clone());
        let Some(held) = self.parts.maps.held(&service.name) else {
            return explanation.refused("this host has no routing map of the service");
        };
        let valid = valid_millis(&held, self.clock.now());
        explanation.step(describe_map(&held, valid));
        if valid == 0 {
            return explanation.refused("the routing map has expired");
        }
        match service.is_keyed() {
            true => explain_keyed(explanation, service, &held.map, request),
            false => explain_free(explanation, &held.map),
        }
    }
}

fn find_service<'a>(
    config: &'a RegionConfig,
    request: &ExplainRequest,
) -> Option<&'a ServiceConfig> {
    let host = Some(request.host.as_str()).filter(|host| !host.is_empty());
    config.route(host, split_target(&request.target).0)
}

fn split_target(target: &str) -> (&str, Option<&str>) {
    match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    }
}

fn describe_map(held: &HeldMap, valid: u64) -> String {
    let map = &held.map;
    format!(
        "routing map {} of controller {}, from configuration {}, valid for {valid} ms",
        map.version, map.controller, map.config
    )
}

fn explain_keyed(
    mut explanation: Explanation,
    service: &ServiceConfig,
    map: &RoutingMap,
    request: &ExplainRequest,
) -> ExplainReport {
    let Some(source) = &service.key else {
        return explanation.refused("the service has no key source");
    };
    let (path, query) = split_target(&request.target);
    let header = |name: &str| request.headers.get(name).map(String::as_bytes);
    let Some(key) = source.extract(path, query, header) else {
        return explanation.refused(format!("the request has no key in {source}"));
    };
    let text = String::from_utf8_lossy(&key).into_owned();
    explanation.step(format!("key {text:?} from {source}"));
    explanation.report.key = Some(text);
    let Some(shard) = map.shard(&key) else {
        return explanation.refused("the routing map has no shards");
    };
    explanation.report.shard = Some(shard);
    let entry = map.entry(shard).copied().unwrap_or_default();
    let Some(owner) = map.owner(shard) else {
        return explanation.refused(format!("nobody owns shard {shard}"));
    };
    explanation.step(format!(
        "shard {shard} is owned by server {} under token {}, phase {}",
        owner.id,
        entry.token,
        phase_name(owner.phase)
    ));
    if entry.moving {
        explanation.step("a move of the shard is under way: the request waits for the next map");
    }
    if owner.phase == ServerPhase::Lost {
        return explanation.refused(format!("server {} is lost", owner.id));
    }
    finish_keyed(explanation, owner)
}

fn finish_keyed(mut explanation: Explanation, owner: &ServerEntry) -> ExplainReport {
    explanation.report.servers = vec![owner.id.clone()];
    let Some(forwarder) = &owner.forwarder else {
        return explanation.refused(format!("no host forwards to server {}", owner.id));
    };
    explanation.report.forwarder = Some(forwarder.clone());
    explanation.report.routed = true;
    let (id, address) = (&owner.id, owner.address);
    explanation.step(format!(
        "sent to server {id} at {address} by host {forwarder}"
    ));
    explanation.report
}

fn explain_free(mut explanation: Explanation, map: &RoutingMap) -> ExplainReport {
    let ready = map
        .servers
        .iter()
        .filter(|server| server.phase == ServerPhase::Ready && server.forwarder.is_some());
    explanation.report.servers = ready.map(|server| server.id.clone()).collect();
    let (count, all) = (explanation.report.servers.len(), map.servers.len());
    if count == 0 {
        return explanation.refused(format!(
            "none of {all} servers is ready and has a forwarder"
        ));
    }
    explanation.report.routed = true;
    explanation.step(format!(
        "sent to the less loaded of two random servers out of {count} ready ones of {all}"
    ));
    explanation.report
}
