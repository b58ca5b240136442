//! Forbidden configuration changes, and the diff of two configurations.

use {
    camphorcove_core::conf::{RegionConfig, check_change, diff, parse},
    rstest::rstest,
};

const OLD: &str = include_str!("../../../examples/buenos-aires.toml");

fn read(text: &str) -> RegionConfig {
    parse("file", text).unwrap_or_else(|faults| panic!("{faults:#?}"))
}

/// Guards against configuration changes that could give a key two owners at the same time.
#[rstest]
#[case::region("\"buenos-aires\"", "\"rosario\"", "region")]
#[case::shards("max_moves = 64", "shards = 64", "service rutas: shards")]
#[case::key("segment = 1", "segment = 2", "service rutas: key")]
#[case::address(
    "127.0.0.1:19101",
    "127.0.0.1:19199",
    "service rutas: server rutas-1: address"
)]
fn a_forbidden_change_is_refused(#[case] from: &str, #[case] to: &str, #[case] what: &str) {
    let faults = check_change(&read(OLD), &read(&OLD.replacen(from, to, 1))).unwrap_err();

    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].what, what);
}

#[test]
fn a_change_of_routing_is_refused() {
    let new = OLD.replacen(
        "routing = \"keyed\"\nkey = { from = \"path\", segment = 1 }",
        "routing = \"free\"",
        1,
    );

    let faults = check_change(&read(OLD), &read(&new)).unwrap_err();

    assert_eq!(faults[0].what, "service rutas: routing");
}

#[test]
fn a_diff_names_what_is_added_removed_and_changed() {
    let new = OLD
        .replacen("id = \"rutas-1\"", "id = \"rutas-21\"", 1)
        .replacen("placement = \"churn\"", "placement = \"availability\"", 1)
        .replacen("name = \"reclamos\"", "name = \"cobros\"", 1)
        .replacen("weight = 150", "weight = 90", 1);
    let new = read(&new);

    let lines = diff(Some(&read(OLD)), &new);

    assert_eq!(
        lines,
        [
            "- service reclamos (8 servers)",
            "~ service rutas: placement: churn -> availability",
            "- service rutas: server rutas-1 (127.0.0.1:19101)",
            "+ service rutas: server rutas-21 (127.0.0.1:19101)",
            "~ service rutas: server rutas-3: weight: 150 -> 90",
            "+ service cobros (8 servers)",
        ]
    );
    assert!(check_change(&read(OLD), &new).is_ok());
    assert_eq!(diff(None, &new)[0], "+ region buenos-aires");
}
