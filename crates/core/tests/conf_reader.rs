//! The reader of region files: every fault is found, placed and explained.

use {
    camphorcove_core::conf::{Fault, FaultKind, parse},
    rstest::rstest,
};

const VALID: &str = r#"region = "stockholm"
zones = ["a", "b"]

[[services]]
name = "ledig"
path_prefix = "/ledig"
key = { from = "path", segment = 1 }
shards = 64

[services.limits]
timeout = "800ms"

[[services.servers]]
id = "l1"
address = "127.0.0.1:7101"
zone = "a"
slots = 3
connections = 120

[[services.servers]]
id = "l2"
address = "127.0.0.1:7102"
zone = "b"
slots = 3
connections = 120

[[services]]
name = "boka"
path_prefix = "/boka"
routing = "free"
idempotent_methods = ["GET"]
"#;

fn faults_after(from: &str, to: &str) -> Vec<Fault> {
    assert_eq!(
        VALID.matches(from).count(),
        1,
        "{from:?} must stand once in the valid file"
    );
    parse("region.toml", &VALID.replace(from, to)).expect_err("the file has a fault")
}

#[test]
fn a_valid_file_is_accepted() {
    let config = parse("region.toml", VALID).unwrap();

    assert_eq!(config.services.len(), 2);
    assert_eq!(config.services[0].servers.len(), 2);
    assert_eq!(config.services[0].limits.timeout.0, 800);
}

/// Guards against a fault that is missed, misplaced or explained wrongly.
#[rstest]
#[case::unknown_key(
    "shards = 64",
    "shrads = 64",
    FaultKind::UnknownKey,
    "8:1: services[0].shrads",
    Some("shards")
)]
#[case::unknown_table_key(
    "timeout = \"800ms\"",
    "timeot = \"800ms\"",
    FaultKind::UnknownKey,
    "11:1: services[0].limits.timeot",
    Some("timeout")
)]
#[case::missing_region(
    "region = \"stockholm\"",
    "",
    FaultKind::MissingKey,
    "1:1: region",
    None
)]
#[case::missing_slots(
    "zone = \"b\"\nslots = 3",
    "zone = \"b\"",
    FaultKind::MissingKey,
    "20:1: services[0].servers[1].slots",
    None
)]
#[case::wrong_type(
    "shards = 64",
    "shards = true",
    FaultKind::WrongType,
    "8:10: services[0].shards",
    None
)]
#[case::out_of_range(
    "shards = 64",
    "shards = 0",
    FaultKind::OutOfRange,
    "8:10: services[0].shards",
    None
)]
#[case::negative(
    "shards = 64",
    "shards = -1",
    FaultKind::OutOfRange,
    "8:10: services[0].shards",
    None
)]
#[case::beyond_64_bits(
    "shards = 64",
    "shards = 99999999999999999999",
    FaultKind::OutOfRange,
    "8:10: services[0].shards",
    None
)]
#[case::unit_missing(
    "\"800ms\"",
    "800",
    FaultKind::WrongUnit,
    "11:11: services[0].limits.timeout",
    None
)]
#[case::unit_unknown(
    "\"800ms\"",
    "\"800us\"",
    FaultKind::WrongUnit,
    "11:11: services[0].limits.timeout",
    None
)]
#[case::unit_where_none_belongs(
    "shards = 64",
    "shards = \"64k\"",
    FaultKind::WrongUnit,
    "8:10: services[0].shards",
    None
)]
#[case::span_too_long(
    "\"800ms\"",
    "\"2h\"",
    FaultKind::OutOfRange,
    "11:11: services[0].limits.timeout",
    None
)]
#[case::impossible_timeouts(
    "\"800ms\"",
    "\"31s\"",
    FaultKind::Contradiction,
    "11:11: services[0].limits.timeout",
    None
)]
#[case::impossible_connections(
    "zone = \"b\"\nslots = 3",
    "zone = \"b\"\nslots = 121",
    FaultKind::Contradiction,
    "25:15: services[0].servers[1].connections",
    None
)]
#[case::fewer_shards_than_servers(
    "shards = 64",
    "shards = 1",
    FaultKind::Contradiction,
    "8:10: services[0].shards",
    None
)]
#[case::bad_choice(
    "routing = \"free\"",
    "routing = \"fre\"",
    FaultKind::NotAllowed,
    "30:11: services[1].routing",
    Some("free")
)]
#[case::bad_name(
    "id = \"l1\"",
    "id = \"L 1\"",
    FaultKind::NotAllowed,
    "14:6: services[0].servers[0].id",
    None
)]
#[case::bad_address(
    "\"127.0.0.1:7101\"",
    "\"localhost:7101\"",
    FaultKind::NotAllowed,
    "15:11: services[0].servers[0].address",
    None
)]
#[case::unusable_address(
    "\"127.0.0.1:7101\"",
    "\"0.0.0.0:7101\"",
    FaultKind::NotAllowed,
    "15:11: services[0].servers[0].address",
    None
)]
#[case::bad_method(
    "[\"GET\"]",
    "[\"GET\", \"FETCH\"]",
    FaultKind::NotAllowed,
    "31:30: services[1].idempotent_methods[1]",
    None
)]
#[case::duplicate_service(
    "name = \"boka\"",
    "name = \"ledig\"",
    FaultKind::Duplicate,
    "28:8: services[1].name",
    None
)]
#[case::reserved_name(
    "name = \"boka\"",
    "name = \"config\"",
    FaultKind::NotAllowed,
    "28:8: services[1].name",
    None
)]
#[case::duplicate_server(
    "id = \"l2\"",
    "id = \"l1\"",
    FaultKind::Duplicate,
    "21:6: services[0].servers[1].id",
    None
)]
#[case::duplicate_address(
    "7102",
    "7101",
    FaultKind::Duplicate,
    "22:11: services[0].servers[1].address",
    None
)]
#[case::duplicate_zone(
    "[\"a\", \"b\"]",
    "[\"a\", \"b\", \"a\"]",
    FaultKind::Duplicate,
    "2:20: zones[2]",
    None
)]
#[case::dangling_zone(
    "zone = \"b\"",
    "zone = \"b1\"",
    FaultKind::UnknownReference,
    "23:8: services[0].servers[1].zone",
    Some("b")
)]
#[case::key_missing(
    "key = { from = \"path\", segment = 1 }",
    "",
    FaultKind::MissingKey,
    "4:1: services[0].key",
    None
)]
#[case::key_of_free_service(
    "routing = \"free\"",
    "routing = \"free\"\nkey = { from = \"query\", name = \"k\" }",
    FaultKind::Contradiction,
    "31:7: services[1].key",
    None
)]
#[case::key_without_name(
    "{ from = \"path\", segment = 1 }",
    "{ from = \"header\" }",
    FaultKind::MissingKey,
    "7:7: services[0].key.name",
    None
)]
#[case::overlapping_route(
    "\"/boka\"",
    "\"/ledig/\"",
    FaultKind::OverlappingRoute,
    "29:15: services[1].path_prefix",
    None
)]
#[case::bad_prefix(
    "\"/boka\"",
    "\"boka\"",
    FaultKind::NotAllowed,
    "29:15: services[1].path_prefix",
    None
)]
#[case::syntax(
    "zones = [\"a\", \"b\"]",
    "zones = [\"a\", \"b\"",
    FaultKind::Syntax,
    "4:1: ",
    None
)]
#[case::duplicate_key(
    "shards = 64",
    "shards = 64\nshards = 65",
    FaultKind::Duplicate,
    "9:1: ",
    None
)]
fn each_fault_is_found(
    #[case] from: &str,
    #[case] to: &str,
    #[case] kind: FaultKind,
    #[case] place: &str,
    #[case] nearest: Option<&str>,
) {
    let faults = faults_after(from, to);

    let fault = &faults[0];
    assert_eq!((faults.len(), fault.kind), (1, kind), "{faults:?}");
    assert_eq!(fault.nearest.as_deref(), nearest, "{fault}");
    let line = fault.to_string();
    assert!(line.starts_with(&format!("region.toml:{place}")), "{line}");
    assert!(line.contains("allowed: ") && !line.contains('\n'), "{line}");
}

/// Guards against a stack overflow on nested input.
#[rstest]
#[case("[")]
#[case("{ a = ")]
fn deeply_nested_input_is_refused(#[case] nest: &str) {
    let text = format!("region = {}", nest.repeat(100_000));

    assert_eq!(parse("file", &text).unwrap_err()[0].kind, FaultKind::Syntax);
}

/// Guards against a reader that stops at the first fault.
#[test]
fn all_faults_of_a_file_are_reported_in_order() {
    let text = VALID
        .replace("shards = 64", "shards = 0")
        .replace("zone = \"a\"", "zone = \"x\"")
        .replace("name = \"boka\"", "nam = \"boka\"");

    let faults = parse("region.toml", &text).unwrap_err();

    let lines: Vec<usize> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [8, 16, 27, 28], "{faults:#?}");
}

#[rstest]
#[case::prefix_of_whole_segments(None, "/ledigt/1", None)]
#[case::exact(None, "/ledig", Some("ledig"))]
#[case::below(Some("any.example:8080"), "/boka/1", Some("boka"))]
#[case::nothing(None, "/", None)]
fn requests_are_matched_to_services(
    #[case] host: Option<&str>,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let config = parse("region.toml", VALID).unwrap();

    let service = config
        .route(host, path)
        .map(|service| service.name.as_str());

    assert_eq!(service, expected);
}

/// Guards against two spellings of one key having two owners.
#[rstest]
#[case("/ledig/raft-17", Some("raft-17"))]
#[case("/ledig/r%61ft%2D17/day", Some("raft-17"))]
#[case("/ledig/50%", Some("50%"))]
#[case("/ledig/", None)]
#[case("/ledig", None)]
fn keys_are_taken_from_the_path(#[case] path: &str, #[case] expected: Option<&str>) {
    let config = parse("region.toml", VALID).unwrap();
    let source = config.services[0].key.as_ref().unwrap();

    let key = source.extract(path, None, |_| None);

    assert_eq!(key.as_deref(), expected.map(str::as_bytes));
}
