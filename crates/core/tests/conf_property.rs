//! Property tests: reading arbitrary text, rendering and diffing arbitrary configurations.

use {
    camphorcove_core::conf::{
        DedupMode, FencingMode, KeySource, METHODS, PlacementGoal, RegionConfig, RequestClass,
        RequestLimits, RoutingMode, ServerConfig, ServiceConfig, TimeSpan, check_change, diff,
        parse, parse_stored, render,
    },
    proptest::{prelude::*, sample::subsequence, test_runner::RngSeed},
};

/// Fixed seed, so that every run tries the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_250_601),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const VALID: &str = include_str!("../../../examples/stockholm.toml");

fn key_source() -> impl Strategy<Value = KeySource> {
    prop_oneof![
        (0u32..=31).prop_map(|segment| KeySource::Path { segment }),
        "[a-z][a-z0-9_-]{0,20}".prop_map(|name| KeySource::Header { name }),
        "[A-Za-z0-9_.-]{1,20}".prop_map(|name| KeySource::Query { name }),
    ]
}

fn limits() -> impl Strategy<Value = RequestLimits> {
    (
        10u64..=3_600_000,
        0u64..=3_600_000,
        0u32..=100_000,
        0u64..=(1 << 30),
        1_024u32..=(1 << 20),
    )
        .prop_map(
            |(timeout, extra, queue, max_body, max_header)| RequestLimits {
                timeout: TimeSpan(timeout),
                max_timeout: TimeSpan((timeout + extra).min(3_600_000)),
                queue,
                max_body,
                max_header,
            },
        )
}

prop_compose! {
    fn service(index: u16)(
        keyed in any::<bool>(),
        key in key_source(),
        host in proptest::option::of("[a-z0-9.-]{1,30}"),
        shards in 8u32..=8_192,
        max_moves in 1u32..=8_192,
        modes in (any::<bool>(), any::<bool>(), any::<bool>(), 0usize..3),
        methods in subsequence(METHODS, 0..=METHODS.len()),
        limits in limits(),
        servers in proptest::collection::vec((1u32..=10_000, 1u32..=10_000, 0u32..=90_000, 0usize..2), 0..8),
    ) -> ServiceConfig {
        let server = |(number, (weight, slots, extra, zone)): (u16, (u32, u32, u32, usize))| ServerConfig {
            id: format!("s{number}").parse().unwrap(),
            address: ([127, 0, 0, 1], 1_000 + index * 100 + number).into(),
            zone: ["a", "b"][zone].parse().unwrap(),
            weight,
            slots,
            connections: slots + extra,
        };
        ServiceConfig {
            name: format!("service-{index}").parse().unwrap(),
            host,
            path_prefix: format!("/p{index}"),
            routing: if keyed { RoutingMode::Keyed } else { RoutingMode::Free },
            key: keyed.then_some(key),
            shards,
            placement: if modes.0 { PlacementGoal::Churn } else { PlacementGoal::Availability },
            fencing: if modes.1 { FencingMode::Unchecked } else { FencingMode::Checked },
            class: if modes.2 { RequestClass::Batch } else { RequestClass::Interactive },
            dedup: [DedupMode::None, DedupMode::Router, DedupMode::Server][modes.3],
            idempotent_methods: methods.iter().map(|method| (*method).to_owned()).collect(),
            max_moves,
            limits,
            servers: (0..).zip(servers).map(server).collect(),
        }
    }
}

fn region() -> impl Strategy<Value = RegionConfig> {
    (0u16..4).prop_flat_map(|count| {
        let services: Vec<_> = (0..count).map(service).collect();
        services.prop_map(|services| RegionConfig {
            region: "r".parse().unwrap(),
            zones: vec!["a".parse().unwrap(), "b".parse().unwrap()],
            services,
        })
    })
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against input that makes the operator's tool or a host panic.
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _ = parse("file", &text);
    }

    /// Guards against panics on positions inside multi-byte characters.
    #[test]
    fn damaged_files_never_panic(offset in 0..VALID.len(), removed in 0usize..40, insert in "\\PC{0,6}|[\\[\\]{}=\"'\\n#]{0,6}") {
        let mut text = VALID.to_owned();
        let end = (offset + removed).min(text.len());
        text.replace_range(offset..end, &insert);
        if let Err(faults) = parse("file", &text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| fault.line >= 1 && fault.column >= 1));
        }
    }

    /// Guards against settings that are lost when rendering or reading a configuration.
    #[test]
    fn a_valid_configuration_survives_rendering(region in region()) {
        let text = render(&region);

        let read = parse("file", &text);

        prop_assert_eq!(read.as_ref(), Ok(&region), "{}", text);
        prop_assert_eq!(parse_stored(&text), Ok(region));
    }

    /// Guards against a change that `diff` does not show.
    #[test]
    fn a_diff_is_empty_exactly_for_equal_configurations(old in region(), new in region()) {
        prop_assert!(diff(Some(&old), &old).is_empty());
        prop_assert!(check_change(&old, &old).is_ok());
        prop_assert_eq!(diff(Some(&old), &new).is_empty(), old == new);
    }
}
