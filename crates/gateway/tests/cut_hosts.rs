//! Hosts that reach no server, while callers, the store and other hosts reach them.

mod support;

use {
    rstest::rstest,
    std::time::Duration,
    support::server_links::{CuttableRegion, LinkCut, ServedShare, cuttable_region},
};

/// Time after a cut from which callers of the host have to be served.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time for which requests are counted.
const COUNT_TIME: Duration = Duration::from_secs(2);

/// Callers for each kind of request and host after the cut: more than had open connections to servers.
const CALLERS: usize = 3;

/// Least share of first tries that such a host serves, of the share that the other hosts serve.
const LEAST_SHARE: f64 = 2.0 / 3.0;

/// Cuts the first hosts of a region that do not lead; returns which ones.
fn cut_followers(region: &CuttableRegion, count: usize, cut: LinkCut) -> Vec<bool> {
    let mut left = count;
    let mut is_cut = Vec::new();
    for host in &region.hosts {
        let cuts = left > 0 && !host.host.state.is_leader();
        left -= usize::from(cuts);
        if cuts {
            host.cut(cut);
        }
        is_cut.push(cuts);
    }
    is_cut
}

/// Shares served by the hosts that are cut, and by the others.
fn compare(shares: &[ServedShare], is_cut: &[bool]) -> (f64, f64) {
    let sum = |cut: bool| {
        let mut sum = ServedShare::default();
        for (share, _) in shares.iter().zip(is_cut).filter(|(_, is)| **is == cut) {
            sum.sent += share.sent;
            sum.served += share.served;
        }
        sum.value()
    };
    (sum(true), sum(false))
}

/// Guards against hosts that refuse nearly everything because they reach no server themselves.
#[rstest]
#[tokio::test]
async fn callers_of_hosts_without_servers_are_served_by_way_of_other_hosts(
    #[values(LinkCut::Hanging, LinkCut::Reset, LinkCut::NewRefused)] cut: LinkCut,
    #[values(1, 3)] count: usize,
) {
    let region = cuttable_region(5).await;
    region.load(1, Duration::from_millis(500)).await;
    let is_cut = cut_followers(&region, count, cut);
    region.load(CALLERS, NOTICE_TIME).await;

    let shares = region.load(CALLERS, COUNT_TIME).await;

    let (cut_share, other_share) = compare(&shares, &is_cut);
    assert!(
        cut_share >= LEAST_SHARE * other_share,
        "{cut_share:.2} of {other_share:.2}: {shares:?}"
    );
    assert_eq!(region.violations(), Vec::<String>::new());
}
