//! Random numbers that tell processes and connections apart.

use rand::{TryRng, rngs::SysRng};

/// A random number from the operating system.
pub fn random_nonce() -> u64 {
    SysRng
        .try_next_u64()
        .unwrap_or_else(|error| unreachable!("the system's random source always works: {error}"))
}
