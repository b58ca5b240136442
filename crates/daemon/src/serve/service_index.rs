//! Lookup of services by host and path prefix.

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

/// Routing rule of one service, shared by its requests on this host.
#[derive(Debug)]
pub struct ServiceRule {
    /// Configuration of the service.
    pub config: ServiceConfig,
    /// Retry budget of the service on this entry host.
    pub budget: Arc<RetryBudget>,
}

impl ServiceRule {
    /// Whether the service answers requests for this host and path.
    fn matches(&self, host: Option<&str>, path: &str) -> bool {
        let wanted = self.config.host.as_deref();
        let host_matches = wanted.is_none_or(|wanted| {
            host.is_some_and(|host| strip_port(host).eq_ignore_ascii_case(wanted))
        });
        host_matches && is_under_prefix(path, &self.config.path_prefix)
    }

    /// Whether the service's file declares the method idempotent, so that it may run twice.
    pub fn declares_idempotent(&self, method: &http::Method) -> bool {
        let methods = &self.config.idempotent_methods;
        methods.iter().any(|declared| declared == method.as_str())
    }
}

/// Rules built from one version of the configuration.
#[derive(Debug, Default)]
struct IndexState {
    version: ConfigVersion,
    rules: Vec<Arc<ServiceRule>>,
}

/// Services of the current configuration.
///
/// The most specific rule wins: one with a host before one without, then the longest path prefix.
#[derive(Debug, Default)]
pub struct ServiceIndex {
    state: ArcSwap<IndexState>,
}

impl ServiceIndex {
    /// Finds the service that answers requests for a host and path.
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

    /// Rules of the current configuration, rebuilt when its version has changed.
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

/// Builds the rules of a configuration, with the retry budgets of services that were known.
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

/// Whether a path is the prefix itself or below it; `/ab` is not below `/a`.
fn is_under_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
