//! Explains where a caller's request would be routed, or why it would be refused.
//!
//! The rules are the same as in the request path for callers. Limits that depend on
//! concurrent requests, such as queues and retries, are not considered.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminResult, json_reply, malformed},
        owner_routes::valid_millis,
        status_routes::phase_name,
    },
    crate::{
        maps::TimedMap,
        serve::{extract_key, has_dot_segment},
    },
    camphorcove_core::{
        conf::ServiceConfig,
        ids::HostId,
        map::{RoutingMap, ServerEntry, ServerPhase},
        outcome::ResultCode,
    },
    camphorcove_net::{
        operator::{ApiError, ExplainReport, ExplainRequest},
        platform::ObjectStore,
    },
    http::{HeaderMap, HeaderName, HeaderValue, uri::PathAndQuery},
};

/// Collects the steps of the routing decision and builds the report.
struct Explanation {
    report: ExplainReport,
}

impl Explanation {
    fn new(host: HostId) -> Self {
        Self {
            report: ExplainReport {
                host,
                routed: false,
                code: None,
                steps: Vec::new(),
                service: None,
                key: None,
                shard: None,
                servers: Vec::new(),
                forwarder: None,
            },
        }
    }

    /// Appends a step.
    fn step(&mut self, text: impl Into<String>) {
        self.report.steps.push(text.into());
    }

    /// Ends the explanation with an immediate refusal.
    fn refused(mut self, code: ResultCode, reason: impl Into<String>) -> ExplainReport {
        self.report.code = Some(code.number());
        self.step(format!(
            "refused with code {}: {}",
            code.number(),
            reason.into()
        ));
        self.report
    }

    /// Ends the explanation with a refusal that a newer routing map could prevent: a real
    /// request waits for such a map and is refused only at its deadline.
    fn refused_after_wait(mut self, code: ResultCode, reason: impl Into<String>) -> ExplainReport {
        self.step("the request waits for another map until its deadline");
        self.refused(code, reason)
    }
}

/// The parts of a request that routing depends on.
struct ExplainedRequest {
    host: Option<String>,
    path: PathAndQuery,
    headers: HeaderMap,
}

impl ExplainedRequest {
    /// Parses the target and headers.
    fn read(request: &ExplainRequest) -> Result<Self, ApiError> {
        let path = request.target.parse();
        let path = path.map_err(|error| malformed(format!("target: {error}")))?;
        let mut headers = HeaderMap::new();
        for (name, value) in &request.headers {
            let name = name.parse::<HeaderName>();
            let value = value.parse::<HeaderValue>();
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(malformed("headers: expected names and values of HTTP"));
            };
            headers.insert(name, value);
        }
        let host = Some(request.host.clone()).filter(|host| !host.is_empty());
        Ok(Self {
            host,
            path,
            headers,
        })
    }
}

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    pub(super) fn explain(&self, call: &AdminCall) -> AdminResult {
        let request: ExplainRequest = call.json()?;
        let refused = ["CONNECT", "TRACE"].contains(&request.method.as_str());
        let request = ExplainedRequest::read(&request)?;
        let explanation = Explanation::new(self.context.view.host());
        if refused || has_dot_segment(request.path.path()) {
            let reason = "the method is refused, or the path has a dot segment";
            return json_reply(&explanation.refused(ResultCode::BadRequest, reason));
        }
        json_reply(&self.explain_request(explanation, &request))
    }

    /// Matches the request to a service and to a valid routing map.
    fn explain_request(
        &self,
        mut explanation: Explanation,
        request: &ExplainedRequest,
    ) -> ExplainReport {
        let Some(snapshot) = self.context.config.config() else {
            return explanation.refused(ResultCode::NoService, "this host has no configuration");
        };
        explanation.step(format!(
            "configuration version {} is in force",
            snapshot.version
        ));
        let found = snapshot
            .config
            .route(request.host.as_deref(), request.path.path());
        let Some(service) = found else {
            let reason = "no service answers to this host and path";
            return explanation.refused(ResultCode::NoService, reason);
        };
        explanation.step(format!(
            "service {} (host {}, path prefix {})",
            service.name,
            service.host.as_deref().unwrap_or("any"),
            service.path_prefix
        ));
        explanation.report.service = Some(service.name.clone());
        let key = match read_key(&mut explanation, service, request) {
            Ok(key) => key,
            Err(reason) => return explanation.refused(ResultCode::BadRequest, reason),
        };
        let Some(timed_map) = self.context.maps.stored(&service.name) else {
            let reason = "this host has no routing map of the service";
            return explanation.refused_after_wait(ResultCode::NoMap, reason);
        };
        let valid = valid_millis(&timed_map, self.clock.now());
        explanation.step(describe_map(&timed_map, valid));
        if valid == 0 {
            return explanation
                .refused_after_wait(ResultCode::NoMap, "the routing map has expired");
        }
        match key {
            Some(key) => explain_keyed(explanation, &timed_map.map, &key),
            None => explain_free(explanation, &timed_map.map),
        }
    }
}

/// Extracts the key of a request to a keyed service; `None` for any other service. The
/// error says why there is no key.
fn read_key(
    explanation: &mut Explanation,
    service: &ServiceConfig,
    request: &ExplainedRequest,
) -> Result<Option<Vec<u8>>, String> {
    let Some(source) = service.key.as_ref().filter(|_| service.is_keyed()) else {
        return Ok(None);
    };
    let key = extract_key(source, &request.path, &request.headers);
    let key = key.map_err(|_| format!("the request has no key in {source}"))?;
    let text = String::from_utf8_lossy(&key).into_owned();
    explanation.step(format!("key {text:?} from {source}"));
    explanation.report.key = Some(text);
    Ok(Some(key))
}

fn describe_map(timed_map: &TimedMap, valid: u64) -> String {
    let map = &timed_map.map;
    format!(
        "routing map {} of controller {}, from configuration {}, valid for {valid} ms",
        map.version, map.controller, map.config
    )
}

/// Explains a request to a keyed service: only the owner of the key's shard may get it.
fn explain_keyed(mut explanation: Explanation, map: &RoutingMap, key: &[u8]) -> ExplainReport {
    let Some(shard) = map.shard(key) else {
        return explanation.refused_after_wait(ResultCode::NoMap, "the routing map has no shards");
    };
    explanation.report.shard = Some(shard);
    let entry = map.entry(shard).copied().unwrap_or_default();
    if entry.moving {
        let reason = format!("a move of shard {shard} is under way");
        return explanation.refused_after_wait(ResultCode::ShardMoving, reason);
    }
    let Some(owner) = map.owner(shard) else {
        return explanation
            .refused_after_wait(ResultCode::NoOwner, format!("nobody owns shard {shard}"));
    };
    explanation.step(format!(
        "shard {shard} is owned by server {} under token {}, phase {}",
        owner.id,
        entry.token,
        phase_name(owner.phase)
    ));
    if owner.phase == ServerPhase::Lost {
        return explanation
            .refused_after_wait(ResultCode::NoOwner, format!("server {} is lost", owner.id));
    }
    explain_forwarder(explanation, owner)
}

/// Explains which host forwards the request to the owner.
fn explain_forwarder(mut explanation: Explanation, owner: &ServerEntry) -> ExplainReport {
    explanation.report.servers = vec![owner.id.clone()];
    let Some(forwarder) = &owner.forwarder else {
        let reason = format!("no host forwards to server {}", owner.id);
        return explanation.refused_after_wait(ResultCode::NoForwarder, reason);
    };
    explanation.report.forwarder = Some(forwarder.clone());
    explanation.report.routed = true;
    let (id, address) = (&owner.id, owner.address);
    explanation.step(format!(
        "sent to server {id} at {address} by host {forwarder}"
    ));
    explanation.report
}

/// Explains a request to a service that is not keyed: any ready server may get it, or
/// any suspect one if no server is ready.
fn explain_free(mut explanation: Explanation, map: &RoutingMap) -> ExplainReport {
    let usable_servers = |phase: ServerPhase| {
        let servers = map.servers.iter();
        let servers =
            servers.filter(move |server| server.phase == phase && server.forwarder.is_some());
        servers.map(|server| server.id.clone()).collect::<Vec<_>>()
    };
    let (mut phase, mut servers) = (ServerPhase::Ready, usable_servers(ServerPhase::Ready));
    if servers.is_empty() {
        (phase, servers) = (ServerPhase::Suspect, usable_servers(ServerPhase::Suspect));
    }
    let (count, all) = (servers.len(), map.servers.len());
    if count == 0 {
        let reason = format!("none of {all} servers can be used");
        return explanation.refused_after_wait(ResultCode::NoOwner, reason);
    }
    explanation.report.servers = servers;
    explanation.report.routed = true;
    explanation.step(format!(
        "sent to the less loaded of two random servers out of {count} in phase {} of {all}",
        phase_name(phase)
    ));
    explanation.report
}
