//! Reader of region files: every fault is found, with its position, key, kind and allowed values.

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
        "{from:?} must occur once in the valid file"
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

/// Guards against a fault that is missed, or reported with a wrong position, kind or suggestion.
///
/// A case has four parts separated by ` => `: text of the valid file, its replacement, expected
/// position with key and kind, expected suggestion.
#[rstest]
#[case::unknown_key(
    r#"shards = 64 => shrads = 64 => 8:1: services[0].shrads: unknown key => shards"#
)]
#[case::unknown_table_key(r#"timeout = "800ms" => timeot = "800ms" => 11:1: services[0].limits.timeot: unknown key => timeout"#)]
#[case::missing_region(r#"region = "stockholm" =>  => 1:1: region: missing key => "#)]
#[case::missing_slots(
    r#"zone = "b"\nslots = 3 => zone = "b" => 20:1: services[0].servers[1].slots: missing key => "#
)]
#[case::wrong_type(r#"shards = 64 => shards = true => 8:10: services[0].shards: wrong type => "#)]
#[case::out_of_range(r#"shards = 64 => shards = 0 => 8:10: services[0].shards: out of range => "#)]
#[case::negative(r#"shards = 64 => shards = -1 => 8:10: services[0].shards: out of range => "#)]
#[case::beyond_64_bits(
    r#"shards = 64 => shards = 99999999999999999999 => 8:10: services[0].shards: out of range => "#
)]
#[case::unit_missing(r#""800ms" => 800 => 11:11: services[0].limits.timeout: wrong unit => "#)]
#[case::unit_unknown(r#""800ms" => "800us" => 11:11: services[0].limits.timeout: wrong unit => "#)]
#[case::unit_not_allowed(
    r#"shards = 64 => shards = "64k" => 8:10: services[0].shards: wrong unit => "#
)]
#[case::span_too_long(r#""800ms" => "2h" => 11:11: services[0].limits.timeout: out of range => "#)]
#[case::timeout_above_max_timeout(
    r#""800ms" => "31s" => 11:11: services[0].limits.timeout: contradiction => "#
)]
#[case::fewer_connections_than_slots(r#"zone = "b"\nslots = 3 => zone = "b"\nslots = 121 => 25:15: services[0].servers[1].connections: contradiction => "#)]
#[case::fewer_shards_than_servers(
    r#"shards = 64 => shards = 1 => 8:10: services[0].shards: contradiction => "#
)]
#[case::bad_choice(r#"routing = "free" => routing = "fre" => 30:11: services[1].routing: value not allowed => free"#)]
#[case::bad_name(
    r#"id = "l1" => id = "L 1" => 14:6: services[0].servers[0].id: value not allowed => "#
)]
#[case::bad_address(r#""127.0.0.1:7101" => "localhost:7101" => 15:11: services[0].servers[0].address: value not allowed => "#)]
#[case::unusable_address(r#""127.0.0.1:7101" => "0.0.0.0:7101" => 15:11: services[0].servers[0].address: value not allowed => "#)]
#[case::bad_method(r#"["GET"] => ["GET", "FETCH"] => 31:30: services[1].idempotent_methods[1]: value not allowed => "#)]
#[case::duplicate_service(
    r#"name = "boka" => name = "ledig" => 28:8: services[1].name: duplicate => "#
)]
#[case::reserved_name(
    r#"name = "boka" => name = "config" => 28:8: services[1].name: value not allowed => "#
)]
#[case::duplicate_server(
    r#"id = "l2" => id = "l1" => 21:6: services[0].servers[1].id: duplicate => "#
)]
#[case::duplicate_address(
    r#"7102 => 7101 => 22:11: services[0].servers[1].address: duplicate => "#
)]
#[case::duplicate_zone(r#"["a", "b"] => ["a", "b", "a"] => 2:20: zones[2]: duplicate => "#)]
#[case::undeclared_zone(
    r#"zone = "b" => zone = "b1" => 23:8: services[0].servers[1].zone: unknown reference => b"#
)]
#[case::key_missing(
    r#"key = { from = "path", segment = 1 } =>  => 4:1: services[0].key: missing key => "#
)]
#[case::key_of_free_service(r#"routing = "free" => routing = "free"\nkey = { from = "query", name = "k" } => 31:7: services[1].key: contradiction => "#)]
#[case::key_without_name(r#"{ from = "path", segment = 1 } => { from = "header" } => 7:7: services[0].key.name: missing key => "#)]
#[case::overlapping_route(
    r#""/boka" => "/ledig/" => 29:15: services[1].path_prefix: overlapping route => "#
)]
#[case::bad_prefix(r#""/boka" => "boka" => 29:15: services[1].path_prefix: value not allowed => "#)]
#[case::syntax(r#"zones = ["a", "b"] => zones = ["a", "b" => 4:1: syntax error => "#)]
#[case::duplicate_key(r#"shards = 64 => shards = 64\nshards = 65 => 9:1: duplicate => "#)]
fn each_fault_is_reported(#[case] case: &str) {
    let case = case.replace("\\n", "\n");
    let parts: Vec<&str> = case.split(" => ").collect();
    let [from, to, position, nearest] = parts[..] else {
        panic!("{case}");
    };

    let faults = faults_after(from, to);

    assert_eq!(faults.len(), 1, "{faults:#?}");
    let line = faults[0].to_string();
    assert!(
        line.starts_with(&format!("region.toml:{position}")),
        "{line}"
    );
    assert!(
        line.contains("; allowed: ") && !line.contains('\n'),
        "{line}"
    );
    let nearest = Some(nearest.to_owned()).filter(|nearest| !nearest.is_empty());
    assert_eq!(faults[0].nearest, nearest, "{line}");
}

/// Guards against a stack overflow on deeply nested input.
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
#[case::prefix_ends_inside_a_segment(None, "/ledigt/1", None)]
#[case::exact(None, "/ledig", Some("ledig"))]
#[case::below(Some("any.example:8080"), "/boka/1", Some("boka"))]
#[case::no_service(None, "/", None)]
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
