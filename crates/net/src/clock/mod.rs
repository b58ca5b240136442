//! This host's clocks: boot time for decisions, wall time for logs.

mod boot_clock;

pub use boot_clock::{BootClock, wall_millis};
