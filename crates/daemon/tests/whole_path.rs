//! End-to-end test with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use processes::{Region, RegionPlan, keys};

/// A request to any host must run on the one server that owns its key. Guards against faults
/// anywhere between configuration, assignment, grants, maps and requests.
#[tokio::test(flavor = "multi_thread")]
async fn every_host_routes_a_key_to_its_one_owner() {
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
