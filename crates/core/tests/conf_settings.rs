//! The list of settings, the reader, docs/configuration.md and the examples agree.

use {
    camphorcove_core::conf::{
        RegionConfig, SETTINGS, SettingInfo, SettingKind, SettingTable, TimeSpan, parse, render,
    },
    std::{collections::BTreeSet, fs, path::Path},
};

fn project_file(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(path)).unwrap()
}

/// Guards against a settings page that is out of date.
#[test]
fn the_page_lists_exactly_the_settings_of_the_code() {
    let page = project_file("docs/configuration.md");
    let documented: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| `") && line.matches(" | ").count() == 4)
        .map(|line| line.rsplit_once(" | ").unwrap().0.to_owned())
        .collect();

    let expected: BTreeSet<String> = SETTINGS
        .iter()
        .map(|info| {
            let default = match info.default {
                None => "required".to_owned(),
                Some(default) => format!("`{default}`"),
            };
            format!(
                "| `{}` | {} | {default} | {}",
                info.name,
                info.unit(),
                info.range()
            )
        })
        .collect();

    assert_eq!(documented, expected);
}

/// Parses a valid file with `line` added to the table of `info`. A line that the file would
/// otherwise have for the same setting is left out.
fn file_with(info: &SettingInfo, line: &str) -> Result<RegionConfig, String> {
    let line_of = |table: SettingTable| if table == info.table { line } else { "" };
    let key = match info.name {
        "segment" => line,
        _ => "segment = 1",
    };
    let server = |name: &str, text: &str| match info.name == name {
        true => String::new(),
        false => text.to_owned(),
    };
    let text = format!(
        "region = \"r\"\nzones = [\"a\"]\n[[services]]\nname = \"s\"\n{}\n[services.key]\nfrom = \"path\"\n{key}\n\
         [services.limits]\n{}\n[[services.servers]]\nid = \"x\"\naddress = \"127.0.0.1:1\"\nzone = \"a\"\n{}\n{}\n{}\n",
        line_of(SettingTable::Service),
        line_of(SettingTable::Limits),
        server("slots", "slots = 1"),
        server("connections", "connections = 100000"),
        line_of(SettingTable::Server),
    );
    parse("file", &text).map_err(|faults| faults.iter().map(|fault| format!("{fault}\n")).collect())
}

/// Guards against a listed default or range that the reader does not apply.
#[test]
fn defaults_and_ranges_are_those_of_the_reader() {
    for info in SETTINGS {
        let (name, mut accepted, mut refused) = (info.name, Vec::new(), Vec::new());
        match info.kind {
            SettingKind::Count { min, max, .. } => {
                accepted.extend([min.to_string(), max.to_string()]);
                refused.extend([(max + 1).to_string(), (i128::from(min) - 1).to_string()]);
            }
            SettingKind::Span { min, max } => {
                // A timeout above the default of max_timeout contradicts it.
                let highest = if name == "timeout" { 30_000 } else { max };
                let lowest = if name == "max_timeout" { 2_000 } else { min };
                accepted
                    .extend([lowest, highest].map(|millis| format!("\"{}\"", TimeSpan(millis))));
                refused
                    .extend([min - 1, max + 1].map(|millis| format!("\"{}\"", TimeSpan(millis))));
            }
            _ => continue,
        }
        for value in accepted {
            let result = file_with(info, &format!("{name} = {value}"));
            assert!(result.is_ok(), "{name} = {value}: {result:?}");
        }
        for value in refused {
            let result = file_with(info, &format!("{name} = {value}"));
            assert!(result.is_err(), "{name} = {value} is accepted");
        }
        let Some(default) = info.default else {
            continue;
        };
        let value = match info.kind {
            SettingKind::Span { .. } => format!("{name} = \"{default}\""),
            _ => format!("{name} = {default}"),
        };
        assert_eq!(
            file_with(info, &value),
            file_with(info, ""),
            "default of {name}"
        );
    }
}

/// Guards against a choice whose listed default differs from the one that the reader applies.
#[test]
fn defaults_of_choices_are_those_of_the_reader() {
    let choices = SETTINGS
        .iter()
        .filter(|info| matches!(info.kind, SettingKind::Choice(_)));
    for info in choices.filter(|info| info.table == SettingTable::Service) {
        let default = info.default.unwrap();
        let written = file_with(info, &format!("{} = \"{default}\"", info.name));
        assert_eq!(written, file_with(info, ""), "default of {}", info.name);
    }
}

/// Guards against examples that are invalid or do not have the sizes given in design.md, section 1.4.
#[test]
fn examples_are_valid_and_have_the_users_sizes() {
    let sizes = |file: &str| {
        let text = project_file(&format!("examples/{file}.toml"));
        let config = parse(file, &text).unwrap_or_else(|faults| panic!("{faults:#?}"));
        assert_eq!(parse(file, &render(&config)).unwrap(), config);
        let services = config.services.iter().map(|service| {
            let limits = service
                .servers
                .iter()
                .map(|server| (server.slots, server.connections));
            let limits: BTreeSet<(u32, u32)> = limits.collect();
            assert_eq!(limits.len(), 1);
            let (slots, connections) = limits.into_iter().next().unwrap();
            let count = service.servers.len();
            (
                service.name.to_string(),
                count,
                slots,
                connections,
                service.is_keyed(),
            )
        });
        (config.zones.len(), services.collect::<Vec<_>>())
    };

    let service = |name: &str, count, slots, connections, keyed| {
        (name.to_owned(), count, slots, connections, keyed)
    };
    let stockholm = vec![
        service("ledig", 12, 3, 120, true),
        service("boka", 6, 3, 120, false),
        service("hamnplan", 11, 3, 120, false),
    ];
    let buenos_aires = vec![
        service("rutas", 10, 4, 110, true),
        service("reclamos", 8, 4, 110, false),
        service("bitacoras", 10, 4, 110, false),
    ];
    assert_eq!(sizes("stockholm"), (3, stockholm));
    assert_eq!(sizes("buenos-aires"), (4, buenos_aires));
}
