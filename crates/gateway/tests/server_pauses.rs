//! Servers that turn requests away and name a time for which they want none.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        owning_server::OwnershipLedger,
        scripted_server::{NOT_RUN_LINE, ScriptedServer, Step, complete_response, response},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::{
        fixtures::{
            TARGET_LATENCY, TestHost, entry, owners_with, start_host_with, start_listener, version,
        },
        leader_hosts::leader_host_with,
        single_host::{
            ELECTION_TIME, change_preferred_server, read, start_servers, start_single_host,
            update_entries,
        },
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Time for which servers turn requests away.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Longest time until a request is refused that no server may take: well below its time limit.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Longest time that is added to the rest of a pause in the answers to callers.
const LONGEST_SPREAD: Duration = Duration::from_millis(1_000);

/// Time that an answer tells its caller to wait.
fn retry_after(response: &CallerResponse) -> Duration {
    let line = response
        .head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let seconds = line
        .expect("a Retry-After header")
        .parse()
        .expect("a number");
    Duration::from_secs_f64(seconds)
}

/// Header lines by which a server turns a request away that it has not run.
fn not_run_lines(pause: &str) -> String {
    format!("{NOT_RUN_LINE}\r\nRetry-After: {pause}\r\nContent-Length: 0\r\n")
}

/// A host with one server of `service`, which plays these scripts and owns all keys.
async fn scripted_host(service: &str, scripts: Vec<Vec<Step>>) -> (TestHost, ScriptedServer) {
    let server = ScriptedServer::start(scripts).await;
    let entry = entry("s-1", service, server.address);
    let host = start_host_with(vec![entry.clone()]).await;
    host.state.set_owners(owners_with(&entry), version(1));
    (host, server)
}

/// Guards against requests for a server that wants none, and against callers who are refused
/// although another server can take their requests.
#[tokio::test]
async fn paused_server_gets_no_requests_and_others_serve() {
    const REQUESTS: usize = 40;
    let single = start_single_host("plain", 2).await;
    let ledger = &single.ledger;
    let turn_away = |server: &str| ledger.turn_away(server, PAUSE);
    let paused = change_preferred_server(&single.host, "plain", ledger, turn_away).await;
    let before = ledger.requests(paused);

    for _ in 0..REQUESTS {
        assert_eq!(single.read().await.status, 200);
    }

    assert_eq!(ledger.requests(paused), before);
    assert_eq!(single.host.state.paused_servers(), 1);
    assert_eq!(ledger.violations(), Vec::<String>::new());
}

/// Guards against callers who wait for a server that wants no requests, who are not told when it
/// takes them again, or who all come back at the same moment, and against requests that reach it
/// meanwhile.
#[rstest]
#[case::plain("plain", 2)]
#[case::owner("keyed", 1)]
#[tokio::test]
async fn callers_are_refused_at_once_until_the_first_pause_ends(
    #[case] service: &'static str,
    #[case] servers: usize,
) {
    const CALLERS: usize = 20;
    let single = start_single_host(service, servers).await;
    let started = Instant::now();
    single.ledger.turn_away("s-0", PAUSE);
    if servers > 1 {
        single.ledger.turn_away("s-1", PAUSE * 4);
    }
    single.read().await;
    let before = single.requests();
    sleep(Duration::from_millis(600)).await;

    let mut waits = Vec::new();
    for _ in 0..CALLERS {
        let asked = Instant::now();
        let refused = single.read().await;
        assert!(asked.elapsed() < REFUSAL_TIME, "{:?}", asked.elapsed());
        assert_eq!(refused.status, 503);
        assert!(refused.body.starts_with("not run"), "{}", refused.body);
        let end = asked.duration_since(started) + retry_after(&refused);
        assert!(end >= PAUSE && end < PAUSE + LONGEST_SPREAD, "{end:?}");
        waits.push(end);
    }
    let during = single.requests();
    sleep((PAUSE + LONGEST_SPREAD).saturating_sub(started.elapsed())).await;
    let after = single.read().await;

    assert_eq!(during, before);
    assert_eq!(after.status, 200);
    assert_eq!(single.ledger.violations(), Vec::<String>::new());
    let (first, last) = (waits.iter().min(), waits.iter().max());
    let spread = *last.expect("callers") - *first.expect("callers");
    assert!(spread >= Duration::from_millis(100), "{spread:?}");
}

/// Guards against a pause that ends early because a later answer names a shorter one.
#[tokio::test]
async fn latest_end_of_several_pauses_counts() {
    let mut long = vec![Step::Wait(Duration::from_millis(200))];
    long.extend(response("503 Busy", false, &not_run_lines("2"), ""));
    let mut short = vec![Step::Wait(Duration::from_millis(400))];
    short.extend(response("503 Busy", false, &not_run_lines("0.2"), ""));
    let (host, server) = scripted_host("keyed", vec![long, short, complete_response("fine")]).await;
    let (first, second) = tokio::join!(read(&host, "keyed"), read(&host, "keyed"));

    sleep(Duration::from_millis(400)).await;
    let third = read(&host, "keyed").await;

    assert_eq!((first.status, second.status, third.status), (503, 503, 503));
    assert!(retry_after(&third) >= Duration::from_secs(1));
    assert_eq!(server.log().requests.len(), 2);
}

/// Guards against requests for a server whose 503 does not say that the request was not run: it wants
/// no others either. The caller gets that answer, as the request may have run.
#[rstest]
#[tokio::test]
async fn answer_that_does_not_say_not_run_names_a_pause_too(
    #[values("plain", "keyed")] service: &str,
) {
    let lines = "Retry-After: 2\r\nContent-Length: 4\r\n";
    let busy = response("503 Busy", true, lines, "busy");
    let (host, server) = scripted_host(service, vec![busy, complete_response("fine")]).await;

    let first = read(&host, service).await;
    let second = read(&host, service).await;

    assert_eq!((first.status, first.body.as_str()), (503, "busy"));
    assert_eq!(second.status, 503);
    assert!(second.body.starts_with("not run"), "{}", second.body);
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against a server that gets no requests because of an answer other than 503, or because of
/// a value that is no time, or of no length.
#[rstest]
#[case::success("200 OK", "2")]
#[case::too_many("429 Too Many", "2")]
#[case::not_found("404 Not Found", "2")]
#[case::negative("503 Busy", "-2")]
#[case::no_number("503 Busy", "NaN")]
#[case::infinite("503 Busy", "inf")]
#[case::text("503 Busy", "soon")]
#[case::date("503 Busy", "Fri, 31 Dec 2027 23:59:59 GMT")]
#[case::zero("503 Busy", "0")]
#[tokio::test]
async fn other_answers_and_malformed_times_name_no_pause(
    #[case] status: &str,
    #[case] pause: &str,
    #[values("plain", "keyed")] service: &str,
) {
    let lines = format!("Retry-After: {pause}\r\nContent-Length: 0\r\n");
    let answer = response(status, true, &lines, "");
    let (host, server) = scripted_host(service, vec![answer, complete_response("fine")]).await;
    read(&host, service).await;

    let second = read(&host, service).await;

    assert_eq!(second.status, 200);
    assert!(server.log().requests.len() >= 2);
    assert_eq!(host.state.paused_servers(), 0);
}

/// Guards against a host that fails, or never uses a server again, because of an absurd time.
#[rstest]
#[case::whole("99999999999999999999")]
#[case::exponent("1e300")]
#[tokio::test]
async fn absurd_pause_is_bounded(#[case] pause: &str) {
    let busy = response("503 Busy", false, &not_run_lines(pause), "");
    let (host, server) = scripted_host("plain", vec![busy, complete_response("fine")]).await;

    let first = read(&host, "plain").await;
    let second = read(&host, "plain").await;

    assert_eq!((first.status, second.status), (503, 503));
    let longest = Duration::from_secs(600) + LONGEST_SPREAD;
    assert!(retry_after(&second) <= longest, "{}", second.head);
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against a pause that outlives the start of the server that named it, and against one that
/// ends because the entry is written again.
#[rstest]
#[case::later_start(2, 200)]
#[case::same_start(1, 503)]
#[tokio::test]
async fn pause_holds_for_the_start_of_the_server_that_named_it(
    #[case] incarnation: u64,
    #[case] status: u16,
) {
    let busy = response("503 Busy", false, &not_run_lines("5"), "");
    let (host, server) = scripted_host("plain", vec![busy, complete_response("fine")]).await;
    assert_eq!(read(&host, "plain").await.status, 503);
    let mut again = entry("s-1", "plain", server.address);
    again.incarnation = incarnation;
    update_entries(&host, 1, Vec::new(), vec![again.id.clone()]);
    sleep(Duration::from_millis(1_100)).await;
    host.state.expire_fleet();
    update_entries(&host, 2, vec![again], Vec::new());

    assert_eq!(read(&host, "plain").await.status, status);
}

/// Guards against a request that was given to a server before it named a pause and is sent after it:
/// the connection is opened meanwhile.
#[tokio::test]
async fn pause_is_checked_again_before_a_request_is_sent() {
    let busy = response("503 Busy", false, &not_run_lines("5"), "");
    let (host, server) = scripted_host("plain", vec![busy]).await;
    let entry = entry("s-1", "plain", server.address);
    let before = host.state.may_send_to(&entry);

    read(&host, "plain").await;

    assert!(before);
    assert!(!host.state.may_send_to(&entry));
}

/// Guards against a retry or a first attempt of a request that may run only once that reach a paused
/// server.
#[tokio::test]
async fn request_that_was_turned_away_is_not_sent_again_to_the_same_server() {
    let busy = response("503 Busy", false, &not_run_lines("1.5"), "");
    let (host, server) = scripted_host("plain", vec![busy, complete_response("fine")]).await;
    let started = Instant::now();

    let write = call(host.address, &request("POST", "/write/a", "r1", "", "x")).await;

    assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
    assert_eq!(write.status, 503);
    assert!(write.body.starts_with("not run"), "{}", write.body);
    assert!(retry_after(&write) >= Duration::from_millis(1_300));
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against an owner that loses its keys because it wants no requests for a while: grants and
/// renewals go on.
#[tokio::test]
async fn paused_owner_keeps_its_keys() {
    // Longer than a lease and the time after which an owner counts as lost.
    const LONG_PAUSE: Duration = Duration::from_secs(5);
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    ledger.assume_one_host();
    let (_servers, entries) = start_servers("keyed", 1, &ledger).await;
    let leader = leader_host_with("host-0", store, entries).await;
    let host = start_listener(leader.state).await;
    let limit = Instant::now() + ELECTION_TIME;
    while read(&host, "keyed").await.status != 200 {
        assert!(Instant::now() < limit, "never served");
        sleep(Duration::from_millis(50)).await;
    }
    let (owned, _) = host.state.owners().expect("owners are known");

    ledger.turn_away("s-0", LONG_PAUSE);
    let mut calls = JoinSet::new();
    let end = Instant::now() + LONG_PAUSE;
    while Instant::now() < end {
        let address = host.address;
        calls.spawn(async move {
            let text = request("GET", "/key/a", "r", &key_header(7), "");
            call(address, &text).await.status
        });
        sleep(Duration::from_millis(20)).await;
    }
    let refused = calls.join_all().await;
    sleep(LONGEST_SPREAD).await;
    let after = read(&host, "keyed").await;

    assert!(
        refused[..refused.len() - 5]
            .iter()
            .all(|status| *status == 503)
    );
    assert_eq!(after.status, 200);
    let (owners, _) = host.state.owners().expect("owners are known");
    assert_eq!(owners.services, owned.services);
    assert_eq!(ledger.violations(), Vec::<String>::new());
}

/// Guards against requests for a server whose answer has named a pause and whose body comes late.
#[tokio::test]
async fn pause_counts_from_the_head_of_the_answer() {
    let lines = format!("{NOT_RUN_LINE}\r\nRetry-After: 2\r\nContent-Length: 4\r\n");
    let mut slow = response("503 Busy", false, &lines, "");
    slow.extend([
        Step::Wait(Duration::from_millis(400)),
        Step::Send("busy".into()),
    ]);
    let (host, server) = scripted_host("keyed", vec![slow, complete_response("fine")]).await;
    let later = async {
        sleep(Duration::from_millis(200)).await;
        read(&host, "keyed").await
    };

    let (first, second) = tokio::join!(read(&host, "keyed"), later);

    assert_eq!((first.status, second.status), (503, 503));
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against a request that a paused owner is running and whose answer is not awaited, as it is
/// abandoned for a retry that cannot be sent.
#[tokio::test]
async fn answer_of_a_paused_owner_is_awaited() {
    // Longer than the time after which the host sends a request again.
    let run_time = TARGET_LATENCY * 2;
    let mut slow = vec![Step::Wait(run_time)];
    slow.extend(complete_response("fine"));
    let busy = response("503 Busy", false, &not_run_lines("3"), "");
    let (host, server) = scripted_host("keyed", vec![slow, busy]).await;
    let later = async {
        sleep(Duration::from_millis(50)).await;
        read(&host, "keyed").await
    };

    let (first, second) = tokio::join!(read(&host, "keyed"), later);

    assert_eq!((first.status, first.body.as_str()), (200, "fine"));
    assert_eq!(second.status, 503);
    assert_eq!(server.log().requests.len(), 2);
}
