//! Reads the configuration file of a region and reports all its faults at once.

use {
    super::{
        Fault, FaultKind, RegionConfig, ServiceConfig, SettingTable,
        cross_check::{check_addresses, check_routes, check_service_names},
        fault_sink::FaultSink,
        service_reader::{PartialService, read_service},
        setting_info::MAX_ZONES,
        table_reader::{Located, TableReader, is_duplicate_key, syntax_fault},
    },
    crate::ids::{RegionName, ZoneName},
    toml::de::DeTable,
};

/// Reads the configuration file of a region. `file` is the name used in faults.
///
/// All faults are reported together. After a syntax error the rest of the file cannot be trusted:
/// then only the first syntax error and duplicate keys are reported, and values are not checked.
pub fn parse(file: &str, text: &str) -> Result<RegionConfig, Vec<Fault>> {
    let mut sink = FaultSink::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors.iter().filter(|error| is_duplicate_key(error)) {
        syntax_fault(&mut sink, error);
    }
    if let Some(error) = errors.iter().find(|error| !is_duplicate_key(error)) {
        syntax_fault(&mut sink, error);
        return Err(sink.into_faults());
    }
    let reader = TableReader::new(root.get_ref(), SettingTable::Region, String::new(), 0..0);
    let config = read_region(&reader, &mut sink);
    match config {
        Some(config) if sink.is_empty() => Ok(config),
        _ => Err(sink.into_faults()),
    }
}

/// Renders a configuration as TOML that [`parse`] accepts.
pub fn render(config: &RegionConfig) -> String {
    toml::to_string_pretty(config).unwrap_or_else(|error| {
        unreachable!("a configuration can always be written as TOML: {error}")
    })
}

/// Reads a stored configuration, which was validated when it was applied.
///
/// Checks keys and types only, so that a stored configuration stays readable after a
/// validation rule has become stricter.
pub fn parse_stored(text: &str) -> Result<RegionConfig, String> {
    toml::from_str(text).map_err(|error| error.to_string())
}

fn read_region(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> Option<RegionConfig> {
    reader.check_keys(sink);
    let region = reader.parsed::<RegionName>(sink, "region");
    let zones = read_zones(reader, sink);
    let mut services = Vec::new();
    for table in reader.tables(sink, "services", SettingTable::Service) {
        services.push(read_service(table, &zones, sink));
    }
    check_service_names(&services, sink);
    check_routes(&services, sink);
    check_addresses(&services, sink);
    let services: Option<Vec<ServiceConfig>> =
        services.into_iter().map(PartialService::finish).collect();
    Some(RegionConfig {
        region: region?.value,
        zones,
        services: services?,
    })
}

fn read_zones(reader: &TableReader<'_, '_>, sink: &mut FaultSink<'_>) -> Vec<ZoneName> {
    let texts = reader.texts(sink, "zones");
    if reader.has("zones") && !(1..=MAX_ZONES).contains(&texts.len()) {
        reader.report(sink, "zones", FaultKind::OutOfRange);
    }
    let mut zones: Vec<ZoneName> = Vec::with_capacity(texts.len());
    for (index, Located { value, span }) in texts.into_iter().enumerate() {
        let kind = match value.parse::<ZoneName>() {
            Ok(zone) if !zones.contains(&zone) => {
                zones.push(zone);
                continue;
            }
            Ok(_) => FaultKind::Duplicate,
            Err(_) => FaultKind::NotAllowed,
        };
        reader.report_item(sink, "zones", index, span, kind);
    }
    zones
}
