//! Entries among those of the servers that another writer has left.

mod support;

use {
    camphorcove_core::fleet::ServerPhase,
    camphorcove_gateway::{
        state::HostState,
        watch::{ConfigFollower, FleetFollower, OddEntries, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        entries::{config_entry, route_entry, server_entry},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{fixtures::host_state, owned_region::until},
    tokio::time::sleep,
};

/// Time within which a change has to be known.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Nesting depth far beyond what a recursive decoder can bear.
const DEPTH: usize = 100_000;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn server(port: u16) -> serde_json::Value {
    server_entry("plain", address(port), "ready", 5)
}

/// Entry of a server with another text in place of a part of it.
fn changed(part: &str, replacement: &str) -> String {
    let text = server(9_000).to_string();
    assert!(text.contains(part), "{text}");
    text.replacen(part, replacement, 1)
}

fn nested(open: &str, close: &str) -> String {
    format!("{}{}", open.repeat(DEPTH), close.repeat(DEPTH))
}

/// Contents that no server writes.
fn odd_contents() -> Vec<(&'static str, String)> {
    let nested_field = format!("\"Slots\":4,\"x\":{}", nested("[", "]"));
    vec![
        ("nested lists", nested("[", "]")),
        (
            "nested objects",
            format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH)),
        ),
        ("nested field", changed("\"Slots\":4", &nested_field)),
        ("large number", changed("\"Slots\":4", "\"Slots\":1e999")),
        (
            "large number elsewhere",
            changed("\"Sequence\":1", "\"Sequence\":-1e999"),
        ),
        (
            "many digits",
            changed("\"Slots\":4", &format!("\"Slots\":{}", "9".repeat(5_000))),
        ),
        (
            "more slots than fit",
            changed("\"Slots\":4", "\"Slots\":4294967296"),
        ),
        (
            "large time",
            changed("\"born\":5", "\"born\":18446744073709551616"),
        ),
        ("negative time", changed("\"born\":5", "\"born\":-1")),
        (
            "endless warm-up",
            changed("\"WarmupLeftS\":0", "\"WarmupLeftS\":1e400"),
        ),
        (
            "port out of range",
            changed("127.0.0.1:9000", "127.0.0.1:99999"),
        ),
        ("negative port", changed("127.0.0.1:9000", "127.0.0.1:-1")),
        ("port 0", changed("127.0.0.1:9000", "127.0.0.1:0")),
        (
            "no address of a host",
            changed("127.0.0.1:9000", "0.0.0.0:9000"),
        ),
        ("half a character", changed("\"ready\"", "\"\\ud800\"")),
        ("unknown state", changed("\"ready\"", "\"resting\"")),
        ("other types", "[1,2,3]".into()),
        ("nothing", "null".into()),
    ]
}

async fn following_host(store: SocketAddr) -> Arc<HostState> {
    let state = host_state();
    let client = StoreClient::new(store, Duration::from_millis(400));
    let follower = ConfigFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client.clone(), follower));
    let follower = FleetFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client, follower));
    state
}

/// Ids of the servers that get requests.
fn servers(state: &HostState) -> Vec<String> {
    state.expire_fleet();
    let fleet = state.fleet();
    let ready = fleet
        .entries()
        .filter(|entry| entry.phase == ServerPhase::Ready);
    ready.map(|entry| entry.id.to_string()).collect()
}

async fn store_with_server() -> (StoreStandin, SocketAddr) {
    let (store, address) = StoreStandin::start().await;
    let routes = [route_entry("a", "safe", "plain")];
    store.put("config", "main", config_entry("00000002", &routes));
    store.put("servers", "s-1", server(9_001));
    (store, address)
}

/// Guards against one odd entry that keeps hosts from following the list of servers, or ends them:
/// those that follow it when the entry comes, and those that start later.
#[tokio::test]
async fn odd_entry_keeps_no_host_from_following_the_servers() {
    for (what, content) in odd_contents() {
        let (store, address) = store_with_server().await;
        let early = following_host(address).await;
        until("listed", || servers(&early) == ["s-1"]).await;

        store.put_raw("servers", "s-0", &content);
        store.put("servers", "s-2", server(9_002));
        let late = following_host(address).await;

        let known = || servers(&early) == ["s-1", "s-2"] && servers(&late) == ["s-1", "s-2"];
        let took = until(what, known).await;
        assert!(took < APPLY_LIMIT, "{what}: {took:?}");
        assert!(!early.lacks_store() && !late.lacks_store(), "{what}");
        store.remove("servers", "s-1");
        let took = until(what, || {
            servers(&early) == ["s-2"] && servers(&late) == ["s-2"]
        })
        .await;
        assert!(took < APPLY_LIMIT, "{what}: {took:?}");
    }
}

/// Guards against a server that stays in use although its entry no longer names one, at hosts that
/// watch, while hosts that list do not use it.
#[rstest]
#[case::large_number("{\"Slots\":1e999}")]
#[case::other_types("7")]
#[tokio::test]
async fn server_whose_entry_becomes_odd_is_used_by_no_host_until_it_writes_again(
    #[case] content: &str,
) {
    let (store, address) = store_with_server().await;
    store.put("servers", "s-2", server(9_002));
    let early = following_host(address).await;
    until("listed", || servers(&early) == ["s-1", "s-2"]).await;

    store.put_raw("servers", "s-1", content);
    sleep(APPLY_LIMIT).await;
    let late = following_host(address).await;
    until("listed", || servers(&late) == ["s-2"]).await;
    let odd = servers(&early);
    store.put("servers", "s-1", server(9_001));
    until("written again", || servers(&early) == ["s-1", "s-2"]).await;

    assert_eq!(odd, ["s-2"]);
}

/// Calls that list the servers.
fn list_calls(store: &StoreStandin) -> usize {
    let calls = store.calls();
    let lists = calls
        .iter()
        .filter(|call| call.contains("/objects/servers") && !call.contains("Watch"));
    lists.count()
}

/// How a listing of the servers ends after its first page.
#[derive(Clone, Copy, Debug)]
enum ListingFault {
    /// The second page is no JSON.
    Unreadable,
    /// The objects of the second page have no names.
    Unnamed,
    /// The first page comes again.
    Repeated,
    /// The store refuses the call for the second page.
    Refused,
}

impl ListingFault {
    fn begin(self, store: &StoreStandin) {
        match self {
            Self::Unreadable => store.put_raw_object("servers", "s-2x", "{{{"),
            Self::Unnamed => {
                for name in ["s-2x", "s-2y"] {
                    store.put_raw_object("servers", name, "{\"Metadata\":{}}");
                }
            }
            Self::Repeated => store.repeat_pages_after("s-2"),
            Self::Refused => store.refuse_pages(),
        }
    }
}

/// Guards against a page of the list that leaves hosts without the servers of the others: those that
/// have known the servers before and those that start later.
#[rstest]
#[case::unreadable(ListingFault::Unreadable)]
#[case::unnamed(ListingFault::Unnamed)]
#[case::repeated(ListingFault::Repeated)]
#[case::refused(ListingFault::Refused)]
#[tokio::test]
async fn page_that_cannot_be_read_hides_no_server_of_others(#[case] fault: ListingFault) {
    let (store, address) = store_with_server().await;
    store.set_page_objects(2);
    for number in 2..=4 {
        store.put("servers", &format!("s-{number}"), server(9_000 + number));
    }
    let early = following_host(address).await;
    let all = ["s-1", "s-2", "s-3", "s-4"];
    until("listed", || servers(&early) == all).await;

    fault.begin(&store);
    let late = following_host(address).await;
    until("first page", || servers(&late) == ["s-1", "s-2"]).await;
    store.compact();
    let calls = list_calls(&store);
    sleep(Duration::from_secs(2)).await;
    let further_calls = list_calls(&store) - calls;
    store.put("servers", "s-5", server(9_005));
    store.put_raw("servers", "s-1", "7");
    let known =
        || servers(&early) == ["s-2", "s-3", "s-4", "s-5"] && servers(&late) == ["s-2", "s-5"];
    let took = until("changes", known).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
    // One list of two calls at each host after the loss of history, and one by the clock.
    assert!(further_calls <= 8, "{further_calls}");
}

/// Guards against a host that never looks again for what an incomplete list lacked.
#[tokio::test]
async fn incomplete_list_is_completed_once_its_pages_can_be_read() {
    let (store, address) = store_with_server().await;
    store.set_page_objects(2);
    for number in 2..=4 {
        store.put("servers", &format!("s-{number}"), server(9_000 + number));
    }
    ListingFault::Unreadable.begin(&store);
    let host = following_host(address).await;
    until("first page", || servers(&host) == ["s-1", "s-2"]).await;

    store.remove("servers", "s-2x");

    until("all", || servers(&host) == ["s-1", "s-2", "s-3", "s-4"]).await;
}

/// Guards against an entry that is logged with each list, or so many entries that the log holds nothing else.
#[test]
fn odd_entry_is_news_once_until_it_can_be_used_again() {
    let mut entries = OddEntries::default();

    let first = entries.is_news("a&b");
    let again = entries.is_news("a&b");
    entries.forget("a&b");
    let after_use = entries.is_news("a&b");
    let others = (0..10_000).map(|number| entries.is_news(&format!("a#{number}")));

    assert_eq!([first, again, after_use], [true, false, true]);
    assert_eq!(others.filter(|is_news| *is_news).count(), 255);
}

/// Guards against servers that a host never learns of: it took an incomplete list for complete when the
/// repetition failed, as the store was down, while messages of the leader arrived.
#[rstest]
#[case::store_up(false)]
#[case::store_down_for_a_while(true)]
#[tokio::test]
async fn incomplete_list_is_completed_after_a_failed_repetition(#[case] is_down: bool) {
    let (store, address) = store_with_server().await;
    store.set_page_objects(2);
    for number in 2..=4 {
        store.put("servers", &format!("s-{number}"), server(9_000 + number));
    }
    store.refuse_pages();
    let host = following_host(address).await;
    until("first page", || servers(&host) == ["s-1", "s-2"]).await;
    let fed = host.clone();
    tokio::spawn(async move {
        loop {
            fed.record_digest(false);
            sleep(Duration::from_millis(100)).await;
        }
    });

    store.set_down(is_down);
    sleep(Duration::from_secs(9)).await;
    store.set_down(false);
    store.accept_pages();

    until("all", || servers(&host) == ["s-1", "s-2", "s-3", "s-4"]).await;
}
