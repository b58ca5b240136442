//! Configuration changes are atomic, take effect once and always have an audit record.

mod support;

use {
    camphorcove_core::ids::ConfigVersion,
    camphorcove_net::config::{Author, ConfigRepo, OperatorOrder, RepoError},
    rstest::rstest,
    support::{MemoryStore, WriteOutcome, region_text},
};

fn repo() -> ConfigRepo<MemoryStore> {
    ConfigRepo::new(MemoryStore::default())
}

fn author(actor: &str) -> Author {
    Author::now(actor, "test")
}

fn drain(server: &str) -> OperatorOrder {
    OperatorOrder::Drain {
        service: "ledig".parse().unwrap(),
        server: server.parse().unwrap(),
    }
}

/// Guards against futures of changes that are not `Send` and so cannot run on the
/// daemon's multi-threaded runtime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_run_on_spawned_tasks() {
    let repo = repo();
    let other = repo.clone();

    let outcome = tokio::spawn(async move {
        other.apply(&region_text(1), None, &author("anna")).await?;
        other.order(&drain("l1"), None, &author("anna")).await?;
        other
            .rollback(ConfigVersion(1), None, &author("anna"))
            .await
    });

    let outcome = outcome.await.unwrap().unwrap();
    assert!(!outcome.changed, "content of version 1 is in force already");
    assert_eq!(
        repo.load().await.unwrap().unwrap().version,
        ConfigVersion(2)
    );
}

/// Guards against a repeated apply that creates a second version or is refused because
/// of its expected version.
#[tokio::test]
async fn applying_the_same_content_again_changes_nothing() {
    let repo = repo();
    let first = repo
        .apply(&region_text(1), Some(ConfigVersion(0)), &author("anna"))
        .await
        .unwrap();

    let again = repo
        .apply(&region_text(1), Some(ConfigVersion(0)), &author("anna"))
        .await
        .unwrap();

    assert_eq!((first.version, first.changed), (ConfigVersion(1), true));
    assert_eq!((again.version, again.changed), (ConfigVersion(1), false));
}

/// Guards against a change that is lost, made twice or misreported when the response to
/// the update of the head does not arrive.
#[rstest]
#[case::effect_without_answer(WriteOutcome::AnswerLost)]
#[case::neither_effect_nor_answer(WriteOutcome::RequestLost)]
#[tokio::test]
async fn a_change_succeeds_once_despite_a_lost_response(#[case] write_outcome: WriteOutcome) {
    let repo = repo();
    repo.apply(&region_text(1), None, &author("anna"))
        .await
        .unwrap();
    repo.store().set_outcome("config/head", write_outcome);

    let outcome = repo
        .apply(&region_text(2), Some(ConfigVersion(1)), &author("anna"))
        .await
        .unwrap();

    assert_eq!((outcome.version, outcome.changed), (ConfigVersion(2), true));
    assert_eq!(
        repo.load().await.unwrap().unwrap().version,
        ConfigVersion(2)
    );
}

/// Guards against an operator overwriting a concurrent change by another operator.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_racing_operators_wins() {
    for round in 0..20 {
        let repo = repo();
        repo.apply(&region_text(1), None, &author("anna"))
            .await
            .unwrap();
        let race = |weight, actor: &'static str| {
            let repo = repo.clone();
            tokio::spawn(async move {
                let expected = Some(ConfigVersion(1));
                repo.apply(&region_text(weight), expected, &author(actor))
                    .await
            })
        };

        let (left, right) = tokio::join!(race(2, "anna"), race(3, "bertil"));

        let results = [left.unwrap(), right.unwrap()];
        let won = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(won, 1, "round {round}: {results:?}");
        let lost = results.iter().any(|result| {
            matches!(result, Err(RepoError::VersionMismatch { current, .. }) if current.0 == 2)
        });
        assert!(lost, "round {round}: {results:?}");
    }
}

/// Guards against a head whose previous audit record is not archived. A writer that
/// fails between two writes must leave the old version in force, and the change must
/// succeed when it is repeated.
#[rstest]
#[case::before_the_part("config/part/", &["config/part/"])]
#[case::before_the_archived_record("audit/config/1", &["config/part/", "audit/config/1"])]
#[case::before_the_head("config/head", &["config/part/", "audit/config/1", "config/head"])]
#[tokio::test]
async fn a_writer_that_fails_between_two_writes_changes_nothing(
    #[case] fails_at: &str,
    #[case] order: &[&str],
) {
    let repo = repo();
    repo.apply(&region_text(1), None, &author("anna"))
        .await
        .unwrap();
    let writes_before = repo.store().writes().len();
    repo.store().set_outcome(fails_at, WriteOutcome::Outage);

    let failed = repo
        .apply(&region_text(2), Some(ConfigVersion(1)), &author("anna"))
        .await;

    assert!(matches!(failed, Err(RepoError::Store { .. })), "{failed:?}");
    assert_eq!(
        repo.load().await.unwrap().unwrap().version,
        ConfigVersion(1)
    );
    let writes = repo.store().writes().split_off(writes_before);
    assert_eq!(writes.len(), order.len(), "{writes:?}");
    assert!(
        writes
            .iter()
            .zip(order)
            .all(|(key, prefix)| key.starts_with(prefix)),
        "{writes:?}"
    );
    let again = repo
        .apply(&region_text(2), Some(ConfigVersion(1)), &author("anna"))
        .await
        .unwrap();
    assert_eq!((again.version, again.changed), (ConfigVersion(2), true));
}
