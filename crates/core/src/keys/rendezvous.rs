//! Rendezvous hashing: all hosts compute the same ranking without exchanging messages.

use {crate::ids::HostId, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Score of a candidate for a subject; the highest score wins.
pub fn rendezvous_score(subject: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(
        candidate.as_bytes(),
        xxhash_rust::xxh3::xxh3_64(subject.as_bytes()),
    )
}

/// Hosts ordered by their score for `subject`, best first; ties by id.
pub fn rank_hosts(subject: &str, hosts: &[HostId]) -> Vec<HostId> {
    let mut ranked: Vec<HostId> = hosts.to_vec();
    ranked.sort_by(|left, right| {
        let left_score = rendezvous_score(subject, left.as_str());
        let right_score = rendezvous_score(subject, right.as_str());
        right_score.cmp(&left_score).then_with(|| left.cmp(right))
    });
    ranked
}
