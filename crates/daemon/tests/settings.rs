//! The settings file, its error messages and its documentation page.

use {
    camphorcoved::conf::{SETTINGS, parse},
    rstest::rstest,
    std::{fs, path::PathBuf, process::Command},
};

const PAGE: &str = include_str!("../../../docs/settings.md");

fn key_file() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-peer.key");
    fs::write(&path, "5a".repeat(32)).unwrap();
    path
}

/// Text of a complete settings file. `change` replaces or adds lines; an empty value removes
/// the line.
fn text(change: &[(&str, &str)]) -> String {
    let key_file = format!("{:?}", key_file().display().to_string());
    let mut lines = vec![
        ("host", "\"host1\"".to_owned()),
        ("region", "\"stockholm\"".to_owned()),
        ("zone", "\"a\"".to_owned()),
        ("callers", "\"127.0.0.1:0\"".to_owned()),
        ("peers", "\"127.0.0.1:0\"".to_owned()),
        ("operators", "\"127.0.0.1:0\"".to_owned()),
        ("platform", "\"127.0.0.1:1\"".to_owned()),
        ("peer_key_file", key_file),
    ];
    for (key, value) in change {
        lines.retain(|line| line.0 != *key);
        if !value.is_empty() {
            lines.push((key, (*value).to_owned()));
        }
    }
    let lines = lines
        .iter()
        .map(|(key, value)| format!("{key} = {value}\n"));
    lines.collect()
}

/// Guards against a documentation page that differs from the settings that the code reads.
#[test]
fn page_lists_the_settings_of_the_code() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = SETTINGS
        .iter()
        .map(|spec| {
            let default = match spec.default {
                "" => "required".to_owned(),
                text => format!("`{text}`"),
            };
            format!(
                "| `{}` | {} | {default} | {} | {} |",
                spec.key, spec.unit, spec.allowed, spec.meaning
            )
        })
        .collect();

    assert_eq!(rows, expected);
}

/// Guards against documented defaults that the reader does not apply or would reject.
#[test]
fn defaults_of_the_page_apply() {
    let defaults: Vec<(&str, &str)> = SETTINGS
        .iter()
        .filter(|spec| !spec.default.is_empty())
        .map(|spec| (spec.key, spec.default))
        .collect();

    let omitted = parse("test", &text(&[])).unwrap();
    let written = parse("test", &text(&defaults)).unwrap();

    assert_eq!(omitted, written);
}

/// Guards against invalid values that are accepted, and against error messages that do not
/// locate the value.
#[rstest]
#[case("host", "\"Host 1\"", "\"Host 1\"")]
#[case("region", "7", "7")]
#[case("callers", "\"localhost:80\"", "\"localhost:80\"")]
#[case("peers", "\"0.0.0.0:7000\"", "\"0.0.0.0:7000\"")]
#[case("peers_announced", "\"0.0.0.0:7000\"", "\"0.0.0.0:7000\"")]
#[case("peer_key_file", "\"/nowhere/peer.key\"", "\"/nowhere/peer.key\"")]
#[case(
    "operator_keys_file",
    "\"/nowhere/operators\"",
    "\"/nowhere/operators\""
)]
#[case("seeds", "[\"host2\"]", "\"host2\"")]
#[case("seeds", "\"host2@127.0.0.1:1\"", "\"host2@127.0.0.1:1\"")]
#[case("log_level", "\"loud\"", "\"loud\"")]
#[case("shutdown_limit", "\"500ms\"", "\"500ms\"")]
#[case("shutdown_limit", "\"11m\"", "\"11m\"")]
fn wrong_value_names_file_line_key_found_and_allowed(
    #[case] key: &str,
    #[case] value: &str,
    #[case] found: &str,
) {
    let text = text(&[(key, value)]);
    let line = 1 + text.lines().position(|line| line.starts_with(key)).unwrap();
    let allowed = SETTINGS
        .iter()
        .find(|spec| spec.key == key)
        .unwrap()
        .allowed;

    let error = parse("settings.toml", &text).unwrap_err().to_string();

    let expected = format!("settings.toml:{line}: {key}: found {found}; allowed: {allowed}");
    assert_eq!(error, expected);
}

/// Guards against required settings that get a default when they are missing.
#[test]
fn missing_setting_is_rejected() {
    for spec in SETTINGS.iter().filter(|spec| spec.default.is_empty()) {
        let error = parse("settings.toml", &text(&[(spec.key, "")])).unwrap_err();

        let error = error.to_string();
        assert!(
            error.contains(&format!("key {} is missing", spec.key)),
            "{error}"
        );
    }
}

/// Guards against misspelt keys that are ignored, and against multi-line error messages.
#[rstest]
#[case("log_levle = \"info\"\n", "unknown key \"log_levle\"")]
#[case("host = \n", "not valid TOML")]
#[case("host = \"a\"\nhost = \"b\"\n", "not valid TOML")]
fn invalid_file_is_rejected_with_one_line(#[case] invalid: &str, #[case] expected: &str) {
    let error = parse("settings.toml", invalid).unwrap_err().to_string();

    assert!(error.contains(expected), "{error}");
    assert!(error.starts_with("settings.toml:"), "{error}");
    assert_eq!(error.lines().count(), 1);
}

/// Guards against a daemon that starts with invalid settings or exits with another code.
#[test]
fn daemon_exits_with_code_2_on_invalid_settings() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-wrong.toml");
    fs::write(&path, text(&[("zone", "\"Zone A\"")])).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_camphorcoved"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();

    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains("zone: found \"Zone A\"; allowed:"),
        "{error}"
    );
}

/// Guards against a peer key that is too short to be secure.
#[test]
fn daemon_rejects_a_short_peer_key() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (key, path) = (folder.join("short.key"), folder.join("settings-short.toml"));
    fs::write(&key, "5a".repeat(31)).unwrap();
    let key_text = format!("{:?}", key.display().to_string());
    fs::write(&path, text(&[("peer_key_file", &key_text)])).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_camphorcoved"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();

    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("64 hexadecimal digits"), "{error}");
}
