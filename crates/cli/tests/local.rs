//! Commands that run without a host, and resolution of the settings.

mod support;

use {
    rstest::rstest,
    std::collections::BTreeSet,
    support::{Run, STOCKHOLM, TestDir, command, run},
};

async fn run_local(arguments: &[&str]) -> Run {
    run(command(arguments)).await
}

/// Guards against error output that scripts cannot map to lines of the file.
#[tokio::test]
async fn a_faulty_file_gives_one_line_a_fault_and_exit_code_2() {
    let directory = TestDir::new("faulty");
    let text = STOCKHOLM
        .replace(
            "placement = \"availability\"",
            "placment = \"availability\"",
        )
        .replace("region = \"stockholm\"", "region = \"Stockholm\"");
    let file = directory.file("bad.toml", &text);

    let plain = run_local(&["check", &file]).await;
    let json = run_local(&["check", &file, "--json"]).await;

    let lines: Vec<&str> = plain.err.lines().collect();
    assert_eq!(
        (plain.code, plain.out.as_str(), lines.len()),
        (2, "", 4),
        "{plain:?}"
    );
    assert!(
        lines
            .iter()
            .all(|line| line.starts_with(&format!("{file}:"))),
        "{plain:?}"
    );
    assert!(
        lines[1].ends_with("did you mean \"placement\"?"),
        "{plain:?}"
    );
    let error: serde_json::Value = serde_json::from_str(&json.err).unwrap();
    assert_eq!(
        (json.code, error["faults"].as_array().unwrap().len()),
        (2, 4)
    );
    assert_eq!(error["faults"][1]["line"], 13);
}

/// Guards against invalid settings being ignored, and against secrets in messages.
#[rstest]
#[case::no_address("", "addresses")]
#[case::no_key("addresses = [\"127.0.0.1:1\"]", "key id")]
#[case::unknown_key("adresses = []", "adresses")]
#[case::no_key_file(
    "addresses = [\"127.0.0.1:1\"]\nkey_id = \"anna\"\nkey_file = \"none.key\"",
    "none.key"
)]
#[case::bad_secret(
    "addresses = [\"127.0.0.1:1\"]\nkey_id = \"anna\"\nkey_file = \"bad.key\"",
    "64 hexadecimal digits"
)]
#[tokio::test]
async fn wrong_settings_are_explained(#[case] settings: &str, #[case] part: &str) {
    let directory = TestDir::new(&format!("settings-{}", part.replace(' ', "-")));
    directory.file("bad.key", "5ecre7");
    let file = directory.file("client.toml", settings);

    let run = run_local(&["status", "--settings", &file]).await;

    assert_eq!(run.code, 2, "{run:?}");
    assert!(
        run.err.contains(part) && !run.err.contains("5ecre7"),
        "{run:?}"
    );
}

/// Guards against environment or settings file overriding an option.
#[tokio::test]
async fn options_go_before_environment_and_file() {
    let directory = TestDir::new("precedence");
    directory.file("anna.key", &"a".repeat(64));
    let settings = "addresses = [\"127.0.0.1:1\"]\nkey_id = \"anna\"\nkey_file = \"anna.key\"";
    let home = format!("{}/camphorcove", directory.path());
    std::fs::create_dir_all(&home).unwrap();
    std::fs::write(format!("{home}/anna.key"), "a".repeat(64)).unwrap();
    std::fs::write(format!("{home}/client.toml"), settings).unwrap();
    let with = |arguments: &[&str], environment: bool| {
        let mut command = command(arguments);
        command.env("XDG_CONFIG_HOME", directory.path());
        if environment {
            command.env("CAMPHORCOVE_ADDRESSES", "127.0.0.1:2");
        }
        command
    };

    let file = run(with(&["status"], false)).await;
    let environment = run(with(&["status"], true)).await;
    let option = run(with(&["status", "--address", "127.0.0.1:3"], true)).await;

    assert!(file.err.contains("127.0.0.1:1:"), "{file:?}");
    assert!(environment.err.contains("127.0.0.1:2:"), "{environment:?}");
    assert!(option.err.contains("127.0.0.1:3:"), "{option:?}");
    assert_eq!((file.code, environment.code, option.code), (5, 5, 5));
}

/// Command names listed under "Commands:" in a help text.
fn commands(help: &str) -> Vec<String> {
    let list = help.split("Commands:\n").nth(1).unwrap();
    let lines = list.lines().take_while(|line| !line.is_empty());
    let names = lines.filter_map(|line| line.split_whitespace().next());
    names
        .filter(|name| *name != "help")
        .map(str::to_owned)
        .collect()
}

/// Guards against a command that lacks an example or a manual page.
#[tokio::test]
async fn every_command_has_an_example_and_a_page() {
    let manual = run_local(&["man"]).await.out;
    let help = run_local(&["--help"]).await.out;
    let mut paths: Vec<Vec<String>> = commands(&help).into_iter().map(|name| vec![name]).collect();
    let audit = run_local(&["audit", "--help"]).await.out;
    paths.retain(|path| path[0] != "audit");
    paths.extend(
        commands(&audit)
            .into_iter()
            .map(|name| vec!["audit".to_owned(), name]),
    );

    assert!(paths.len() >= 20, "{paths:?}");
    for path in paths {
        let mut arguments: Vec<&str> = path.iter().map(String::as_str).collect();
        arguments.push("--help");
        let help = run_local(&arguments).await.out;
        assert!(
            help.contains(&format!("  camphorcove {}", path.join(" "))),
            "{help}"
        );
        assert!(
            manual.contains(&format!(".TH camphorcove-{}", path.join("-"))),
            "{path:?}"
        );
    }
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[tokio::test]
async fn completions_name_the_commands(#[case] shell: &str) {
    let script = run_local(&["completions", shell]).await;

    assert_eq!(script.code, 0);
    assert!(script.out.contains("confirm-lost") && script.out.contains("rollback"));
}

/// Guards against different exit codes in docs/exit-codes.md and in the help text.
#[tokio::test]
async fn the_page_and_the_help_list_the_same_exit_codes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/exit-codes.md");
    let page = std::fs::read_to_string(path).unwrap();
    let help = run_local(&["--help"]).await.out;
    let number = |text: &str| text.parse::<u8>().ok();

    let documented: BTreeSet<u8> = page
        .lines()
        .filter_map(|line| number(line.strip_prefix("| ")?.split(' ').next()?))
        .collect();
    let listed: BTreeSet<u8> = help
        .split("Exit codes:\n")
        .nth(1)
        .unwrap()
        .lines()
        .map_while(|line| number(line.split_whitespace().next()?))
        .collect();

    assert_eq!(documented, listed);
    assert_eq!(listed, (0..=9).collect());
}
