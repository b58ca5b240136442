//! Random search for two owners of a key around returns of the store to earlier copies.
//!
//! `OWNER_SEEDS=0..1000 OWNER_JOBS=24 cargo test -p camphorcove-gateway --test owner_search --
//! --nocapture` plays the given seeds, that many at a time; without `OWNER_SEEDS`, fixed seeds are
//! played. Times depend on the machine, so a seed that fails need not fail each time.

mod support;

use {
    std::{env, ops::Range},
    support::search_region::search,
    tokio::task::JoinSet,
};

/// Seeds that are played without `OWNER_SEEDS`.
const SEEDS: Range<u64> = 0..4;

/// Seeds that are played at the same time without `OWNER_JOBS`.
const JOBS: usize = 4;

fn seeds() -> Range<u64> {
    let Ok(text) = env::var("OWNER_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("OWNER_SEEDS is FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Guards against two servers that hold the same keys, and tokens that are given out again, after the
/// store has returned to earlier copies while hosts are killed, frozen or cut from the store, leaders
/// end in quick succession, and servers are cut or restarted under their ids.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_has_two_owners_after_the_store_has_returned() {
    let jobs = env::var("OWNER_JOBS").map_or(JOBS, |text| text.parse().expect("a number"));
    let mut seeds = seeds();
    let mut plays = JoinSet::new();
    let mut failed = Vec::new();
    let mut played = 0;
    loop {
        while plays.len() < jobs
            && let Some(seed) = seeds.next()
        {
            plays.spawn(async move { (seed, search(seed).await) });
        }
        let Some(play) = plays.join_next().await else {
            break;
        };
        let (seed, found) = play.expect("a play that ends");
        played += 1;
        if !found.is_empty() {
            println!("seed {seed}: {found:#?}");
            failed.push(seed);
        }
    }
    println!("{played} seeds played");
    assert_eq!(failed, Vec::<u64>::new());
}
