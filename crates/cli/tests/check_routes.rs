//! Check of a configuration of the platform before it is sent.

mod support;

use {
    camphorcove_platform_standin::store_standin::StoreStandin,
    rstest::rstest,
    serde_json::json,
    support::{Run, TestDir, closed_address, command, run},
};

const ROUTES: &str = r#"{
  "Version": "1f",
  "Routes": [
    {"Name": "a", "Host": "boats.example", "PathPrefix": "/a/", "Kind": "safe",
     "TimeoutS": 4, "TargetLatencyS": 1, "MaxAttempts": 2, "Service": "s1"},
    {"Name": "b", "Host": "boats.example", "PathPrefix": "/b/", "Kind": "unsafe",
     "TimeoutS": 4, "TargetLatencyS": 1, "MaxAttempts": 1, "Service": "s2"}
  ],
  "Services": [
    {"Name": "s1", "MaxConnections": 100, "Sharded": true},
    {"Name": "s2", "MaxConnections": 100}
  ],
  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000, "IdleTimeoutS": 15}
}
"#;

async fn check(arguments: &[&str]) -> Run {
    let mut all = vec!["check-routes"];
    all.extend(arguments);
    run(command(&all)).await
}

/// Guards against faults that are shown one at a time, or without their place in the file.
#[tokio::test]
async fn all_faults_are_shown_with_their_places() {
    let directory = TestDir::new("routes-faulty");
    let text = ROUTES
        .replace("\"safe\"", "\"often\"")
        .replace("\"PathPrefix\": \"/b/\"", "\"PathPrefix\": \"b\"")
        .replace("\"Service\": \"s2\"", "\"Service\": \"s9\"");
    let file = directory.file("routes.json", &text);

    let plain = check(&[&file]).await;
    let json = check(&[&file, "--json"]).await;

    let lines: Vec<&str> = plain.out.lines().collect();
    assert_eq!((plain.code, lines.len()), (2, 4), "{plain:?}");
    for (line, place) in lines
        .iter()
        .zip(["4:5: error: Routes[0]", "6:5: error: Routes[1]"])
    {
        assert!(line.starts_with(&format!("{file}:{place}: ")), "{line}");
    }
    let report = json.json();
    assert_eq!((json.code, &report["errors"]), (2, &json!(3)));
    assert_eq!(report["findings"][2]["line"], 6);
}

/// Guards against warnings that stop a script without being asked to, and against an empty retry budget that goes
/// unnoticed.
#[tokio::test]
async fn warnings_fail_only_if_asked() {
    let directory = TestDir::new("routes-warnings");
    let file = directory.file("routes.json", ROUTES);
    let settings = "repeat_ratio = 0\nrepeat_slack = 0.0\n";
    let settings = directory.file("settings.toml", settings);

    let known = check(&[&file, "--settings", &settings]).await;
    let strict = check(&[&file, "--settings", &settings, "--strict"]).await;
    let unknown = check(&[&file, "--strict"]).await;

    assert_eq!(
        (known.code, strict.code, unknown.code),
        (0, 2, 0),
        "{known:?} {unknown:?}"
    );
    assert!(
        known
            .out
            .contains("4:5: warning: Routes[0]: route a: 2 attempts"),
        "{known:?}"
    );
}

/// Guards against differences that are not shown, from a file and from the store.
#[tokio::test]
async fn differences_from_another_version_are_shown() {
    let directory = TestDir::new("routes-differences");
    let file = directory.file("routes.json", ROUTES);
    let changed = ROUTES.replacen("\"TimeoutS\": 4", "\"TimeoutS\": 3", 1);
    let other = directory.file("other.json", &changed);
    let (store, address) = StoreStandin::start().await;
    store.put(
        "config",
        "main",
        serde_json::from_str(&changed).expect("JSON"),
    );

    let from_file = check(&[&file, "--against", &other]).await;
    let from_store = check(&[&file, "--store", &address.to_string()]).await;
    let same = check(&[&file, "--against", &file]).await;

    for shown in [from_file, from_store] {
        assert_eq!(shown.code, 0, "{shown:?}");
        assert!(
            shown.out.starts_with("~ Routes[a].TimeoutS: 3 -> 4\n"),
            "{shown:?}"
        );
    }
    assert!(same.out.starts_with("no differences\n"), "{same:?}");
}

/// Guards against exit codes that hide why there is no result.
#[rstest]
#[case::not_json("{\"Version\": ", "routes.json:1:12: not JSON")]
#[case::not_an_object("[]", "4 errors")]
#[tokio::test]
async fn unreadable_files_give_exit_code_2(#[case] text: &str, #[case] problem: &str) {
    let directory = TestDir::new(&format!("routes-unreadable-{}", text.len()));
    let file = directory.file("routes.json", text);

    let checked = check(&[&file]).await;

    assert_eq!(checked.code, 2, "{checked:?}");
    assert!(checked.err.contains(problem), "{checked:?}");
}

/// Guards against a store without a configuration, or out of reach, that looks like a version without differences.
#[tokio::test]
async fn store_that_cannot_be_read_has_an_exit_code() {
    let directory = TestDir::new("routes-store");
    let file = directory.file("routes.json", ROUTES);
    let (_store, empty) = StoreStandin::start().await;
    let closed = closed_address().await;

    let missing = check(&[&file, "--store", &empty.to_string()]).await;
    let unavailable = check(&[&file, "--store", &closed.to_string()]).await;

    assert_eq!(
        (missing.code, unavailable.code),
        (7, 5),
        "{missing:?} {unavailable:?}"
    );
}
