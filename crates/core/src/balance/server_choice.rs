//! Server choice by the power of two choices: the less loaded of two random servers.

use {super::LoadTracker, crate::time::BootTime};

/// A server that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct ServerCandidate<'a> {
    /// Index of the server in the routing map.
    pub index: usize,
    /// Relative speed; a server of ordinary speed has 100.
    pub weight: u32,
    /// Load and failures of the server.
    pub tracker: &'a LoadTracker,
}

/// Returns the index of the less loaded of two random candidates, or `None` without candidates.
///
/// `draw` is a uniformly distributed random number. Ejected candidates are skipped, but at most
/// half of all: if more of them fail at once, the cause is probably not the servers.
pub fn choose_server(
    candidates: &[ServerCandidate<'_>],
    draw: u64,
    now: BootTime,
) -> Option<usize> {
    let ejected = |candidate: &&ServerCandidate<'_>| candidate.tracker.is_ejected(now);
    let ejected_count = candidates.iter().filter(ejected).count();
    let skipped = ejected_count.min(candidates.len() / 2);
    let usable = candidates.len() - skipped;
    if usable == 0 {
        return None;
    }
    let pick = |nth: usize| {
        let mut left_to_skip = skipped;
        let is_usable = |candidate: &&ServerCandidate<'_>| {
            let skip = left_to_skip > 0 && candidate.tracker.is_ejected(now);
            left_to_skip -= usize::from(skip);
            !skip
        };
        candidates.iter().filter(is_usable).nth(nth)
    };
    let first_index = remainder(draw >> 32, usable);
    let first = pick(first_index)?;
    if usable == 1 {
        return Some(first.index);
    }
    let offset = 1 + remainder(draw & u64::from(u32::MAX), usable - 1);
    let Some(second) = pick((first_index + offset) % usable) else {
        return Some(first.index);
    };
    let better = if is_busier(first, second, now) {
        second
    } else {
        first
    };
    Some(better.index)
}

/// Whether `left` has more load per weight than `right`, counting the new request on both.
fn is_busier(left: &ServerCandidate<'_>, right: &ServerCandidate<'_>, now: BootTime) -> bool {
    let load = |candidate: &ServerCandidate<'_>| u128::from(candidate.tracker.load(now) + 1_000);
    let weight = |candidate: &ServerCandidate<'_>| {
        u128::from(candidate.tracker.weight(candidate.weight, now))
    };
    load(left) * weight(right) > load(right) * weight(left)
}

fn remainder(number: u64, count: usize) -> usize {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(number % count).unwrap_or(0)
}
