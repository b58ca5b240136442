//! Stand-in for the platform (docs/platform-protocol.md).

mod control_routes;
mod host_history;
mod object_routes;
mod object_table;
mod platform_faults;
mod platform_standin;
mod platform_state;

pub use {platform_faults::PlatformFaults, platform_standin::PlatformStandin};
