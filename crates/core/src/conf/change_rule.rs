//! Rules between two versions of a configuration.

use {
    super::{RegionConfig, ServerConfig, ServiceConfig},
    crate::scope::ScopeState,
    std::fmt,
};

/// A change that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChangeFault {
    /// What would change, such as `service ledig: shards`.
    pub what: String,
    /// Value in force.
    pub old: String,
    /// Value asked for.
    pub new: String,
    /// Why it must stay.
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
const LEFTOVER_RULE: &str =
    "an earlier service of this name left its ownership behind: use another name or its number";
const ROUTING_RULE: &str = "ownership starts with a service: create another service instead";
const KEY_RULE: &str =
    "hosts on different versions would derive different keys: create another service instead";
const ADDRESS_RULE: &str =
    "the process at the old address may still hold grants: add a server with another id instead";

/// Checks the rules between the configuration in force and the next one.
pub fn check_change(old: &RegionConfig, new: &RegionConfig) -> Result<(), Vec<ChangeFault>> {
    let mut faults = Vec::new();
    compare(&mut faults, "region", &old.region, &new.region, REGION_RULE);
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

/// Checks an added service against the scope object that an earlier service of
/// the same name left behind.
pub fn check_leftover(service: &ServiceConfig, scope: &ScopeState) -> Option<ChangeFault> {
    let old = scope.shards.len();
    let same = usize::try_from(service.shards).is_ok_and(|new| new == old);
    let kept = old == 0 || !service.is_keyed() || same;
    (!kept).then(|| ChangeFault {
        what: format!("service {}: shards", service.name),
        old: old.to_string(),
        new: service.shards.to_string(),
        rule: LEFTOVER_RULE.to_owned(),
    })
}

fn check_service(faults: &mut Vec<ChangeFault>, old: &ServiceConfig, new: &ServiceConfig) {
    let what = |setting: &str| format!("service {}: {setting}", new.name);
    compare(
        faults,
        what("shards"),
        &old.shards,
        &new.shards,
        SHARDS_RULE,
    );
    compare(
        faults,
        what("routing"),
        &old.routing,
        &new.routing,
        ROUTING_RULE,
    );
    if let (Some(old_key), Some(new_key)) = (&old.key, &new.key) {
        compare(faults, what("key"), old_key, new_key, KEY_RULE);
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
    compare(faults, what, &old.address, &new.address, ADDRESS_RULE);
}

fn compare<T: PartialEq + fmt::Display>(
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
