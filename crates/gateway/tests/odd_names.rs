//! Entries of other writers, under names that no server has, in a list of servers of several pages, at
//! hosts that run as processes of their own and are all restarted.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{key_header, request},
        entries::{config_entry, route_entry, server_entry},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::{PAGE_OBJECTS, StoreStandin},
    },
    nix::sys::signal::Signal,
    rstest::rstest,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::atomic::{AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    support::{
        peer_relay::RelayedHost,
        soak_callers::status_of,
        soak_host::{SoakHost, free_port},
    },
    tokio::time::sleep,
};

const HOSTS: usize = 3;

/// Time within which started hosts have to serve.
const START_TIME: Duration = Duration::from_secs(10);

/// Calls of each kind at each host, once they have had that time.
const CALLS: usize = 20;

/// Hosts, a server of a service without keys and one that owns keys.
struct NamedRegion {
    store: StoreStandin,
    hosts: Vec<SoakHost>,
    ledger: OwnershipLedger,
    _servers: Vec<OwningServer>,
    /// Number of calls so far.
    calls: AtomicUsize,
}

/// Fills the first page of the list but for its last place. The servers that callers need are on the
/// second page.
fn fill_first_page(store: &StoreStandin, prefix: &str) {
    for number in 0..PAGE_OBJECTS - 1 {
        let name = format!("{prefix}{number:03}");
        let entry = server_entry("other", unused_address(), "ready", 1);
        store.put("servers", &name, entry);
    }
}

fn unused_address() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

async fn named_region(case: usize, earlier: &str) -> NamedRegion {
    let (store, address) = StoreStandin::start().await;
    let routes = [
        route_entry("read", "safe", "plain"),
        route_entry("key", "safe", "keyed"),
    ];
    store.put("config", "main", config_entry("00000002", &routes));
    fill_first_page(&store, earlier);
    let ledger = OwnershipLedger::default();
    let mut servers = Vec::new();
    for (id, service) in [("s-plain", "plain"), ("s-keyed", "keyed")] {
        let server = OwningServer::start(id, &ledger).await;
        store.put(
            "servers",
            id,
            server_entry(service, server.address, "ready", 1),
        );
        servers.push(server);
    }
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let peers = free_port();
        let relayed = RelayedHost {
            public: peers,
            own: peers,
        };
        hosts.push(SoakHost::start(case as u64, number, address, relayed).await);
    }
    NamedRegion {
        store,
        hosts,
        ledger,
        _servers: servers,
        calls: AtomicUsize::default(),
    }
}

impl NamedRegion {
    /// Statuses of one call of each kind at each host; 0 for a call without an answer.
    async fn call_all(&self) -> Vec<u16> {
        let mut statuses = Vec::new();
        for host in &self.hosts {
            for (path, header) in [("/read/a", String::new()), ("/key/a", key_header(7))] {
                let number = self.calls.fetch_add(1, Ordering::Relaxed);
                let text = request("GET", path, &format!("r{number}"), &header, "");
                statuses.push(status_of(host.callers, &text).await.unwrap_or(0));
            }
        }
        statuses
    }

    /// Waits until all calls are served, for [`START_TIME`] at most.
    async fn until_served(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < START_TIME {
            if self.call_all().await.iter().all(|status| *status == 200) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn restart_all(&self) {
        let restarts = self
            .hosts
            .iter()
            .map(|host| host.restart(Signal::SIGKILL, None));
        futures_util::future::join_all(restarts).await;
    }
}

/// Guards against one entry whose name, on the way into a query, ends the list or changes what is
/// asked for: hosts that started while it stood last on its page served nobody.
#[rstest]
#[case::blank(1, "a-", "a-499 x")]
#[case::ampersand(2, "!", "&x")]
#[case::parameter(3, "a-", "a-499&Watch=1")]
#[case::plus(4, "!", "+x")]
#[case::number_sign(5, "!", "#x")]
#[case::percent(6, "a-", "s%FF")]
#[case::escaped_character(7, "a-", "s%7a")]
#[case::quotation_mark(8, "a-", "a-499\"x")]
#[case::line_end(9, "a-", "a-499\r\nX: y")]
#[case::control_character(10, "a-", "a-499\u{0}")]
#[case::other_scripts(11, "a-", "a-499å岛🏝")]
#[case::slash(12, "a-", "a-499/../x?y")]
#[case::long(13, "a-", &"a-499".repeat(20_000))]
#[case::long_of_another_script(14, "a-", &"a-499岛".repeat(9_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_of_any_name_leaves_the_others_in_use_after_a_restart_of_all_hosts(
    #[case] case: usize,
    #[case] earlier: &str,
    #[case] name: &str,
) {
    let region = named_region(case, earlier).await;
    assert!(region.until_served().await, "the hosts do not serve");
    let odd = server_entry("plain", unused_address(), "resting", 1);

    region.store.put("servers", name, odd);
    region.restart_all().await;
    let is_served = region.until_served().await;
    let mut statuses = BTreeMap::new();
    for _ in 0..CALLS {
        for status in region.call_all().await {
            *statuses.entry(status).or_insert(0) += 1;
        }
    }

    assert!(is_served, "not served in {START_TIME:?}, then {statuses:?}");
    let expected = BTreeMap::from([(200, CALLS * HOSTS * 2)]);
    assert_eq!(statuses, expected);
    assert_eq!(region.ledger.violations(), Vec::<String>::new());
}

/// Lists that a loss of history causes at each host while an odd entry stands.
const FURTHER_LISTS: usize = 5;

/// Longest line of a log, in bytes, with room for a few long names.
const LINE_LIMIT: usize = 8 << 10;

/// Guards against an entry that is logged with each list, and a name of any length that makes lines as
/// long: a host keeps some 2,000 of them in memory.
#[rstest]
#[case::short(21, "a-499 &+#%\n")]
#[case::long(22, &"a-499#岛".repeat(40_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entry_is_logged_once_and_shortened(#[case] case: usize, #[case] name: &str) {
    let region = named_region(case, "a-").await;
    let odd = server_entry("plain", unused_address(), "resting", 1);
    region.store.put("servers", name, odd);
    assert!(region.until_served().await, "the hosts do not serve");

    for number in 0..FURTHER_LISTS {
        let filler = server_entry("other", unused_address(), "ready", 2 + number as u64);
        region.store.put("servers", "a-000", filler);
        region.store.compact();
        sleep(Duration::from_millis(1_200)).await;
    }

    for host in &region.hosts {
        let lines = host.log_lines();
        let odd = lines
            .iter()
            .filter(|line| line.contains("ignoring server entry"));
        let longest = lines.iter().map(String::len).max();
        assert_eq!(odd.count(), 1);
        assert!(longest <= Some(LINE_LIMIT), "{longest:?}");
        for line in &lines {
            let decoded = serde_json::from_str::<serde_json::Value>(line);
            assert!(decoded.is_ok(), "{line}");
        }
    }
}
