//! Power of two choices.

use {super::LoadTracker, crate::time::BootTime};

/// A server that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct ServerCandidate<'a> {
    /// Position in the routing map.
    pub index: usize,
    /// Relative speed.
    pub weight: u32,
    /// Load and failures.
    pub tracker: &'a LoadTracker,
}

/// Picks the less loaded of two random candidates; `draw` is uniform.
///
/// Ejected candidates are passed over, but never more than half of all: if more
/// fail at once, the cause is probably not the servers.
pub fn choose_server(
    candidates: &[ServerCandidate<'_>],
    draw: u64,
    now: BootTime,
) -> Option<usize> {
    let ejected = |candidate: &&ServerCandidate<'_>| candidate.tracker.ejected(now);
    let count = candidates.iter().filter(ejected).count();
    let passed_over = count.min(candidates.len() / 2);
    let usable = candidates.len() - passed_over;
    if usable == 0 {
        return None;
    }
    let pick = |nth: usize| {
        let mut left = passed_over;
        let stays = |candidate: &&ServerCandidate<'_>| {
            let skip = left > 0 && candidate.tracker.ejected(now);
            left -= usize::from(skip);
            !skip
        };
        candidates.iter().filter(stays).nth(nth)
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
    let better = if busier(first, second, now) {
        second
    } else {
        first
    };
    Some(better.index)
}

/// Whether `left` has more load per weight, with the request to be placed included.
fn busier(left: &ServerCandidate<'_>, right: &ServerCandidate<'_>, now: BootTime) -> bool {
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
