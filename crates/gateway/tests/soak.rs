//! Real host processes under random faults; callers and servers check the guarantees.
//!
//! `SOAK_SEEDS=1000..1050 cargo test -p camphorcove-gateway --test soak -- --nocapture`
//! runs the given seeds; without `SOAK_SEEDS`, a few fixed seeds are run. `SOAK_HOSTS=60` runs them
//! with 60 hosts and servers in proportion.

mod support;

use {
    std::{env, ops::Range, time::Duration},
    support::soak_region::SoakRegion,
    tokio::time::sleep,
};

/// Number of faults that are injected for each seed.
const FAULTS_PER_SEED: usize = 8;

/// Longest time until all keyed requests are served, at the start and after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Seeds that are run without `SOAK_SEEDS`: one arbitrary seed, and each seed that ever failed.
/// With 139, half of the owners were lost, and every leader resigned instead of moving keys.
/// With 20, a server that had started again under its id and address carried out a grant for its
/// earlier incarnation, which the leader took for ended.
/// With 9401, a stopping host reset a connection that waited in the backlog of its listener.
/// With 9534, a stopping host closed the connection of a request that still waited for a server.
const SEEDS: [u64; 5] = [1, 20, 139, 9_401, 9_534];

fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let seeds: Range<u64> = from.parse().expect("a seed")..to.parse().expect("a seed");
    seeds.collect()
}

/// Number of hosts for runs by hand at a larger size; `None` for the usual number.
fn host_count() -> Option<usize> {
    let text = env::var("SOAK_HOSTS").ok()?;
    Some(text.parse().expect("SOAK_HOSTS is a number of hosts"))
}

/// Guards against two owners of a key, at-most-once requests that run twice, requests that ran
/// although they were refused as not run, more requests than a server takes, requests for
/// servers that have announced to leave or want none, wrong responses, a planned stop that fails, and keys
/// that remain without an owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults() {
    for seed in seeds() {
        let mut region = SoakRegion::start(seed, host_count()).await;
        assert!(
            region.wait_until_served(RECOVERY_LIMIT).await,
            "seed {seed}: never served"
        );
        region.start_callers();

        for _ in 0..FAULTS_PER_SEED {
            let backup = region.back_up();
            region.start_crash_series();
            region.start_stop_series();
            region.disturb_links();
            region.inject_fault().await;
            region.change_limits();
            region.spoil_answers();
            region.give_hints().await;
            region.restore_store(backup).await;
            sleep(Duration::from_millis(400)).await;
        }
        region.end_running_faults().await;
        region.end_crash_series().await;
        region.check_limits().await;
        let served = region.wait_until_served(RECOVERY_LIMIT).await;
        let serves_similar = region.serves_similar(RECOVERY_LIMIT).await;
        let violations = region.finish().await;

        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        assert!(served, "seed {seed}: not served after the faults");
        assert!(
            serves_similar,
            "seed {seed}: requests that resemble harmful ones are refused"
        );
        println!("seed {seed} passed");
    }
}
