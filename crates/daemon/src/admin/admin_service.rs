//! Dispatches operator requests to their handlers.

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

/// State and dependencies of the operator API.
#[derive(Debug)]
pub struct AdminContext<S, V> {
    /// Configuration stored in the platform.
    pub repo: ConfigRepo<S>,
    /// Routing maps that this host has received.
    pub maps: MapStore,
    /// Configuration in force on this host, and the other hosts it knows.
    pub config: ConfigStore,
    /// Access to further state of the daemon.
    pub view: V,
    /// Authenticates requests.
    pub authenticator: OperatorAuthenticator,
}

/// Handler of operator requests.
#[derive(Debug)]
pub struct AdminService<S, V> {
    pub(super) context: AdminContext<S, V>,
    pub(super) audit: AuditReader<S>,
    pub(super) refusals: RefusalLog,
    pub(super) clock: BootClock,
}

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    /// Creates the handler with the given dependencies.
    pub fn new(context: AdminContext<S, V>) -> Self {
        Self {
            audit: AuditReader::new(context.repo.store().clone()),
            refusals: RefusalLog::default(),
            clock: BootClock,
            context,
        }
    }

    /// Passes an authenticated request to the handler of its method and path.
    pub(super) async fn dispatch(&self, call: &AdminCall) -> AdminResult {
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

/// Error for a method and path that no route matches.
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

/// All paths with the method of each; used to tell a wrong method from an unknown path.
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
