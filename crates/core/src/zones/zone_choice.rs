//! Choice of a server in one availability zone.

use {
    crate::dispatch::{Candidate, choose_server},
    rand::Rng,
    std::time::Duration,
};

/// Returns the index of the best candidate for which `is_in_zone` holds at its index; `None` if none of
/// these can take the request.
///
/// `target` is the target latency of the route.
pub fn choose_zone_server<R: Rng>(
    candidates: &[Candidate],
    is_in_zone: impl Fn(usize) -> bool,
    target: Duration,
    random: &mut R,
) -> Option<usize> {
    let mut indices = Vec::new();
    let mut in_zone = Vec::new();
    for (at, candidate) in candidates.iter().enumerate() {
        let takes_it = candidate.admitted && !candidate.reading.avoided && !candidate.tried;
        if !takes_it || !is_in_zone(at) {
            continue;
        }
        indices.push(at);
        in_zone.push(Candidate {
            local: true,
            ..*candidate
        });
    }
    choose_server(&in_zone, target, random).map(|at| indices[at])
}
