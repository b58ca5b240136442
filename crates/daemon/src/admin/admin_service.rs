//! Dispatches operator requests.

use {
    super::{
        AdminCall, OperatorView,
        admin_call::{AdminResult, malformed},
        refusal_log::RefusalLog,
    },
    crate::maps::{ConfigStore, MapStore},
    camphorcove_net::{
        clock::BootClock,
        config::{AuditReader, ConfigRepo},
        operator::{ApiCode, ApiError, OperatorAuthenticator},
        platform::ObjectStore,
    },
    http::Method,
};

/// What the operator API works with.
#[derive(Debug)]
pub struct AdminParts<S, V> {
    /// Configuration in the platform.
    pub repo: ConfigRepo<S>,
    /// Routing maps of this host.
    pub maps: MapStore,
    /// Configuration and peers of this host.
    pub config: ConfigStore,
    /// Further state of this host.
    pub view: V,
    /// Checks signatures.
    pub authenticator: OperatorAuthenticator,
}

/// The operator API.
#[derive(Debug)]
pub struct AdminService<S, V> {
    pub(super) parts: AdminParts<S, V>,
    pub(super) audit: AuditReader<S>,
    pub(super) refusals: RefusalLog,
    pub(super) clock: BootClock,
}

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    /// Service on the given parts.
    pub fn new(parts: AdminParts<S, V>) -> Self {
        Self {
            audit: AuditReader::new(parts.repo.store().clone()),
            refusals: RefusalLog::default(),
            clock: BootClock,
            parts,
        }
    }

    /// Carries out a request whose signature was accepted.
    pub(super) async fn answer(&self, call: &AdminCall) -> AdminResult {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/status") => self.status().await,
            ("GET", "/v1/services") => self.services(),
            ("GET", "/v1/servers") => self.servers(call).await,
            ("GET", "/v1/owner") => self.owner(call),
            ("GET", "/v1/moves") => self.moves().await,
            ("POST", "/v1/explain") => self.explain(call),
            ("GET", "/v1/config") => self.config_text(call).await,
            ("POST", "/v1/config/check") => self.check(call).await,
            ("POST", "/v1/config/diff") => self.diff(call).await,
            ("POST", "/v1/config/apply") => self.apply(call).await,
            ("POST", "/v1/config/rollback") => self.rollback(call).await,
            ("POST", "/v1/orders") => self.order(call).await,
            ("GET", "/v1/audit") => self.audit_list(call).await,
            ("GET", "/v1/audit/streams") => self.audit_streams().await,
            ("GET", "/v1/audit/verify") => self.audit_verify(call).await,
            ("GET", "/v1/audit/export") => self.audit_export(call).await,
            ("POST", "/v1/log-level") => self.log_level(call).await,
            ("POST", "/v1/confirm-lost") => self.confirm_lost(call).await,
            _ => Err(unknown_route(call)),
        }
    }
}

fn unknown_route(call: &AdminCall) -> ApiError {
    let known = PATHS.iter().find(|(_, path)| *path == call.path);
    match known {
        Some((method, path)) => {
            ApiError::new(ApiCode::WrongMethod, format!("{path} takes {method}"))
        }
        None if call.method == Method::GET || call.method == Method::POST => {
            ApiError::new(ApiCode::NoSuchPath, format!("no path {}", call.path))
        }
        None => malformed(format!("no method {}", call.method)),
    }
}

/// Paths with their methods.
const PATHS: &[(&str, &str)] = &[
    ("GET", "/v1/status"),
    ("GET", "/v1/services"),
    ("GET", "/v1/servers"),
    ("GET", "/v1/owner"),
    ("GET", "/v1/moves"),
    ("POST", "/v1/explain"),
    ("GET", "/v1/config"),
    ("POST", "/v1/config/check"),
    ("POST", "/v1/config/diff"),
    ("POST", "/v1/config/apply"),
    ("POST", "/v1/config/rollback"),
    ("POST", "/v1/orders"),
    ("GET", "/v1/audit"),
    ("GET", "/v1/audit/streams"),
    ("GET", "/v1/audit/verify"),
    ("GET", "/v1/audit/export"),
    ("POST", "/v1/log-level"),
    ("POST", "/v1/confirm-lost"),
];
