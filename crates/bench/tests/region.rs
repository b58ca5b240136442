//! Tests of the regions that the benchmarks start, and of the probe for unavailable keys.

use {
    camphorcove_bench::{
        error::BenchError,
        experiments::KeyGap,
        region::{
            BackendProcess, PlatformProcess, ProcessUsage, ProgramOptions, RegionPlan, ServerPlan,
            ServicePlan,
        },
    },
    camphorcove_core::conf::{RoutingMode, parse},
    camphorcove_standin::backend::BackendSettings,
    rstest::rstest,
    std::{
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
};

fn plan(routing: RoutingMode) -> RegionPlan {
    let server = |weight| ServerPlan {
        weight,
        settings: BackendSettings::default(),
    };
    RegionPlan {
        hosts: 3,
        zones: 2,
        services: vec![ServicePlan {
            name: "boka".into(),
            routing,
            shards: 64,
            extra_config: "limits = { queue = 100, timeout = \"3s\" }".into(),
            servers: vec![server(100), server(25)],
        }],
    }
}

// Guards against experiments that fail only after minutes because the region's configuration is
// rejected, or that measure servers with other settings than planned.
#[rstest]
#[case(RoutingMode::Keyed)]
#[case(RoutingMode::Free)]
fn generated_configuration_matches_the_plan(#[case] routing: RoutingMode) {
    let addresses: Vec<SocketAddr> = vec![
        "127.0.0.1:4001".parse().unwrap(),
        "127.0.0.1:4002".parse().unwrap(),
    ];

    let text = plan(routing).config(std::slice::from_ref(&addresses));
    let config = parse("region", &text);

    let config = config.unwrap_or_else(|faults| panic!("{faults:?}\n{text}"));
    let service = &config.services[0];
    let servers: Vec<(SocketAddr, u32, u32, u32)> = service
        .servers
        .iter()
        .map(|server| {
            (
                server.address,
                server.weight,
                server.slots,
                server.connections,
            )
        })
        .collect();
    assert_eq!(service.routing, routing);
    assert_eq!(service.limits.queue, 100);
    assert_eq!(
        servers,
        [(addresses[0], 100, 3, 120), (addresses[1], 25, 3, 120)]
    );
}

// Arguments: times of the good answers, time at which the gap is read, and expected longest gap,
// all in milliseconds after the start.
#[rstest]
#[case::none(&[], 50, 50)]
#[case::in_the_middle(&[10, 20, 90, 100], 105, 70)]
#[case::at_the_end(&[10, 20], 100, 80)]
#[case::late_answer_of_an_older_request(&[10, 60, 20, 70], 75, 50)]
fn longest_time_without_an_answer_is_found(
    #[case] answers: &[u64],
    #[case] observed_at: u64,
    #[case] expected: u64,
) {
    let start = Instant::now();
    let mut gap = KeyGap::start(start);

    for millis in answers {
        gap.record_good_answer(start + Duration::from_millis(*millis));
    }

    let longest = gap.longest(start + Duration::from_millis(observed_at));
    assert_eq!(longest, Duration::from_millis(expected));
}

#[test]
fn usage_of_a_running_process_is_read() {
    let usage = ProcessUsage::read(std::process::id());

    assert!(
        usage.is_some_and(|usage| usage.resident_kb > 0),
        "{usage:?}"
    );
    assert_eq!(ProcessUsage::read(u32::MAX), None);
}

// Guards against a wait until the timeout when a program is missing: starting it must fail at
// once with an error.
#[tokio::test]
async fn a_missing_program_is_reported() {
    let programs = ProgramOptions {
        programs: Some(PathBuf::from("/nonexistent")),
        daemon: None,
    };

    let platform = PlatformProcess::start(&programs);
    let backend = BackendProcess::start(&programs, &BackendSettings::default()).await;

    assert!(matches!(platform, Err(BenchError::NotStarted { .. })));
    assert!(matches!(backend, Err(BenchError::NotStarted { .. })));
}
