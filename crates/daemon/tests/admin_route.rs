//! The operator API and the caller listener match requests to the same services.

use {
    camphorcove_core::{
        conf::{RegionConfig, parse},
        ids::ConfigVersion,
    },
    camphorcove_net::{
        clock::BootClock,
        peer::{ConfigSnapshot, PeerKey},
        servers::ClockTable,
    },
    camphorcoved::{
        context::{RequestContext, RequestTuning},
        maps::{ConfigStore, MapStore},
        serve::ServiceIndex,
    },
    std::sync::Arc,
};

const ROUTES: &[(&str, &str)] = &[
    ("", "/"),
    ("", "/a"),
    ("", "/a/b/"),
    ("x.example", "/"),
    ("x.example", "/a"),
    ("y.example", "/a/b"),
];

fn region() -> RegionConfig {
    let mut text = String::from("region = \"r\"\nzones = [\"z\"]\n");
    for (index, (host, prefix)) in ROUTES.iter().enumerate() {
        text += &format!("[[services]]\nname = \"s{index}\"\nrouting = \"free\"\n");
        text += &format!("path_prefix = {prefix:?}\n");
        if !host.is_empty() {
            text += &format!("host = {host:?}\n");
        }
    }
    parse("file", &text).unwrap_or_else(|faults| panic!("{faults:#?}"))
}

fn context(config: RegionConfig) -> RequestContext {
    let configs = ConfigStore::default();
    configs.accept(ConfigSnapshot {
        version: ConfigVersion(1),
        config,
        orders: Default::default(),
    });
    RequestContext {
        host: "host-1".parse().unwrap(),
        maps: MapStore::default(),
        configs,
        clocks: ClockTable::default(),
        clock: BootClock,
        key: PeerKey::new(&[7; 32]).unwrap(),
        counters: Arc::default(),
        tuning: RequestTuning::default(),
    }
}

/// Guards against an explanation that names another service than the one to which the
/// caller listener routes the request.
#[test]
fn every_host_and_path_leads_to_the_same_service() {
    let config = region();
    let context = context(config.clone());
    let index = ServiceIndex::default();
    let hosts = [
        None,
        Some("x.example"),
        Some("X.Example:8080"),
        Some("y.example"),
        Some("other"),
        Some("[::1]:80"),
    ];
    let paths = [
        "/", "/a", "/a/", "/ab", "/a/b", "/a/b/", "/a/b/c", "/a/bc", "/A", "//a", "*",
    ];

    for host in hosts {
        for path in paths {
            let listener = index.find(&context, host, path);
            let listener = listener.map(|rule| rule.config.name.to_string());
            let operator = config.route(host, path);
            let operator = operator.map(|service| service.name.to_string());
            assert_eq!(operator, listener, "host {host:?}, path {path}");
        }
    }
}
