//! Tests of audit streams, and of the stored configuration contents and orders.

mod support;

use {
    camphorcove_core::{
        audit::{AuditAction, ChainFault},
        ids::ConfigVersion,
        keys::{KeyHash, shard_of},
    },
    camphorcove_net::config::{
        AuditReader, Author, ConfigRepo, OPERATOR_STREAM, OperatorOrder, RepoError,
        append_operator_record, archive_key,
    },
    rstest::rstest,
    support::{MemoryStore, WriteOutcome, region_text},
};

fn author() -> Author {
    Author {
        actor: "anna".into(),
        reason: "test".into(),
        wall_millis: 1,
    }
}

async fn repo_with_versions(count: u32) -> ConfigRepo<MemoryStore> {
    let repo = ConfigRepo::new(MemoryStore::default());
    for weight in 1..=count {
        repo.apply(&region_text(weight), None, &author())
            .await
            .unwrap();
    }
    repo
}

#[tokio::test]
async fn an_intact_stream_is_read_in_pages_and_verified() {
    let repo = repo_with_versions(12).await;
    let reader = AuditReader::new(repo.store().clone());

    let report = reader.verify("config", &[]).await.unwrap();
    let page = reader.read("config", 9, 3).await.unwrap();

    assert_eq!((report.records, report.faults), (12, Vec::new()));
    let numbers: Vec<u64> = page.records.iter().map(|record| record.number).collect();
    assert_eq!((numbers, page.next), (vec![9, 10, 11], Some(12)));
    let history = repo.history(ConfigVersion(12), 10).await.unwrap();
    assert_eq!((history.records.len(), history.next), (1, None));
    assert_eq!(reader.streams().await.unwrap(), ["config"]);
    let unknown = reader.verify("nothing", &[]).await;
    assert!(matches!(unknown, Err(RepoError::NotFound { .. })));
}

/// Guards against verification that misses damage in the platform: a removed record, an
/// edited one, or the loss of the newest one.
#[tokio::test]
async fn damage_in_the_platform_is_found() {
    let repo = repo_with_versions(6).await;
    let reader = AuditReader::new(repo.store().clone());
    let intact = reader.verify("config", &[]).await.unwrap();
    repo.store().remove(archive_key("config", 2).as_str());
    let mut record = reader.read("config", 4, 1).await.unwrap().records.remove(0);
    record.actor = "eve".into();
    let edited = serde_json::to_vec(&record).unwrap();
    repo.store()
        .overwrite(archive_key("config", 4).as_str(), edited);

    let report = reader.verify("config", &[]).await.unwrap();

    assert_eq!(
        report.faults,
        [
            ChainFault::Gap { first: 2, last: 2 },
            ChainFault::Edited { number: 4 }
        ]
    );
    repo.store().remove("config/head");
    let truncated = reader
        .verify("config", &[intact.last.unwrap()])
        .await
        .unwrap();
    assert!(
        truncated.faults.contains(&ChainFault::CutEnd {
            last: 5,
            expected: 6
        }),
        "{truncated:?}"
    );
}

/// Guards against records that are lost or duplicated when several hosts append
/// concurrently and a write or its response is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_appends_keep_every_record_once() {
    let store = MemoryStore::default();
    store.set_outcome("stream/operator", WriteOutcome::AnswerLost);
    store.set_outcome("stream/operator", WriteOutcome::RequestLost);
    let mut tasks = Vec::new();
    for index in 0..4 {
        let store = store.clone();
        tasks.push(tokio::spawn(async move {
            let action = AuditAction::Refused {
                reason: format!("host {index}"),
            };
            append_operator_record(&store, &author(), action)
                .await
                .unwrap()
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }

    let reader = AuditReader::new(store);
    let report = reader.verify(OPERATOR_STREAM, &[]).await.unwrap();

    assert_eq!((report.records, report.faults), (4, Vec::new()));
}

/// Guards against content above the platform's value limit that cannot be applied, read
/// or rolled back to.
#[tokio::test]
async fn large_content_is_split_and_read_back() {
    let repo = repo_with_versions(1).await;
    let large = format!("{}# {}\n", region_text(2), "x".repeat(2_500_000));

    repo.apply(&large, None, &author()).await.unwrap();

    assert_eq!(repo.content(None).await.unwrap(), large);
    let sizes = repo.store().sizes();
    assert!(sizes.iter().all(|(_, size)| *size < 1_000_000));
    repo.apply(&region_text(3), None, &author()).await.unwrap();
    let rolled_back = repo
        .rollback(ConfigVersion(2), None, &author())
        .await
        .unwrap();
    assert_eq!(rolled_back.version, ConfigVersion(4));
    assert_eq!(repo.content(None).await.unwrap(), large);
    let huge = format!("{}# {}\n", region_text(2), "x".repeat(3_000_000));
    let refused = repo.apply(&huge, None, &author()).await;
    assert!(
        matches!(refused, Err(RepoError::TooLarge { .. })),
        "{refused:?}"
    );
}

#[tokio::test]
async fn rollback_is_a_new_version_with_the_old_content() {
    let repo = repo_with_versions(3).await;

    let outcome = repo
        .rollback(ConfigVersion(1), Some(ConfigVersion(3)), &author())
        .await
        .unwrap();

    assert_eq!((outcome.version, outcome.changed), (ConfigVersion(4), true));
    assert_eq!(repo.content(None).await.unwrap(), region_text(1));
    let unknown = repo.rollback(ConfigVersion(9), None, &author()).await;
    assert!(
        matches!(unknown, Err(RepoError::NotFound { .. })),
        "{unknown:?}"
    );
}

fn drain(server: &str) -> OperatorOrder {
    OperatorOrder::Drain {
        service: "ledig".parse().unwrap(),
        server: server.parse().unwrap(),
    }
}

/// Guards against orders that remain after their server was removed, and against an
/// apply that drops the other orders.
#[tokio::test]
async fn orders_create_versions_and_are_removed_with_their_server() {
    let repo = repo_with_versions(1).await;
    repo.order(&drain("l1"), None, &author()).await.unwrap();
    repo.order(&drain("l2"), Some(ConfigVersion(2)), &author())
        .await
        .unwrap();
    let again = repo
        .order(&drain("l2"), Some(ConfigVersion(2)), &author())
        .await
        .unwrap();
    let without_l1 = region_text(1)
        .replace("\"l1\"", "\"l3\"")
        .replace("7101", "7103");

    let outcome = repo.apply(&without_l1, None, &author()).await.unwrap();

    assert_eq!((again.version, again.changed), (ConfigVersion(3), false));
    assert_eq!(outcome.withdrawn, ["drain ledig l1"]);
    let orders = repo.load().await.unwrap().unwrap().orders;
    assert_eq!(
        orders.drained,
        [("ledig".parse().unwrap(), "l2".parse().unwrap())]
    );
}

/// Guards against pins that require two owners for one shard.
#[tokio::test]
async fn pinned_keys_of_a_shard_have_one_server() {
    let repo = repo_with_versions(1).await;
    let shard = |key: &str| shard_of(KeyHash::of(key.as_bytes()), 64);
    let mut keys = (0..).map(|number| format!("raft-{number}"));
    let first = keys.next().unwrap();
    let second = keys.find(|key| shard(key) == shard(&first)).unwrap();
    let pin = |key: &str, server: &str| OperatorOrder::Pin {
        service: "ledig".parse().unwrap(),
        key: key.into(),
        server: server.parse().unwrap(),
    };
    repo.order(&pin(&first, "l1"), None, &author())
        .await
        .unwrap();

    let conflicting = repo.order(&pin(&second, "l2"), None, &author()).await;
    let moved = repo
        .order(&pin(&first, "l2"), None, &author())
        .await
        .unwrap();
    let pinned_to_same = repo
        .order(&pin(&second, "l2"), None, &author())
        .await
        .unwrap();

    assert!(
        matches!(conflicting, Err(RepoError::PinClash { .. })),
        "{conflicting:?}"
    );
    assert!(moved.changed && pinned_to_same.changed);
}

/// Guards against orders for unknown servers or services, and for keys that are too long.
#[rstest]
#[case::server(drain("l9"))]
#[case::service(OperatorOrder::Unpin { service: "boka".parse().unwrap(), key: "k".into() })]
#[case::long_key(OperatorOrder::Unpin { service: "ledig".parse().unwrap(), key: "k".repeat(2_000) })]
#[tokio::test]
async fn a_wrong_order_is_refused(#[case] order: OperatorOrder) {
    let repo = repo_with_versions(1).await;

    let refused = repo.order(&order, None, &author()).await;

    assert!(
        matches!(
            refused,
            Err(RepoError::NotFound { .. } | RepoError::TooLarge { .. })
        ),
        "{refused:?}"
    );
    assert_eq!(
        repo.load().await.unwrap().unwrap().version,
        ConfigVersion(1)
    );
}

/// Guards against a damaged head or content that a host accepts as valid.
#[rstest]
#[case::head("config/head", "{}")]
#[case::part("config/part/", &region_text(9))]
#[tokio::test]
async fn a_damaged_object_is_reported(#[case] prefix: &str, #[case] content: &str) {
    let repo = repo_with_versions(1).await;
    let sizes = repo.store().sizes();
    let (key, _) = sizes
        .iter()
        .find(|(key, _)| key.starts_with(prefix))
        .unwrap();
    repo.store().overwrite(key, content.to_owned());

    assert!(repo.load().await.is_err());
    let refused = repo.apply(&region_text(2), None, &author()).await;
    assert!(
        matches!(refused, Err(RepoError::Damaged { .. })),
        "{refused:?}"
    );
}

/// Guards against a damaged record whose length makes the reader reserve any amount of memory.
#[tokio::test]
async fn record_with_a_huge_length_is_reported_as_damaged() {
    let repo = repo_with_versions(3).await;
    let reader = AuditReader::new(repo.store().clone());
    for zeros in 0..60 {
        // Fields of zero, then 253 and a 64-bit integer, as bincode encodes a length.
        let mut damaged = vec![0; zeros];
        damaged.push(253);
        damaged.extend_from_slice(&u64::MAX.to_le_bytes());
        repo.store()
            .overwrite(archive_key("config", 2).as_str(), damaged);

        let report = reader.verify("config", &[]).await;

        assert!(matches!(report, Err(RepoError::Damaged { .. })));
    }
}
