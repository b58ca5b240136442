//! Reads and checks one service and its servers from a configuration file.

use {
    super::{
        FaultKind, KeySource, METHODS, RequestLimits, RoutingMode, ServerConfig, ServiceConfig,
        SettingTable, TimeSpan,
        fault::nearest_name,
        fault_sink::FaultSink,
        table_reader::{Located, TableReader},
    },
    crate::ids::{ServerId, ServiceName, ZoneName},
    std::net::SocketAddr,
};

/// A service whose settings have been read. Settings that are faulty may be missing.
pub(super) struct PartialService<'t, 'i> {
    pub(super) reader: TableReader<'t, 'i>,
    pub(super) name: Option<ServiceName>,
    pub(super) host: Option<String>,
    pub(super) path_prefix: String,
    pub(super) servers: Vec<PartialServer<'t, 'i>>,
    config: Option<ServiceConfig>,
}

/// A server whose settings have been read. Settings that are faulty may be missing.
pub(super) struct PartialServer<'t, 'i> {
    pub(super) reader: TableReader<'t, 'i>,
    pub(super) id: Option<ServerId>,
    pub(super) address: Option<SocketAddr>,
    zone: Option<ZoneName>,
    weight: u32,
    slots: u32,
    connections: u32,
}

impl PartialService<'_, '_> {
    /// Returns the service, or `None` if a required setting could not be read.
    pub(super) fn finish(self) -> Option<ServiceConfig> {
        let mut config = self.config?;
        for server in self.servers {
            config.servers.push(ServerConfig {
                id: server.id?,
                address: server.address?,
                zone: server.zone?,
                weight: server.weight,
                slots: server.slots,
                connections: server.connections,
            });
        }
        Some(config)
    }
}

pub(super) fn read_service<'t, 'i>(
    reader: TableReader<'t, 'i>,
    zones: &[ZoneName],
    sink: &mut FaultSink<'_>,
) -> PartialService<'t, 'i> {
    reader.check_keys(sink);
    let name = read_name(&reader, sink);
    let host = read_host(&reader, sink);
    let path_prefix = read_prefix(&reader, sink);
    let routing = reader.choice::<RoutingMode>(sink, "routing");
    let shards = reader.count(sink, "shards", 4_096);
    let mut servers = Vec::new();
    for table in reader.tables(sink, "servers", SettingTable::Server) {
        servers.push(read_server(table, zones, sink));
    }
    check_server_ids(&servers, sink);
    let too_many = usize::try_from(shards).is_ok_and(|shards| servers.len() > shards);
    if routing == Some(RoutingMode::Keyed) && too_many {
        let allowed = format!("at least one shard for each of {} servers", servers.len());
        reader.report_with_allowed(sink, "shards", FaultKind::Contradiction, allowed, None);
    }
    let key = read_key(&reader, routing, sink);
    let config = name.clone().map(|name| ServiceConfig {
        name,
        host: host.clone(),
        path_prefix: path_prefix.clone(),
        routing: routing.unwrap_or_default(),
        key,
        shards,
        placement: reader.choice(sink, "placement").unwrap_or_default(),
        fencing: reader.choice(sink, "fencing").unwrap_or_default(),
        class: reader.choice(sink, "class").unwrap_or_default(),
        dedup: reader.choice(sink, "dedup").unwrap_or_default(),
        idempotent_methods: read_methods(&reader, sink),
        max_moves: reader.count(sink, "max_moves", 256),
        limits: read_limits(&reader, sink),
        servers: Vec::new(),
    });
    PartialService {
        reader,
        name,
        host,
        path_prefix,
        servers,
        config,
    }
}

/// Names of audit streams besides those of services, so no service may have them.
const RESERVED_NAMES: &[&str] = &["config", "operator"];

fn read_name(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> Option<ServiceName> {
    let name = reader.parsed::<ServiceName>(sink, "name")?.value;
    if RESERVED_NAMES.contains(&name.as_str()) {
        let allowed = format!("a name other than {}", RESERVED_NAMES.join(", "));
        reader.report_with_allowed(sink, "name", FaultKind::NotAllowed, allowed, None);
    }
    Some(name)
}

fn read_host(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> Option<String> {
    let host = reader.text(sink, "host")?.value;
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
    if host.is_empty() || host.len() > 253 || !host.bytes().all(allowed) {
        reader.report(sink, "host", FaultKind::NotAllowed);
    }
    Some(host.to_owned())
}

fn read_prefix(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> String {
    let Some(prefix) = reader.text(sink, "path_prefix") else {
        return "/".into();
    };
    let prefix = prefix.value;
    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    if !prefix.starts_with('/') || prefix.len() > 1_024 || !prefix.bytes().all(allowed) {
        reader.report(sink, "path_prefix", FaultKind::NotAllowed);
    }
    prefix.to_owned()
}

fn read_methods(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> Vec<String> {
    let mut methods: Vec<String> = Vec::new();
    for (index, text) in reader
        .texts(sink, "idempotent_methods")
        .into_iter()
        .enumerate()
    {
        let known = METHODS.contains(&text.value);
        let kind = match methods.iter().any(|method| method == text.value) {
            false if known => {
                methods.push(text.value.to_owned());
                continue;
            }
            true => FaultKind::Duplicate,
            false => FaultKind::NotAllowed,
        };
        reader.report_item(sink, "idempotent_methods", index, text.span, kind);
    }
    methods
}

fn read_limits(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> RequestLimits {
    let defaults = RequestLimits::default();
    let Some(table) = reader.table(sink, "limits", SettingTable::Limits) else {
        return defaults;
    };
    table.check_keys(sink);
    let timeout: TimeSpan = table.time(sink, "timeout", defaults.timeout);
    let max_timeout = table.time(sink, "max_timeout", defaults.max_timeout);
    if timeout > max_timeout {
        let name = if table.has("timeout") {
            "timeout"
        } else {
            "max_timeout"
        };
        let allowed = format!("timeout ({timeout}) at most max_timeout ({max_timeout})");
        table.report_with_allowed(sink, name, FaultKind::Contradiction, allowed, None);
    }
    RequestLimits {
        timeout,
        max_timeout,
        queue: table.count(sink, "queue", defaults.queue),
        max_body: table.count(sink, "max_body", defaults.max_body),
        max_header: table.count(sink, "max_header", defaults.max_header),
    }
}

fn read_key(
    reader: &TableReader<'_, '_>,
    routing: Option<RoutingMode>,
    sink: &mut FaultSink<'_>,
) -> Option<KeySource> {
    match (routing, reader.has("key")) {
        (Some(RoutingMode::Keyed), false) => {
            let allowed = "a key source for routing = \"keyed\", or routing = \"free\"".into();
            reader.report_with_allowed(sink, "key", FaultKind::MissingKey, allowed, None);
            return None;
        }
        (Some(RoutingMode::Free), true) => {
            let allowed = "no key source for routing = \"free\"".into();
            reader.report_with_allowed(sink, "key", FaultKind::Contradiction, allowed, None);
        }
        _ => {}
    }
    let table = reader.table(sink, "key", SettingTable::Key)?;
    table.check_keys(sink);
    let from = table.text(sink, "from")?.value;
    let from = table.choice_text(sink, "from", from)?;
    read_key_source(&table, from, sink)
}

fn read_key_source(
    table: &TableReader<'_, '_>,
    from: &str,
    sink: &mut FaultSink<'_>,
) -> Option<KeySource> {
    let unused = if from == "path" { "name" } else { "segment" };
    if table.has(unused) {
        let allowed = format!("no {unused} for from = {from:?}");
        table.report_with_allowed(sink, unused, FaultKind::Contradiction, allowed, None);
    }
    if from == "path" {
        let segment = table.count(sink, "segment", 0);
        return Some(KeySource::Path { segment });
    }
    let Located { value, .. } = table.text(sink, "name")?;
    let common_byte = |byte: u8| byte.is_ascii_digit() || b"-_".contains(&byte);
    let header_byte = |byte: u8| byte.is_ascii_lowercase() || common_byte(byte);
    let query_byte = |byte: u8| byte.is_ascii_alphabetic() || common_byte(byte) || byte == b'.';
    let valid = match from {
        "header" => value.bytes().all(header_byte),
        _ => value.bytes().all(query_byte),
    };
    if value.is_empty() || value.len() > 128 || !valid {
        table.report(sink, "name", FaultKind::NotAllowed);
    }
    let name = value.to_owned();
    Some(match from {
        "header" => KeySource::Header { name },
        _ => KeySource::Query { name },
    })
}

fn read_server<'t, 'i>(
    reader: TableReader<'t, 'i>,
    zones: &[ZoneName],
    sink: &mut FaultSink<'_>,
) -> PartialServer<'t, 'i> {
    reader.check_keys(sink);
    let server = PartialServer {
        id: reader.parsed(sink, "id").map(|id| id.value),
        address: read_address(&reader, sink),
        zone: read_zone(&reader, zones, sink),
        weight: reader.count(sink, "weight", 100),
        slots: reader.count(sink, "slots", 1),
        connections: reader.count(sink, "connections", u32::MAX),
        reader,
    };
    if server.connections < server.slots {
        let allowed = format!("at least the server's slots ({})", server.slots);
        let kind = FaultKind::Contradiction;
        server
            .reader
            .report_with_allowed(sink, "connections", kind, allowed, None);
    }
    server
}

fn read_address(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> Option<SocketAddr> {
    let address = reader.parsed::<SocketAddr>(sink, "address")?.value;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.report(sink, "address", FaultKind::NotAllowed);
    }
    Some(address)
}

fn read_zone(
    reader: &TableReader<'_, '_>,
    zones: &[ZoneName],
    sink: &mut FaultSink<'_>,
) -> Option<ZoneName> {
    let zone = reader.parsed::<ZoneName>(sink, "zone")?.value;
    if !zones.contains(&zone) {
        let names = || zones.iter().map(ZoneName::as_str);
        let allowed = format!(
            "a zone of the region: {}",
            names().collect::<Vec<_>>().join(", ")
        );
        let nearest = nearest_name(zone.as_str(), names());
        reader.report_with_allowed(sink, "zone", FaultKind::UnknownReference, allowed, nearest);
    }
    Some(zone)
}

fn check_server_ids(servers: &[PartialServer<'_, '_>], sink: &mut FaultSink<'_>) {
    let mut seen: std::collections::HashSet<&ServerId> = Default::default();
    for server in servers {
        let Some(id) = &server.id else { continue };
        if !seen.insert(id) {
            let allowed = "an id that is unique in the service".into();
            server
                .reader
                .report_with_allowed(sink, "id", FaultKind::Duplicate, allowed, None);
        }
    }
}
