//! Changes of shard owners, and their text in audit records.

use {
    crate::{
        ids::{FencingToken, ServerId},
        scope::MoveReason,
    },
    std::collections::BTreeMap,
};

/// Change of one shard's owner.
pub(super) struct ShardChange {
    pub(super) shard: usize,
    pub(super) from: Option<ServerId>,
    pub(super) to: ServerId,
    pub(super) token: FencingToken,
    pub(super) reason: MoveReason,
}

/// Returns one audit line for all shards with the same old owner, new owner, token and reason.
pub(super) fn audit_lines(changes: &[ShardChange]) -> Vec<String> {
    let mut groups: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for change in changes {
        let from = change.from.as_ref().map_or("-", ServerId::as_str);
        let reason = format!("{:?}", change.reason).to_lowercase();
        let rest = format!("{from} {} {} {reason}", change.to, change.token);
        groups.entry(rest).or_default().push(change.shard);
    }
    groups
        .into_iter()
        .map(|(rest, shards)| format!("{} {rest}", shard_ranges(&shards)))
        .collect()
}

/// Formats shard numbers as sorted ranges, such as `0-3,7`.
fn shard_ranges(shards: &[usize]) -> String {
    let mut sorted = shards.to_vec();
    sorted.sort_unstable();
    let mut ranges: Vec<(usize, usize)> = Vec::new();
    for shard in sorted {
        match ranges.last_mut() {
            Some((_, end)) if *end + 1 == shard => *end = shard,
            _ => ranges.push((shard, shard)),
        }
    }
    let texts: Vec<String> = ranges
        .into_iter()
        .map(|(start, end)| match start == end {
            true => start.to_string(),
            false => format!("{start}-{end}"),
        })
        .collect();
    texts.join(",")
}
