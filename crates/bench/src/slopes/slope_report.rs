//! Report of the control plane's costs: tables of measured points, each with fitted lines.

use {
    super::{
        linear_fit::LinearFit,
        scope_simulation::{SimulationSizes, SimulationTotals, simulate_scope},
    },
    camphorcove_core::{
        control::HostInfo,
        ids::{ConfigVersion, HostId, ServiceName},
        map::MapVersion,
    },
    camphorcove_net::peer::{MapAnswer, MapPoll, MapUpdate, PeerAddress, ScopeAnswer},
    std::{
        io::{self, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Numbers of servers to measure.
const SERVER_COUNTS: [usize; 4] = [6, 12, 48, 192];

/// Numbers of shards to measure.
const SHARD_COUNTS: [u32; 4] = [1_024, 4_096, 8_192, 16_384];

/// Numbers of scopes for which the size of a map poll is measured.
const SCOPE_COUNTS: [usize; 4] = [3, 16, 64, 256];

/// Number of hosts of a region at the target size; measured, not extrapolated.
const TARGET_HOSTS: usize = 530;

/// Simulated time that is measured in one simulation.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Runs all measurements and writes their tables in Markdown.
pub fn write_report(out: &mut impl Write) -> io::Result<()> {
    server_table(out)?;
    shard_table(out)?;
    host_table(out)?;
    poll_table(out)
}

/// Costs of a controller by the number of its servers.
fn server_table(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "### Controller by servers of its scope\n")?;
    writeln!(out, "4,096 shards, 10 hosts, 10 s simulated.\n")?;
    writeln!(
        out,
        "| servers | orders/s | order bytes/s | promises/s | reads/s | writes/s | core % |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|")?;
    let mut points = Vec::new();
    let mut bytes = Vec::new();
    for servers in SERVER_COUNTS {
        let totals = simulate_scope(SimulationSizes {
            servers,
            shards: 4_096,
            hosts: 10,
            measured_time: MEASURED_TIME,
        });
        let percent = totals.cpu_seconds / totals.seconds * 100.0;
        points.push((servers as f64, percent));
        bytes.push((servers as f64, per_second(totals.order_bytes, &totals)));
        writeln!(
            out,
            "| {servers} | {:.1} | {:.0} | {:.1} | {:.2} | {:.3} | {percent:.3} |",
            per_second(totals.orders, &totals),
            per_second(totals.order_bytes, &totals),
            per_second(totals.promises, &totals),
            per_second(totals.reads, &totals),
            per_second(totals.writes, &totals),
        )?;
    }
    write_fit(out, "core %", "server", &points)?;
    write_fit(out, "order bytes/s", "server", &bytes)
}

/// Sizes of the scope object and of the map by the number of shards.
fn shard_table(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "### Scope object and map by shards\n")?;
    writeln!(out, "48 servers, 10 hosts.\n")?;
    writeln!(
        out,
        "| shards | scope object bytes | map bytes on the wire | map bytes in memory | core % |"
    )?;
    writeln!(out, "|---|---|---|---|---|")?;
    let mut object = Vec::new();
    let mut wire = Vec::new();
    let mut memory = Vec::new();
    for shards in SHARD_COUNTS {
        let totals = simulate_scope(SimulationSizes {
            servers: 48,
            shards,
            hosts: 10,
            measured_time: MEASURED_TIME,
        });
        let size = f64::from(shards);
        let object_bytes = totals.state.as_ref().map_or(0, encoded_len);
        let wire_bytes = totals.map.as_deref().map_or(0, encoded_len);
        let held_bytes = totals.map.as_ref().map_or(0, |map| {
            map.shards.capacity() * size_of::<camphorcove_core::map::ShardEntry>()
                + map.servers.capacity() * size_of::<camphorcove_core::map::ServerEntry>()
        });
        object.push((size, object_bytes as f64));
        wire.push((size, wire_bytes as f64));
        memory.push((size, held_bytes as f64));
        let percent = totals.cpu_seconds / totals.seconds * 100.0;
        writeln!(
            out,
            "| {shards} | {object_bytes} | {wire_bytes} | {held_bytes} | {percent:.3} |"
        )?;
    }
    write_fit(out, "object bytes", "shard", &object)?;
    write_fit(out, "wire bytes", "shard", &wire)?;
    write_fit(out, "memory bytes", "shard", &memory)
}

/// Costs of a controller by the number of hosts.
fn host_table(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "### Controller by hosts of the region\n")?;
    writeln!(out, "48 servers, 4,096 shards.\n")?;
    writeln!(out, "| hosts | core % | promises/s |")?;
    writeln!(out, "|---|---|---|")?;
    let mut points = Vec::new();
    for hosts in [3, 10, 100, TARGET_HOSTS] {
        let totals = simulate_scope(SimulationSizes {
            servers: 48,
            shards: 4_096,
            hosts,
            measured_time: MEASURED_TIME,
        });
        let percent = totals.cpu_seconds / totals.seconds * 100.0;
        points.push((hosts as f64, percent));
        writeln!(
            out,
            "| {hosts} | {percent:.3} | {:.1} |",
            per_second(totals.promises, &totals)
        )?;
    }
    write_fit(out, "core %", "host", &points)
}

/// Size of a poll between hosts for map updates, and of its answer, when nothing has changed.
fn poll_table(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "### One poll without news\n")?;
    writeln!(out, "| scopes | poll bytes | answer bytes |")?;
    writeln!(out, "|---|---|---|")?;
    let mut points = Vec::new();
    for scopes in SCOPE_COUNTS {
        let poll_bytes = encoded_len(&idle_poll(scopes));
        let answer_bytes = encoded_len(&idle_answer(scopes));
        points.push((scopes as f64, (poll_bytes + answer_bytes) as f64));
        writeln!(out, "| {scopes} | {poll_bytes} | {answer_bytes} |")?;
    }
    write_fit(out, "bytes of a poll and its answer", "scope", &points)
}

/// Fits a line to the points and writes its equation; writes nothing if no line can be fitted.
fn write_fit(
    out: &mut impl Write,
    what: &str,
    unit: &str,
    points: &[(f64, f64)],
) -> io::Result<()> {
    let Some(fit) = LinearFit::through(points) else {
        return Ok(());
    };
    writeln!(
        out,
        "\nFit: {what} = {:.4} + {:.6} per {unit}.\n",
        fit.base, fit.slope
    )
}

fn per_second(count: u64, totals: &SimulationTotals) -> f64 {
    count as f64 / totals.seconds
}

/// Size of a value in the binary encoding used between hosts.
fn encoded_len<T: bincode::Encode>(value: &T) -> usize {
    bincode::encode_to_vec(value, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

fn peer(index: usize) -> PeerAddress {
    let id: HostId = format!("host-{index:04}")
        .parse()
        .expect("literal names are valid");
    PeerAddress {
        host: HostInfo {
            id,
            zone: format!("zone-{}", index % 4)
                .parse()
                .expect("literal names are valid"),
            leaving: false,
        },
        peer: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000),
    }
}

fn scope_name(index: usize) -> ServiceName {
    format!("service-{index}")
        .parse()
        .expect("literal names are valid")
}

fn version() -> MapVersion {
    MapVersion {
        epoch: camphorcove_core::ids::Epoch(12),
        revision: 3_456,
    }
}

/// Poll of a host that holds the current map of every scope.
fn idle_poll(scopes: usize) -> MapPoll {
    MapPoll {
        from: peer(1),
        held: (0..scopes)
            .map(|index| (scope_name(index), version()))
            .collect(),
        oldest_versions: Vec::new(),
        config: ConfigVersion(1_500),
        relay: false,
        live_hosts_digest: u64::MAX,
        downstream_digest: u64::MAX,
        downstream: None,
        urgent: false,
        loads: Vec::new(),
    }
}

/// Answer that reports no newer map for any scope.
fn idle_answer(scopes: usize) -> MapAnswer {
    let answers = (0..scopes).map(|index| ScopeAnswer {
        service: scope_name(index),
        version: version(),
        remaining_micros: 2_500_000,
        map_update: MapUpdate::Same,
    });
    MapAnswer {
        from: peer(2),
        scopes: answers.collect(),
        config: None,
        hosts_digest: u64::MAX,
        hosts: None,
        downstream_requested: false,
    }
}
