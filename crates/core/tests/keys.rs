//! Hashing of keys: a changed hash would move keys to other owners during an upgrade.

use {
    camphorcove_core::{
        ids::{HostId, ShardId},
        keys::{KeyHash, rank_hosts, shard_of},
    },
    rstest::rstest,
};

fn hosts(count: usize) -> Vec<HostId> {
    (0..count)
        .map(|index| format!("host-{index}").parse().unwrap())
        .collect()
}

#[rstest]
#[case("", 0x2d06_8005_38d3_94c2)]
#[case("raft-17", 0x7be9_c6c4_d629_5909)]
fn hash_of_a_key_never_changes(#[case] key: &str, #[case] expected: u64) {
    let hash = KeyHash::of(key.as_bytes());

    assert_eq!(hash.0, expected, "hash of {key:?} is {:#x}", hash.0);
}

#[test]
fn shards_cover_the_hash_range() {
    assert_eq!(shard_of(KeyHash(0), 4_096), ShardId(0));
    assert_eq!(shard_of(KeyHash(u64::MAX), 4_096), ShardId(4_095));
}

#[test]
fn removing_a_host_keeps_the_order_of_the_others() {
    let all = hosts(10);
    let ranked = rank_hosts("ledig", &all);
    let without_first: Vec<HostId> = all.into_iter().filter(|host| *host != ranked[0]).collect();

    let ranked_without = rank_hosts("ledig", &without_first);

    assert_eq!(ranked_without, ranked[1..]);
}
