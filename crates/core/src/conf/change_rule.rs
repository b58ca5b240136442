//! Rejects configuration changes that would endanger exclusive ownership of keys.

use {
    super::{RegionConfig, ServerConfig, ServiceConfig},
    crate::scope::ScopeState,
    std::fmt,
};

/// A forbidden change of one setting.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChangeFault {
    /// Setting that would change, such as `service ledig: shards`.
    pub what: String,
    /// Value in force.
    pub old: String,
    /// Value in the new configuration.
    pub new: String,
    /// Why the value must not change.
    pub rule: String,
}

impl fmt::Display for ChangeFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            what,
            old,
            new,
            rule,
        } = self;
        write!(f, "{what}: {old} must not become {new}; {rule}")
    }
}

const REGION_RULE: &str = "regions own their keys independently";
const SHARDS_RULE: &str = "another number of shards would move keys between owners without a grant";
const STORED_SCOPE_RULE: &str =
    "an earlier service of this name left its ownership behind: use another name or its number";
const ROUTING_RULE: &str = "ownership starts with a service: create another service instead";
const KEY_RULE: &str =
    "hosts on different versions would derive different keys: create another service instead";
const ADDRESS_RULE: &str =
    "the process at the old address may still hold grants: add a server with another id instead";

/// Checks that `new` may replace `old`, the configuration in force. Returns all forbidden changes.
pub fn check_change(old: &RegionConfig, new: &RegionConfig) -> Result<(), Vec<ChangeFault>> {
    let mut faults = Vec::new();
    check_unchanged(&mut faults, "region", &old.region, &new.region, REGION_RULE);
    for after in &new.services {
        let before = old
            .services
            .iter()
            .find(|service| service.name == after.name);
        if let Some(before) = before {
            check_service(&mut faults, before, after);
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

/// Checks an added service against the stored scope of an earlier service of the same name.
///
/// If the scope still holds owners of shards of the earlier service, a new keyed service must have
/// the same number of shards.
pub fn check_stored_scope(service: &ServiceConfig, scope: &ScopeState) -> Option<ChangeFault> {
    let old = scope.shards.len();
    let same_count = usize::try_from(service.shards).is_ok_and(|new| new == old);
    let compatible = old == 0 || !service.is_keyed() || same_count;
    (!compatible).then(|| ChangeFault {
        what: format!("service {}: shards", service.name),
        old: old.to_string(),
        new: service.shards.to_string(),
        rule: STORED_SCOPE_RULE.to_owned(),
    })
}

fn check_service(faults: &mut Vec<ChangeFault>, old: &ServiceConfig, new: &ServiceConfig) {
    let what = |setting: &str| format!("service {}: {setting}", new.name);
    check_unchanged(
        faults,
        what("shards"),
        &old.shards,
        &new.shards,
        SHARDS_RULE,
    );
    check_unchanged(
        faults,
        what("routing"),
        &old.routing,
        &new.routing,
        ROUTING_RULE,
    );
    if let (Some(old_key), Some(new_key)) = (&old.key, &new.key) {
        check_unchanged(faults, what("key"), old_key, new_key, KEY_RULE);
    }
    for after in &new.servers {
        let before = old.servers.iter().find(|server| server.id == after.id);
        if let Some(before) = before {
            check_server(faults, new, before, after);
        }
    }
}

fn check_server(
    faults: &mut Vec<ChangeFault>,
    service: &ServiceConfig,
    old: &ServerConfig,
    new: &ServerConfig,
) {
    let what = format!("service {}: server {}: address", service.name, new.id);
    check_unchanged(faults, what, &old.address, &new.address, ADDRESS_RULE);
}

fn check_unchanged<T: PartialEq + fmt::Display>(
    faults: &mut Vec<ChangeFault>,
    what: impl Into<String>,
    old: &T,
    new: &T,
    rule: &str,
) {
    if old != new {
        faults.push(ChangeFault {
            what: what.into(),
            old: old.to_string(),
            new: new.to_string(),
            rule: rule.to_owned(),
        });
    }
}
