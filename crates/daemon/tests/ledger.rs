//! Randomised requests and server faults: which requests ran is compared with what callers were
//! told, and no request that is not idempotent may run twice.

mod support;

use {
    camphorcove_core::{
        conf::{DedupMode, RoutingMode},
        keys::KeyHash,
    },
    camphorcoved::context::RequestTuning,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{
        Answer, Cluster, FakeServer, MapSpec, RawCaller, ReceivedRequest, ServerAction, call,
        service,
    },
    tokio::{sync::Semaphore, task::JoinSet},
};

/// Seed of the requests, the faults and the routers' random choices; failed assertions print it.
const SEED: u64 = 20_261_204;

const REQUESTS: usize = 1_500;
const CALLERS: usize = 24;
const HOSTS: usize = 3;
const SERVERS: usize = 3;

/// A request that will be sent.
#[derive(Clone, Debug)]
struct Planned {
    id: String,
    /// Idempotency key; of all requests with the same key at most one may run.
    idempotency: Option<String>,
    /// Index of the entry host.
    entry: usize,
    /// `GET`, which the service declares idempotent, rather than `POST`.
    get: bool,
    /// The caller disconnects without reading the answer.
    leaves: bool,
}

/// A request that was sent, and the answer that its caller got.
#[derive(Debug)]
struct SentRequest {
    planned: Planned,
    /// `None` if the caller disconnected.
    answer: Option<Answer>,
}

fn plan_requests(keys: bool) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let plan = |number: usize| Planned {
        id: format!("q-{number}"),
        // Drawn from as many keys as there are requests, so nearly two thirds of the requests
        // share their key with another one.
        idempotency: keys.then(|| format!("key-{}", random.random_range(0..REQUESTS))),
        entry: random.random_range(0..HOSTS),
        get: random.random_ratio(1, 4),
        leaves: random.random_ratio(1, 25),
    };
    (0..REQUESTS).map(plan).collect()
}

/// Chooses what a server does with a request, from the seed, the server, the request id and how
/// often the servers have seen that id.
fn action(
    seen: &Mutex<HashMap<String, u32>>,
    server: usize,
    request: &ReceivedRequest,
) -> ServerAction {
    let id = request.header("x-request-id").expect("request id");
    let visit = {
        let mut visits = seen.lock().expect("visits");
        let visit = visits.entry(id.clone()).or_default();
        *visit += 1;
        *visit
    };
    let draw = KeyHash::of(format!("{SEED}/{server}/{id}/{visit}").as_bytes()).0 % 100;
    let reply = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    );
    match draw {
        0..6 => ServerAction::Shed,
        6..9 => ServerAction::ResetAfterHead,
        9..12 => ServerAction::ReplyThenClose(String::new()),
        12..14 => ServerAction::ReplyThenReset(String::new()),
        14..17 => {
            ServerAction::ReplyThenClose("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\npart".into())
        }
        17..19 => ServerAction::ReplyThenClose("nonsense\r\n\r\n".into()),
        19..21 => ServerAction::Stall,
        21..30 => ServerAction::ReplyThenClose(reply),
        _ => ServerAction::Reply(reply),
    }
}

fn message(planned: &Planned) -> String {
    let method = if planned.get { "GET" } else { "POST" };
    let key = planned.idempotency.as_ref();
    let key = key.map_or(String::new(), |key| format!("idempotency-key: {key}\r\n"));
    format!(
        "{method} /s/{} HTTP/1.1\r\nhost: t\r\nconnection: close\r\nx-request-id: {}\r\n{key}\
         x-request-timeout-ms: 1000\r\ncontent-length: 4\r\n\r\nbook",
        planned.id, planned.id
    )
}

async fn send(cluster: &Cluster, planned: Planned) -> SentRequest {
    let address = cluster.nodes[planned.entry].caller;
    if planned.leaves {
        let mut caller = RawCaller::connect(address).await;
        caller.send(message(&planned)).await;
        return SentRequest {
            planned,
            answer: None,
        };
    }
    let answer = call(address, message(&planned)).await;
    SentRequest {
        planned,
        answer: Some(answer),
    }
}

/// After every 50 answers moves all shards to another server: publishes them as moving, lets
/// requests run, and then publishes the new owner.
async fn publish_move(cluster: &Cluster, spec: &mut MapSpec, done: usize) {
    if !done.is_multiple_of(50) {
        return;
    }
    spec.revision += 1;
    spec.moving = true;
    cluster.publish(spec);
    for _ in 0..200 {
        tokio::task::yield_now().await;
    }
    spec.revision += 1;
    spec.moving = false;
    spec.owner = u16::try_from(done / 50 % SERVERS).expect("small");
    spec.sequence += 1;
    cluster.publish(spec);
}

async fn run(keys: bool, moves: bool, cluster: Cluster, mut spec: MapSpec) -> Vec<SentRequest> {
    let cluster = Arc::new(cluster);
    let permits = Arc::new(Semaphore::new(CALLERS));
    let mut tasks = JoinSet::new();
    let mut sent = Vec::new();
    for planned in plan_requests(keys) {
        let permit = permits.clone().acquire_owned().await.expect("semaphore");
        let cluster_of_task = cluster.clone();
        tasks.spawn(async move {
            let sent = send(&cluster_of_task, planned).await;
            drop(permit);
            sent
        });
        while let Some(result) = tasks.try_join_next() {
            sent.push(result.expect("caller"));
            if moves {
                publish_move(&cluster, &mut spec, sent.len()).await;
            }
        }
    }
    while let Some(result) = tasks.join_next().await {
        sent.push(result.expect("caller"));
    }
    sent
}

/// How often requests ran, by the value of a header.
fn runs_by(servers: &[FakeServer], header: &str) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for server in servers {
        for request in server.seen().iter().filter(|request| request.ran) {
            if let Some(value) = request.header(header) {
                *runs.entry(value).or_default() += 1;
            }
        }
    }
    runs
}

/// Checks each answer against how often its request ran.
fn check_answers(sent: &[SentRequest], runs: &HashMap<String, usize>) {
    for SentRequest { planned, answer } in sent {
        let ran = runs.get(&planned.id).copied().unwrap_or(0);
        let context = || format!("seed {SEED}: ran {ran} times: {planned:?} {answer:?}");
        assert!(planned.get || ran <= 1, "more than once, {}", context());
        let Some(answer) = answer else {
            continue;
        };
        match answer.execution() {
            Some("not-run") => assert_eq!(ran, 0, "told not-run, {}", context()),
            Some("ran") if answer.code() == Some(200) => {
                assert!(ran >= 1, "told ran, {}", context());
            }
            Some("ran" | "may-have-run") => {}
            // The connection closed before the caller got a response head.
            None if answer.status == 0 => assert!(ran >= 1, "told nothing, {}", context()),
            other => panic!("told {other:?}, {}", context()),
        }
        if answer.code() == Some(200) && answer.complete {
            let body = String::from_utf8_lossy(&answer.body);
            assert_eq!(body, planned.id, "another request's reply, {}", context());
        }
    }
}

#[rstest]
#[case::keyed(RoutingMode::Keyed, DedupMode::None, true, 1_000)]
#[case::free(RoutingMode::Free, DedupMode::None, true, 1_000)]
#[case::keyed_with_ids(RoutingMode::Keyed, DedupMode::Router, false, 500)]
// After a move the new home host cannot prove within the window that a key is new, so few
// requests are answered.
#[case::keyed_with_ids_and_moves(RoutingMode::Keyed, DedupMode::Router, true, 1)]
#[case::free_with_ids(RoutingMode::Free, DedupMode::Router, true, 500)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_ran_agrees_with_what_callers_were_told(
    #[case] routing: RoutingMode,
    #[case] dedup: DedupMode,
    #[case] moves: bool,
    #[case] answered_at_least: usize,
) {
    let visits = Arc::<Mutex<HashMap<String, u32>>>::default();
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let visits = visits.clone();
        let script = move |_: usize, request: &ReceivedRequest| action(&visits, index, request);
        servers.push(FakeServer::start(script).await);
    }
    let server_forwarders: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| (server.address, at))
        .collect();
    let spec = MapSpec::new(&server_forwarders);
    let mut config = service(routing);
    config.dedup = dedup;
    // A GET with an idempotency key is deduplicated like any other request.
    config.idempotent_methods = vec!["GET".into()];
    let tuning = RequestTuning {
        dedup_window: Duration::from_secs(3_600),
        dedup_assume_no_history: true,
        seed: SEED,
        ..RequestTuning::default()
    };
    let cluster = Cluster::start_tuned(HOSTS, config, &spec, tuning).await;
    let keys = dedup == DedupMode::Router;

    let sent = run(keys, moves, cluster, spec).await;

    assert_eq!(sent.len(), REQUESTS);
    check_answers(&sent, &runs_by(&servers, "x-request-id"));
    for (key, ran) in runs_by(&servers, "idempotency-key") {
        assert!(ran <= 1, "seed {SEED}: {key} ran {ran} times");
    }
    let mut codes = HashMap::<Option<u16>, usize>::new();
    for item in &sent {
        *codes
            .entry(item.answer.as_ref().and_then(Answer::code))
            .or_default() += 1;
    }
    println!("{routing} {dedup}: {codes:?}");
    let answered = codes.get(&Some(200)).copied().unwrap_or(0);
    assert!(
        answered >= answered_at_least,
        "seed {SEED}: {answered} answered: {codes:?}"
    );
}
