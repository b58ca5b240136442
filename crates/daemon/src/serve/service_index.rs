//! Services by host and path prefix.

use {
    crate::context::RequestContext,
    arc_swap::ArcSwap,
    camphorcove_core::{
        conf::ServiceConfig,
        ids::{ConfigVersion, ServiceName},
        retry::RetryBudget,
    },
    camphorcove_net::peer::ConfigSnapshot,
    std::{cmp::Reverse, sync::Arc},
};

/// A service with what its requests share on this host.
#[derive(Debug)]
pub struct ServiceRule {
    /// The service.
    pub config: ServiceConfig,
    /// Retry budget of this entry host.
    pub budget: Arc<RetryBudget>,
}

impl ServiceRule {
    /// Whether the service answers to this host and path.
    fn matches(&self, host: Option<&str>, path: &str) -> bool {
        let wanted = self.config.host.as_deref();
        let host_fits = wanted.is_none_or(|wanted| {
            host.is_some_and(|host| without_port(host).eq_ignore_ascii_case(wanted))
        });
        host_fits && under_prefix(path, &self.config.path_prefix)
    }

    /// Whether the service's file declares that the method may run twice.
    pub fn declares_idempotent(&self, method: &http::Method) -> bool {
        let methods = &self.config.idempotent_methods;
        methods.iter().any(|declared| declared == method.as_str())
    }
}

#[derive(Debug, Default)]
struct IndexState {
    version: ConfigVersion,
    rules: Vec<Arc<ServiceRule>>,
}

/// Services of the configuration in force, most specific first.
#[derive(Debug, Default)]
pub struct ServiceIndex {
    state: ArcSwap<IndexState>,
}

impl ServiceIndex {
    /// Service that answers to a host and path.
    pub fn find(
        &self,
        context: &RequestContext,
        host: Option<&str>,
        path: &str,
    ) -> Option<Arc<ServiceRule>> {
        let state = self.current(context)?;
        let found = state.rules.iter().find(|rule| rule.matches(host, path));
        found.cloned()
    }

    fn current(&self, context: &RequestContext) -> Option<Arc<IndexState>> {
        let snapshot = context.configs.config()?;
        let state = self.state.load_full();
        if state.version == snapshot.version && !state.rules.is_empty() {
            return Some(state);
        }
        let state = Arc::new(rebuild(&state, &snapshot));
        self.state.store(state.clone());
        Some(state)
    }
}

/// Keeps the budgets of services that stay.
fn rebuild(old: &IndexState, snapshot: &ConfigSnapshot) -> IndexState {
    let rule = |config: &ServiceConfig| {
        Arc::new(ServiceRule {
            config: config.clone(),
            budget: known_budget(old, &config.name).unwrap_or_default(),
        })
    };
    let mut rules: Vec<_> = snapshot.config.services.iter().map(rule).collect();
    rules.sort_by_key(|rule| {
        let prefix = rule.config.path_prefix.trim_end_matches('/');
        (rule.config.host.is_none(), Reverse(prefix.len()))
    });
    IndexState {
        version: snapshot.version,
        rules,
    }
}

fn known_budget(old: &IndexState, name: &ServiceName) -> Option<Arc<RetryBudget>> {
    let rule = old.rules.iter().find(|rule| rule.config.name == *name)?;
    Some(rule.budget.clone())
}

/// Whether a path is the prefix itself or below it; `/a` does not cover `/ab`.
fn under_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
