//! Random numbers that identify processes and connections.

use rand::{TryRng, rngs::SysRng};

/// Generates a number with the operating system's secure random generator.
pub fn random_nonce() -> u64 {
    SysRng
        .try_next_u64()
        .unwrap_or_else(|error| unreachable!("the system's random source always works: {error}"))
}
