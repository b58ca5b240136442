//! Commands run against the operator API of a host.

mod support;

use {
    camphorcove_net::{
        config::Author,
        platform::{ObjectKey, ObjectStore, PutCondition},
    },
    camphorcove_standin::platform::PlatformFaults,
    support::{AdminHost, Fixture, STOCKHOLM, closed_address},
    tokio::{io::AsyncReadExt, net::TcpListener},
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_is_checked_applied_changed_and_rolled_back() {
    let fixture = Fixture::start("lifecycle").await;
    let changed = STOCKHOLM.replace("queue = 48", "queue = 49");
    let changed = fixture.directory.file("changed.toml", &changed);

    let checked = fixture.run(&["check", &fixture.file]).await;
    let applied = fixture
        .run(&["apply", &fixture.file, "--reason", "first"])
        .await;
    let again = fixture.run(&["apply", &fixture.file, "--json"]).await;
    let diff = fixture.run(&["diff", &changed]).await;
    let second = fixture.run(&["apply", &changed, "--expect", "1"]).await;
    let drained = fixture.run(&["drain", "ledig", "ledig-3", "--json"]).await;
    let back = fixture.run(&["rollback", "1", "--json"]).await;
    let shown = fixture.run(&["show"]).await;

    assert!(
        checked.out.ends_with("valid, 3 services, 29 servers\n"),
        "{checked:?}"
    );
    assert_eq!(
        (applied.code, applied.out.as_str()),
        (0, "version 1 accepted\n"),
        "{applied:?}"
    );
    assert_eq!(
        (again.json()["version"].as_u64(), &again.json()["changed"]),
        (Some(1), &false.into())
    );
    assert_eq!(diff.out, "~ service ledig: limits.queue: 48 -> 49\n");
    assert_eq!(second.out, "version 2 accepted\n");
    assert_eq!(drained.json()["version"], 3);
    assert_eq!(back.json()["version"], 4);
    assert_eq!(shown.out, STOCKHOLM);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn state_and_owners_are_shown_as_tables_and_json() {
    let fixture = Fixture::start("state").await;
    fixture.run(&["apply", &fixture.file]).await;
    fixture.run(&["pin", "ledig", "raft-17", "ledig-2"]).await;
    fixture.host.load_config().await;
    let snapshot = fixture.host.config.config().unwrap();
    let timed_map = support::build_timed_map(&snapshot.config, "ledig", snapshot.version);
    fixture.host.maps.accept(timed_map);

    let status = fixture.run(&["status"]).await;
    let owner = fixture.run(&["owner", "ledig", "raft-17"]).await;
    let owner_json = fixture.run(&["owner", "ledig", "raft-17", "--json"]).await;
    let servers = fixture.run(&["servers", "ledig"]).await;
    let explained = fixture.run(&["explain", "/ledig/raft-17"]).await;

    assert!(
        status.out.contains("host-1") && status.out.contains("pinned: ledig/raft-17 -> ledig-2"),
        "{}",
        status.out
    );
    assert!(
        owner.out.contains("ledig-1") && owner.out.contains("valid for"),
        "{}",
        owner.out
    );
    assert_eq!(
        (&owner_json.json()["owner"], &owner_json.json()["pinned"]),
        (&"ledig-1".into(), &"ledig-2".into())
    );
    assert_eq!(servers.out.lines().count(), 13, "{}", servers.out);
    assert!(
        explained.out.contains("sent to server ledig-1"),
        "{}",
        explained.out
    );
    for arguments in [
        &["services"][..],
        &["moves"],
        &["unpin", "ledig", "raft-17"],
    ] {
        let run = fixture.run(arguments).await;
        assert_eq!(run.code, 0, "{run:?}");
    }
}

/// Names of audit streams that belong to no service, with objects that cannot be read.
const ODD_STREAMS: [&str; 6] = ["&x=1", "a b#c", "ledig/../x", "%2F", "new\nline", "岛"];

/// Guards against one object of another writer that keeps all audit streams after it from being verified,
/// and against a name that leads to another stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_audit_streams_hide_no_others() {
    let fixture = Fixture::start("odd-audit").await;
    fixture.run(&["apply", &fixture.file]).await;
    for name in ODD_STREAMS {
        let key = ObjectKey::new(format!("scope/{name}"));
        let store = fixture.platform.client();
        let written = store.put(&key, PutCondition::Absent, "odd".into()).await;
        written.unwrap();
    }

    let streams = fixture.run(&["audit", "streams", "--json"]).await;
    let verified = fixture.run(&["audit", "verify"]).await;
    let single = fixture.run(&["audit", "verify", "config"]).await;
    let odd = fixture.run(&["audit", "verify", "&x=1"]).await;

    let names: Vec<String> = serde_json::from_value(streams.json()).unwrap();
    for name in ODD_STREAMS {
        assert!(names.iter().any(|known| known == name), "{names:?}");
    }
    assert_eq!(verified.code, 8, "{verified:?}");
    assert!(
        verified.out.contains("config: 1 records, 0 faults"),
        "{verified:?}"
    );
    let unreadable = verified.out.matches("cannot be read").count();
    assert_eq!(unreadable, ODD_STREAMS.len(), "{verified:?}");
    assert!(!verified.out.contains("new\nline"), "{verified:?}");
    assert_eq!(single.code, 0, "{single:?}");
    assert_ne!(odd.code, 0, "{odd:?}");
    assert!(odd.err.contains("scope/&x=1 is damaged"), "{odd:?}");
}

/// Guards against an audit trail that can only be verified through a running host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_audit_trail_is_listed_verified_and_exported() {
    let fixture = Fixture::start("audit").await;
    fixture
        .run(&["apply", &fixture.file, "--reason", "opening day"])
        .await;
    fixture.run(&["drain", "ledig", "ledig-3"]).await;

    let listed = fixture.run(&["audit", "list"]).await;
    let verified = fixture.run(&["audit", "verify"]).await;
    let export = fixture.run(&["audit", "export"]).await;
    let file = fixture.directory.file("export.jsonl", &export.out);
    let local = support::run(support::command(&["audit", "verify", "--file", &file])).await;
    let edited = fixture
        .directory
        .file("edited.jsonl", &export.out.replace("opening", "closing"));
    let edited = support::run(support::command(&["audit", "verify", "--file", &edited])).await;
    let anchor = format!("3:{}", "0".repeat(64));
    let cut = fixture
        .run(&["audit", "verify", "config", "--anchor", &anchor])
        .await;

    assert!(listed.out.contains("opening day"), "{listed:?}");
    assert!(listed.out.contains("Z  anna"), "{listed:?}");
    assert!(
        verified
            .out
            .starts_with("config: 2 records, 0 faults, last 2:"),
        "{verified:?}"
    );
    assert_eq!(
        (export.out.lines().count(), local.code),
        (2, 0),
        "{local:?}"
    );
    assert_eq!(edited.code, 8);
    assert!(edited.out.contains("edited: record 1"), "{edited:?}");
    assert_eq!(cut.code, 8);
    assert!(cut.out.contains("cut end: record 2"), "{cut:?}");
}

/// Guards against wrong dates around leap days.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn times_are_shown_as_dates() {
    let fixture = Fixture::start("dates").await;
    let times = [
        (0, "1970-01-01 00:00:00Z"),
        (951_782_400, "2000-02-29 00:00:00Z"),
        (1_709_251_199, "2024-02-29 23:59:59Z"),
        (4_107_542_400, "2100-03-01 00:00:00Z"),
    ];
    for (index, (seconds, _)) in times.iter().enumerate() {
        let text = STOCKHOLM.replace("queue = 48", &format!("queue = {index}"));
        let author = Author {
            actor: "anna".into(),
            reason: String::new(),
            wall_millis: seconds * 1_000,
        };
        fixture.host.repo.apply(&text, None, &author).await.unwrap();
    }

    let listed = fixture.run(&["audit", "list"]).await;

    let shown: Vec<&str> = listed.out.lines().skip(1).collect();
    assert_eq!(shown.len(), times.len());
    for (line, (_, date)) in shown.iter().zip(times) {
        assert!(line.contains(date), "{line} lacks {date}");
    }
}

/// Guards against exit codes that mislead scripts about the kind of failure.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_kind_of_failure_has_its_exit_code() {
    let fixture = Fixture::start("exit-codes").await;
    fixture.run(&["apply", &fixture.file]).await;
    let changed = STOCKHOLM.replace("queue = 48", "queue = 49");
    let changed = fixture.directory.file("changed.toml", &changed);
    let forbidden = STOCKHOLM.replace("segment = 1", "segment = 2");
    let forbidden = fixture.directory.file("forbidden.toml", &forbidden);
    let wrong_key = fixture.directory.file("wrong.key", &"b".repeat(64));

    let cases: [(&[&str], i32); 10] = [
        (&["apply", &changed, "--expect", "7"], 3),
        (&["apply", &forbidden], 2),
        (&["apply", "no-such-file.toml"], 2),
        (&["apply", &changed, "--expect", "x"], 2),
        (&["status", "--key-file", &wrong_key], 4),
        (&["status", "--key-id", "eve"], 4),
        (&["drain", "ledig", "nobody"], 7),
        (&["owner", "ledig", "key"], 7),
        (
            &[
                "confirm-lost",
                "ledig",
                "8",
                "--hosts-have-stopped",
                "--reason",
                "x",
            ],
            3,
        ),
        (&["confirm-lost", "ledig", "7", "--reason", "x"], 2),
    ];
    for (arguments, code) in cases {
        let run = fixture.run(arguments).await;
        assert_eq!(run.code, code, "{arguments:?}: {run:?}");
        assert!(
            !run.err.is_empty() && run.out.is_empty(),
            "{arguments:?}: {run:?}"
        );
    }
    fixture.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let outage = fixture
        .run(&["apply", &changed, "--expect", "1", "--json"])
        .await;
    assert_eq!(outage.code, 5, "{outage:?}");
    let error: serde_json::Value = serde_json::from_str(&outage.err).unwrap();
    assert_eq!(
        (error["exit"].as_u64(), error["code"].as_u64()),
        (Some(5), Some(1301))
    );
}

/// Guards against a change that is made twice or fails because one host is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_next_host_takes_over() {
    let fixture = Fixture::start("failover").await;
    let other = AdminHost::start(&fixture.platform, "host-2").await;
    let closed = closed_address().await;

    let applied = fixture
        .run_at(&[closed, other.address], &["apply", &fixture.file])
        .await;
    let nobody = fixture
        .run_at(&[closed], &["apply", &fixture.file, "--expect", "0"])
        .await;

    assert_eq!(applied.out, "version 1 accepted\n", "{applied:?}");
    assert_eq!(nobody.code, 5, "{nobody:?}");
    assert!(nobody.err.contains("nothing was sent"), "{nobody:?}");
}

/// Guards against reporting "nothing changed" when a host received the request but
/// closed the connection without a response: the change may have taken effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unanswered_change_is_repeated_safely_or_reported_as_unknown() {
    let fixture = Fixture::start("unanswered").await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let silent_address = silent.local_addr().unwrap();
    let task = tokio::spawn(async move {
        loop {
            let (mut stream, _) = silent.accept().await.unwrap();
            let _ = stream.read_u8().await;
        }
    });

    let alone = fixture
        .run_at(
            &[silent_address],
            &["apply", &fixture.file, "--expect", "0"],
        )
        .await;
    let addresses = [silent_address, fixture.host.address];
    let repeated = fixture
        .run_at(&addresses, &["apply", &fixture.file, "--expect", "0"])
        .await;
    let mismatch = fixture
        .run_at(&addresses, &["drain", "ledig", "ledig-1", "--expect", "0"])
        .await;
    task.abort();

    assert_eq!(alone.code, 6, "{alone:?}");
    assert_eq!(repeated.out, "version 1 accepted\n", "{repeated:?}");
    assert_eq!(mismatch.code, 6, "{mismatch:?}");
}

/// Guards against `--wait` returning before the version is in force on every host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_ends_when_every_host_has_the_version() {
    let fixture = Fixture::start("wait").await;

    let early = fixture
        .run(&["apply", &fixture.file, "--wait", "--wait-limit", "1ms"])
        .await;
    fixture.host.load_config().await;
    let done = fixture.run(&["apply", &fixture.file, "--wait"]).await;

    assert_eq!(early.code, 9, "{early:?}");
    assert!(early.err.contains("host-1"), "{early:?}");
    assert_eq!((done.code, done.err.as_str()), (0, ""), "{done:?}");
}
