//! A host in the test process, with a fixed configuration and servers and without a store.

use {
    camphorcove_core::{
        fleet::{ServerEntry, ServerPhase},
        ids::{ConfigVersion, HostId, StoreVersion},
        ownership::{KeyRange, OwnerState, RangePhase, RangeRecord, ServerInstance, ServiceOwners},
        routing::{
            CallerLimits, RetryPolicy, RouteRank, RouteRule, RouteTable, ServiceRule, SplitPart,
            WarmupRule,
        },
    },
    camphorcove_gateway::{
        conf::GatewaySettings,
        forward::check_reach,
        peers::{Report, Trailing},
        serve::{CallerListener, RequestHandler},
        state::{HostState, LoadReport, SeenVersions, VersionSpan},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

/// Time limit of all routes in `table`.
pub const TIME_LIMIT: Duration = Duration::from_millis(1_500);

/// Target latency of all routes in `table`.
pub const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Number of hosts that share each server's connection limit and the retry budget.
const HOSTS: u32 = 10;

/// A host whose listener for callers runs.
pub struct TestHost {
    /// State that the listener uses, for changes during a test.
    pub state: Arc<HostState>,
    /// Address of the listener for callers.
    pub address: SocketAddr,
    /// Set to `true` to stop the listener.
    pub stop: watch::Sender<bool>,
}

pub fn settings(store: SocketAddr) -> GatewaySettings {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    GatewaySettings {
        host: "host-1".parse().expect("valid id"),
        zone: "zone-a".parse().expect("valid name"),
        callers: any,
        readiness: any,
        peers: any,
        peers_listen: any,
        metrics: any,
        store,
        cpu_share: 1.0,
        memory_mb: 128,
        descriptors: 1_024,
        stop_limit: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 60.0,
        retry_window: Duration::from_secs(10),
        warmup_overage: Some(1.5),
        warmup_slack: Some(8.0),
        evacuation_limit: None,
        zone_transfer: false,
    }
}

/// Revisions of the first listing that a host receives.
pub fn first_listing_span() -> VersionSpan {
    VersionSpan {
        from: version(0),
        through: version(1),
        newest: version(1),
    }
}

/// Version of a store that has never lost writes.
pub fn version(revision: u64) -> StoreVersion {
    StoreVersion::new(0, revision)
}

pub fn host_state() -> Arc<HostState> {
    Arc::new(HostState::new(settings(([127, 0, 0, 1], 1).into())))
}

/// Routes `/read/` (idempotent), `/write/` (at most once), `/key/` (keyed).
pub fn table(version: u64) -> RouteTable {
    table_with_time_limit(version, TIME_LIMIT)
}

/// The same with another time limit.
pub fn table_with_time_limit(version: u64, time_limit: Duration) -> RouteTable {
    table_of(version, time_limit, None)
}

/// The same routes; cold servers of all services take what `warmup` says.
pub fn table_with_warmup(version: u64, warmup: WarmupRule) -> RouteTable {
    table_of(version, TIME_LIMIT, Some(warmup))
}

fn table_of(version: u64, time_limit: Duration, warmup: Option<WarmupRule>) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(15),
    };
    let service = |name: &str, keyed| ServiceRule {
        name: name.parse().expect("valid name"),
        connections: 100,
        keyed,
        warmup,
    };
    let rule = |prefix: &str, name: &str, retry| RouteRule {
        name: prefix.into(),
        host: "boats.example".into(),
        prefix: prefix.into(),
        retry,
        time_limit,
        target_latency: TARGET_LATENCY,
        rank: RouteRank(0),
        attempts: 2,
        split: vec![SplitPart {
            service: name.parse().expect("valid name"),
            weight: 1,
        }],
    };
    RouteTable::new(
        ConfigVersion(version),
        limits,
        vec![service("plain", false), service("keyed", true)],
        vec![
            rule("/read/", "plain", RetryPolicy::Idempotent),
            rule("/write/", "plain", RetryPolicy::AtMostOnce),
            rule("/key/", "keyed", RetryPolicy::Idempotent),
        ],
    )
    .expect("valid table")
}

pub fn entry(id: &str, service: &str, address: SocketAddr) -> ServerEntry {
    ServerEntry {
        id: id.parse().expect("valid id"),
        incarnation: 1,
        service: service.parse().expect("valid name"),
        address,
        zone: "zone-a".parse().expect("valid name"),
        slots: 3,
        phase: ServerPhase::Ready,
        warmup: Duration::ZERO,
    }
}

/// Report of a host that measures nothing and reaches everything.
pub fn idle_report(host: HostId, nonce: u64, term: u64) -> Report {
    Report {
        host,
        nonce,
        term,
        cpu_permille: 1_000,
        lacks_store: false,
        lacks_servers: false,
        versions: SeenVersions::default(),
        config_version: ConfigVersion::default(),
        remembered_owners: StoreVersion::default(),
        load: LoadReport::default(),
        addition: Trailing::default(),
    }
}

/// Ownership state in which one server owns all keys.
pub fn owners_with(entry: &ServerEntry) -> OwnerState {
    let mut state = OwnerState::new("secret".into());
    let owner = ServerInstance {
        id: entry.id.clone(),
        incarnation: entry.incarnation,
        address: entry.address,
    };
    let owners = ServiceOwners {
        next_token: 2,
        ranges: vec![RangeRecord {
            range: KeyRange::ALL,
            phase: RangePhase::Owned { owner, token: 1 },
        }],
    };
    state.services.insert(entry.service.clone(), owners);
    state
}

/// Ownership state in which all keys are moving away from one server, to no known target.
pub fn owners_moving_from(entry: &ServerEntry) -> OwnerState {
    let mut state = owners_with(entry);
    for record in state
        .services
        .values_mut()
        .flat_map(|owners| &mut owners.ranges)
    {
        if let RangePhase::Owned { owner, .. } = record.phase.clone() {
            record.phase = RangePhase::Moving {
                owner,
                token: 2,
                target: None,
            };
        }
    }
    state
}

/// Starts a host that has the configuration of `table` and knows these servers.
pub async fn start_host_with(entries: Vec<ServerEntry>) -> TestHost {
    let state = host_state();
    state.set_table(table(1));
    state.replace_fleet(entries, first_listing_span());
    state.set_remote_load(Some(HOSTS), &[]);
    start_listener(state).await
}

/// Starts the listener for callers of a host.
pub async fn start_listener(state: Arc<HostState>) -> TestHost {
    start_listeners(state, None).await
}

/// Starts the listener for callers of a host, and serves other hosts over `relays`.
pub async fn start_listeners(state: Arc<HostState>, relays: Option<TcpListener>) -> TestHost {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let (stop, stopped) = watch::channel(false);
    let handler = Arc::new(RequestHandler::new(state.clone()));
    tokio::spawn(check_reach(state.clone(), handler.pool()));
    let mut serving = CallerListener::new(state.clone(), handler);
    if let Some(relays) = relays {
        serving = serving.with_relays(relays);
    }
    tokio::spawn(serving.run(listener, stopped));
    TestHost {
        state,
        address,
        stop,
    }
}
