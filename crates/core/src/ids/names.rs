//! Names of hosts, zones, services and servers.

use snafu::{Snafu, ensure};

/// Longest accepted name, in bytes.
const NAME_LIMIT: usize = 63;

/// A name that violates the naming rule.
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
    let valid_start = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let valid_bytes = text
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._:".contains(&byte));
    ensure!(
        valid_start && valid_bytes && text.len() <= NAME_LIMIT,
        NameSnafu { what, text }
    );
    Ok(())
}

name_type!(
    /// Id of a host that runs the router, unique in its region.
    HostId,
    "host id"
);
name_type!(
    /// Name of an availability zone.
    ZoneName,
    "zone name"
);
name_type!(
    /// Name of a region; each region assigns its keys to servers independently of the others.
    RegionName,
    "region name"
);
name_type!(
    /// Name of a service and of its scope: one controller assigns all shards of a scope to servers.
    ServiceName,
    "service name"
);
name_type!(
    /// Id of a backend server, unique in its service.
    ServerId,
    "server id"
);
name_type!(
    /// Id that correlates the log lines of one request.
    RequestId,
    "request id"
);
