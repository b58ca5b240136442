//! Names of hosts, zones, services and servers.

use snafu::{Snafu, ensure};

/// Longest accepted name, in bytes.
const NAME_LIMIT: usize = 63;

/// A name that breaks the naming rule.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "invalid {what} {text:?}: expected 1 to {NAME_LIMIT} characters of a-z, 0-9, '-', '.', '_', ':' starting with a letter or digit"
))]
pub struct NameError {
    what: &'static str,
    text: String,
}

/// Checks a name against the naming rule; `what` names its kind in the error.
pub fn check_name(what: &'static str, text: &str) -> Result<(), NameError> {
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let all_allowed = text
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._:".contains(&byte));
    ensure!(
        starts_well && all_allowed && text.len() <= NAME_LIMIT,
        NameSnafu { what, text }
    );
    Ok(())
}

name_type!(
    /// A host of the router, unique in its region.
    HostId,
    "host id"
);
name_type!(
    /// An availability zone.
    ZoneName,
    "zone name"
);
name_type!(
    /// A region; regions own their keys independently of each other.
    RegionName,
    "region name"
);
name_type!(
    /// A service; also names its scope.
    ServiceName,
    "service name"
);
name_type!(
    /// A backend server, unique in its service.
    ServerId,
    "server id"
);
name_type!(
    /// An id that correlates one request in logs.
    RequestId,
    "request id"
);
