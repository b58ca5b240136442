//! Hosts that reach no server, while callers, the store and other hosts reach them.

mod support;

use {
    camphorcove_platform_standin::caller::{call, request},
    rstest::rstest,
    std::time::{Duration, Instant},
    support::{
        fixtures::table,
        server_links::{CuttableHost, CuttableRegion, LinkCut, ServedShare, cuttable_region},
    },
    tokio::time::sleep,
};

/// Time after a cut from which callers of the host have to be served.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time for which requests are counted.
const COUNT_TIME: Duration = Duration::from_secs(2);

/// Time after which keys have owners again whose leader has lost its servers: leases of its grants may
/// have to end first.
const KEY_TIME: Duration = Duration::from_secs(8);

/// Time after which a host is asked again that could not take a request.
const LEFT_OUT_TIME: Duration = Duration::from_millis(1_200);

/// Longest time until a request is refused that no host can send to a server.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Callers for each kind of request and host after the cut: more than had open connections to servers.
const CALLERS: usize = 3;

/// Least share of first tries that such a host serves, of the share that the other hosts serve.
const LEAST_SHARE: f64 = 2.0 / 3.0;

/// Cuts the first hosts of a region that do not lead; returns which ones.
async fn cut_followers(region: &CuttableRegion, count: usize, cut: LinkCut) -> Vec<bool> {
    let mut left = count;
    let mut is_cut = Vec::new();
    for host in &region.hosts {
        let cuts = left > 0 && !host.is_leader();
        left -= usize::from(cuts);
        if cuts {
            host.cut(cut).await;
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
    let is_cut = cut_followers(&region, count, cut).await;
    region.load(CALLERS, NOTICE_TIME).await;

    let shares = region.load(CALLERS, COUNT_TIME).await;

    let (cut_share, other_share) = compare(&shares, &is_cut);
    assert!(
        cut_share >= LEAST_SHARE * other_share,
        "{cut_share:.2} of {other_share:.2}: {shares:?}"
    );
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against requests that go round between hosts, wait or run twice while no host reaches a server.
#[tokio::test]
async fn callers_are_refused_at_once_and_truly_while_no_host_reaches_a_server() {
    let region = cuttable_region(3).await;
    region.load(1, Duration::from_millis(500)).await;
    for host in &region.hosts {
        host.cut(LinkCut::Reset).await;
    }
    region.load(CALLERS, NOTICE_TIME).await;
    let taken = |host: &CuttableHost| host.count(|counters| &counters.relays_taken);
    let before: Vec<u64> = region.hosts.iter().map(taken).collect();
    sleep(Duration::from_secs(1)).await;

    let started = Instant::now();
    let response = region.read_at(0).await;
    let took = started.elapsed();

    let after: Vec<u64> = region.hosts.iter().map(taken).collect();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after"), "{response:?}");
    assert!(took < REFUSAL_TIME, "{took:?}");
    assert_eq!(before, after);
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against hosts that cannot hand requests on once there is no leader, or do so unsafely.
#[tokio::test]
async fn hosts_without_a_leader_hand_requests_to_hosts_that_they_know() {
    let region = cuttable_region(4).await;
    region.load(1, Duration::from_millis(500)).await;
    let is_cut = cut_followers(&region, 1, LinkCut::Reset).await;
    region.load(CALLERS, NOTICE_TIME).await;
    for host in &region.hosts {
        host.leader.actor.kill();
    }

    let shares = region.load_plain(CALLERS, COUNT_TIME).await;

    let (cut_share, other_share) = compare(&shares, &is_cut);
    assert!(cut_share >= LEAST_SHARE * other_share, "{shares:?}");
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against hosts that stay without servers after a cut, or miss the next one.
#[tokio::test]
async fn hosts_that_are_cut_in_series_are_served_for_and_serve_again() {
    let region = cuttable_region(4).await;
    region.load(1, Duration::from_millis(500)).await;
    for round in 0..3 {
        let cut = [LinkCut::Reset, LinkCut::Hanging, LinkCut::NewRefused][round];
        let is_cut = cut_followers(&region, 1 + round % 2, cut).await;
        region.load(CALLERS, NOTICE_TIME).await;
        let shares = region.load(CALLERS, COUNT_TIME).await;
        let (cut_share, other_share) = compare(&shares, &is_cut);
        assert!(
            cut_share >= LEAST_SHARE * other_share,
            "{cut:?}: {shares:?}"
        );
        for host in &region.hosts {
            host.heal();
        }
        region.load(CALLERS, NOTICE_TIME).await;
        let lacking = region.hosts.iter().filter(|host| host.lacks_servers());
        assert_eq!(lacking.count(), 0, "after {cut:?}");
    }
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against callers that pass for hosts, and against a second hop.
#[rstest]
#[case::without_proof("")]
#[case::with_another_proof("camphorcove-relay: 2,1,00112233445566778899aabbccddeeff\r\n")]
#[tokio::test]
async fn request_without_proof_of_its_host_is_not_run(#[case] proof: &str) {
    let region = cuttable_region(2).await;
    let relays = region.hosts[0].host.state.settings.peers;
    let text = request("GET", "/read/a", "forged", proof, "");

    let response = call(relays, &text).await;

    assert_eq!(response.status, 403, "{response:?}");
    assert_eq!(region.ledger.runs("forged"), 0);
}

/// Guards against a cut that passes for crashes of servers, so that all hosts withhold harmless requests.
#[tokio::test]
async fn cut_host_does_not_suspect_requests_of_crashing_servers() {
    let region = cuttable_region(3).await;
    region.load(CALLERS, Duration::from_millis(500)).await;

    for _ in 0..3 {
        let cutting = async {
            sleep(Duration::from_millis(300)).await;
            cut_followers(&region, 2, LinkCut::Reset).await;
        };
        tokio::join!(region.load(CALLERS, Duration::from_millis(900)), cutting);
        for host in &region.hosts {
            host.heal();
        }
        region.load(CALLERS, Duration::from_millis(700)).await;
    }

    let suspecting = region.hosts.iter().filter(|host| host.has_suspects());
    assert_eq!(suspecting.count(), 0);
}
/// Guards against a leader that reaches no servers and goes on leading, or is followed by one like it:
/// requests with keys find no owners then.
#[rstest]
#[tokio::test]
async fn keys_are_served_while_the_leader_and_other_hosts_reach_no_servers(
    #[values(LinkCut::Hanging, LinkCut::Reset)] cut: LinkCut,
) {
    let region = cuttable_region(5).await;
    region.load(1, Duration::from_millis(500)).await;
    let mut is_cut = cut_followers(&region, 2, cut).await;
    let leader = region.hosts.iter().position(CuttableHost::is_leader);
    let leader = leader.expect("a leader");
    region.hosts[leader].cut(cut).await;
    is_cut[leader] = true;
    region.load(CALLERS, KEY_TIME).await;

    let shares = region.load(CALLERS, COUNT_TIME).await;

    let leads = region.hosts.iter().zip(&is_cut);
    let leads = leads
        .filter(|(host, _)| host.is_leader())
        .map(|(_, cut)| *cut);
    assert_eq!(leads.collect::<Vec<_>>(), [false]);
    let (cut_share, other_share) = compare(&shares, &is_cut);
    assert!(other_share >= LEAST_SHARE, "{shares:?}");
    assert!(cut_share >= LEAST_SHARE * other_share, "{shares:?}");
}

/// Guards against a request that an older configuration decides, because the host that gets it has not heard
/// of the one in force at its first host.
#[tokio::test]
async fn request_is_not_handed_to_a_host_with_an_older_configuration() {
    let region = cuttable_region(3).await;
    region.load(1, Duration::from_millis(500)).await;
    let is_cut = cut_followers(&region, 1, LinkCut::Reset).await;
    let cut = is_cut
        .iter()
        .position(|is_cut| *is_cut)
        .expect("a follower");
    region.load(CALLERS, NOTICE_TIME).await;
    region.hosts[cut].host.state.set_table(table(2));

    let before = region.read_at(cut).await;
    for host in &region.hosts {
        host.host.state.set_table(table(2));
    }
    sleep(LEFT_OUT_TIME).await;
    let after = region.read_at(cut).await;

    assert_eq!((before.status, after.status), (503, 200), "{before:?}");
}
