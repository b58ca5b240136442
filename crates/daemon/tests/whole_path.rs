//! The whole path with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use processes::{Region, RegionPlan, keys};

/// Guards against any break between configuration, assignment, grants, maps and
/// requests: a request to any host must run at the key's one owner.
#[tokio::test(flavor = "multi_thread")]
async fn any_host_answers_by_the_keys_one_owner() {
    let region = Region::serving(RegionPlan::new("whole-path")).await;
    let mut owners = std::collections::BTreeSet::new();

    for key in keys() {
        let mut seen = Vec::new();
        for daemon in &region.daemons {
            let (owner, run) = region
                .owner_of(daemon, &key)
                .await
                .expect("an owner runs it");
            assert!(run.token.is_some(), "a keyed request carries its token");
            seen.push((owner, run.shard, run.token));
        }
        owners.insert(seen[0].0);
        assert!(
            seen.iter().all(|owner| *owner == seen[0]),
            "hosts disagree on the owner of {key}: {seen:?}"
        );
    }

    assert!(owners.len() > 1, "the shards are spread over the servers");
    region.assert_exclusive();
}
