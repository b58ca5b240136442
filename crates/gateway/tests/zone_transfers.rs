//! Requests that leave their availability zone by the leader's decision.

mod support;

use {
    camphorcove_core::{
        dispatch::{AdmissionRule, AdmittedShare, RequestOutcome, ZoneTransfer},
        fleet::{EvacuationList, EvacuationSource, ServerEntry},
        ids::ZoneName,
        routing::RouteRank,
    },
    camphorcove_gateway::{
        metrics::render_metrics,
        peers::receive,
        state::{HostState, PickQuery, ServerPick},
    },
    camphorcove_platform_standin::store_standin::StoreStandin,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        fixtures::{
            TARGET_LATENCY, TIME_LIMIT, entry, first_listing_span, settings, table, version,
        },
        leader_hosts::{LeaderHost, leader_host_of},
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// Requests for which choices are counted.
const REQUESTS: u32 = 100;

/// Time within which hosts elect a leader, report to it and get its decision, on a busy machine.
const DECISION_TIME: Duration = Duration::from_secs(12);

fn zone(name: &str) -> ZoneName {
    name.parse().expect("valid name")
}

fn server(id: &str, zone_name: &str) -> ServerEntry {
    ServerEntry {
        zone: zone(zone_name),
        slots: 1_000,
        ..entry(id, "plain", ([127, 0, 0, 1], 9).into())
    }
}

fn transfer(from: &str, to: &str, share: f64) -> ZoneTransfer {
    ZoneTransfer {
        service: "plain".parse().expect("valid name"),
        from: zone(from),
        to: zone(to),
        share: AdmittedShare::from_fraction(share),
    }
}

/// Host in `zone-a` that knows one server in each zone.
fn host(zone_transfer: bool) -> Arc<HostState> {
    let mut settings = settings(([127, 0, 0, 1], 1).into());
    settings.zone_transfer = zone_transfer;
    settings.evacuation_limit = Some(Duration::from_secs(5));
    let state = Arc::new(HostState::new(settings));
    state.set_table(table(1));
    let entries = vec![server("s-a", "zone-a"), server("s-b", "zone-b")];
    state.replace_fleet(entries, first_listing_span());
    state
}

fn pick(state: &Arc<HostState>) -> ServerPick {
    let service = "plain".parse().expect("valid name");
    state.pick_server(PickQuery {
        service: &service,
        key: None,
        tried: &[],
        rule: AdmissionRule {
            target_latency: TARGET_LATENCY,
            time_left: TIME_LIMIT,
            rank_limit: None,
            is_hot_key: false,
        },
        rank: RouteRank(0),
        is_waiting: false,
        plans_returns: false,
    })
}

/// Number of requests, out of `REQUESTS`, that go to the server of the other zone.
fn count_leaving(state: &Arc<HostState>) -> u32 {
    let mut leaving = 0;
    for _ in 0..REQUESTS {
        match pick(state) {
            ServerPick::Send(entry, permit) => {
                leaving += u32::from(entry.id.as_str() == "s-b");
                permit.end(RequestOutcome::Success, None);
            }
            other => panic!("not sent: {other:?}"),
        }
    }
    leaving
}

/// Guards against hosts that do not apply the decision, that apply it without the setting, and that keep it after its
/// leader is lost.
#[tokio::test]
async fn host_applies_a_recent_decision() {
    let (enabled, disabled) = (host(true), host(false));
    for state in [&enabled, &disabled] {
        state.set_transfers(vec![transfer("zone-a", "zone-b", 0.3)]);
    }

    let leaving = (count_leaving(&enabled), count_leaving(&disabled));
    sleep(Duration::from_millis(1_600)).await;
    let late = count_leaving(&enabled);

    assert!((29..=31).contains(&leaving.0), "{leaving:?}");
    assert_eq!((leaving.1, late), (0, 0));
    let page = String::from_utf8(render_metrics(&enabled).expect("renders")).expect("text");
    for row in [
        r#"camphorcove_zone_requests_total{cause="decision",from="zone-a",service="plain",to="zone-b"}"#,
        r#"camphorcove_zone_requests_total{cause="undecided",from="zone-a",service="plain",to="zone-a"}"#,
    ] {
        assert!(page.contains(row), "{row} is missing");
    }
}

/// Guards against requests that are refused or held because the zone they are to go to has no server that can take
/// them.
#[tokio::test]
async fn zone_without_usable_servers_leaves_requests_to_the_others() {
    let state = host(true);
    state.set_transfers(vec![transfer("zone-a", "zone-c", 1.0)]);

    assert_eq!(count_leaving(&state), 0, "all stay");

    state.set_transfers(vec![transfer("zone-b", "zone-c", 1.0)]);
    let ServerPick::Send(entry, permit) = pick(&state) else {
        panic!("not sent");
    };
    assert_eq!(entry.id.as_str(), "s-a");
    permit.end(RequestOutcome::Unresponsive, None);

    assert_eq!(
        count_leaving(&state),
        REQUESTS,
        "the own server does not respond"
    );
}

/// Guards against services with keys in the reports: owners get their requests whatever their zone.
#[tokio::test]
async fn demand_counts_requests_without_keys_only() {
    let (enabled, disabled) = (host(true), host(false));
    for state in [&enabled, &disabled] {
        let table = state.table().expect("set");
        for path in ["/read/a", "/read/b", "/key/a"] {
            let rule = table.find("boats.example", path).expect("a route");
            state.route_request(rule);
        }
    }

    let demand = enabled.take_demand();

    assert_eq!(demand.len(), 1);
    assert_eq!(
        (demand[0].service.as_str(), demand[0].requests),
        ("plain", 2)
    );
    assert!(enabled.take_demand().is_empty() && disabled.take_demand().is_empty());
}

async fn start_host(number: usize, zone_name: &str, store: std::net::SocketAddr) -> LeaderHost {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let socket = Arc::new(socket);
    let mut settings = settings(store);
    settings.host = format!("host-{number}").parse().expect("valid id");
    settings.zone = zone(zone_name);
    settings.zone_transfer = true;
    let entries = vec![server("s-b", "zone-b"), server("s-c", "zone-c")];
    let host = leader_host_of(settings, entries, socket.clone());
    tokio::spawn(receive(host.state.clone(), socket, host.actor.clone()));
    host
}

/// Guards against reports, decisions and digests that do not reach each other: a zone without servers sends nearly all
/// of its requests to both other zones, and every host knows it.
#[tokio::test]
async fn hosts_report_and_the_leader_decides_for_all() {
    let (_, store) = StoreStandin::start().await;
    let mut hosts = Vec::new();
    for (number, name) in ["zone-a", "zone-b", "zone-c"].into_iter().enumerate() {
        hosts.push(start_host(number, name, store).await);
    }
    let expected = |state: &HostState| {
        let transfers = state.transfers();
        let all_from_a = transfers.iter().all(|sent| sent.from == zone("zone-a"));
        let total: f64 = transfers.iter().map(|sent| sent.share.fraction()).sum();
        transfers.len() == 2 && all_from_a && (0.94..0.96).contains(&total)
    };
    let limit = Instant::now() + DECISION_TIME;

    while !hosts.iter().all(|host| expected(&host.state)) {
        let known: Vec<_> = hosts.iter().map(|host| host.state.transfers()).collect();
        assert!(Instant::now() < limit, "{known:?}");
        for host in &hosts {
            let table = host.state.table().expect("set");
            let rule = table.find("boats.example", "/read/a").expect("a route");
            host.state.route_request(rule);
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests that are sent to a zone by the capacity of servers that may get none.
#[test]
fn servers_of_an_evacuated_zone_have_no_capacity() {
    let state = host(true);
    let list = EvacuationList {
        version: version(9),
        zones: [zone("zone-b")].into(),
    };

    state.apply_evacuations(list, EvacuationSource::Watch);

    let usable = state.usable_servers();
    let ids: Vec<&str> = usable.iter().map(|server| server.id.as_str()).collect();
    assert_eq!(ids, ["s-a"]);
}
