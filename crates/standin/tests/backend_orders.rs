//! Fencing by the backend stand-in. Tests of the router rely on it to detect two
//! owners of a shard.

use {
    camphorcove_core::{
        control::{ServerOrder, ServerResult, ShardGrant},
        ids::{Epoch, FencingToken, ShardId},
    },
    camphorcove_net::servers::{GrantProtocol, HttpGrants, TimestampedReply},
    camphorcove_standin::backend::{BackendSettings, BackendStandin},
    rstest::rstest,
    std::time::Duration,
};

const SERVICE: &str = "ledig";
const LONG_TTL: Duration = Duration::from_secs(600);
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Epoch and sequence of a fencing token.
type Token = (u64, u64);

fn shard_grant(shard: u32, token: Token) -> ShardGrant {
    ShardGrant {
        shard: ShardId(shard),
        token: FencingToken {
            epoch: Epoch(token.0),
            sequence: token.1,
        },
    }
}

fn grant(epoch: u64, set: u64, shards: &[(u32, Token)]) -> ServerOrder {
    ServerOrder::Grant {
        service: SERVICE.parse().unwrap(),
        epoch: Epoch(epoch),
        set,
        shards: grants(shards),
        ttl: LONG_TTL,
    }
}

fn renew(epoch: u64, set: u64) -> ServerOrder {
    ServerOrder::Renew {
        service: SERVICE.parse().unwrap(),
        epoch: Epoch(epoch),
        set,
        ttl: LONG_TTL,
    }
}

fn release(epoch: u64, shards: &[(u32, Token)]) -> ServerOrder {
    ServerOrder::Release {
        service: SERVICE.parse().unwrap(),
        epoch: Epoch(epoch),
        shards: grants(shards),
    }
}

fn grants(shards: &[(u32, Token)]) -> Vec<ShardGrant> {
    let shards = shards.iter();
    shards
        .map(|(shard, token)| shard_grant(*shard, *token))
        .collect()
}

async fn backend(unchecked: bool) -> BackendStandin {
    let settings = BackendSettings {
        unchecked,
        ..BackendSettings::default()
    };
    BackendStandin::with_settings(settings).await.unwrap()
}

async fn send(backend: &BackendStandin, order: &ServerOrder) -> TimestampedReply {
    let grants = HttpGrants::default();
    let sent = grants
        .send(backend.address(), order, None, TEST_TIMEOUT)
        .await;
    sent.unwrap()
}

// Before each case, the server holds set 2 of epoch 5 with shard 3 under token 5.1.
#[rstest]
#[case::same_set_again(grant(5, 2, &[(3, (5, 1))]), ServerResult::Done, ServerResult::Done)]
#[case::next_set(grant(5, 3, &[(3, (5, 1))]), ServerResult::Done, ServerResult::Done)]
#[case::next_epoch_keeps_tokens(grant(6, 1, &[(3, (5, 1))]), ServerResult::Done, ServerResult::Done)]
#[case::older_set(grant(5, 1, &[(3, (5, 1))]), ServerResult::Fenced, ServerResult::Done)]
#[case::older_epoch(grant(4, 9, &[(3, (5, 1))]), ServerResult::Fenced, ServerResult::Done)]
#[case::lower_token(grant(5, 3, &[(3, (4, 8))]), ServerResult::Fenced, ServerResult::Done)]
#[case::renewal(renew(5, 2), ServerResult::Done, ServerResult::Done)]
#[case::renewal_of_other_set(renew(5, 3), ServerResult::UnknownSet, ServerResult::UnknownSet)]
#[case::renewal_of_older_epoch(renew(4, 2), ServerResult::Fenced, ServerResult::UnknownSet)]
#[case::release(release(5, &[(3, (5, 1))]), ServerResult::Done, ServerResult::Done)]
#[case::release_under_lower_token(release(5, &[(3, (4, 8))]), ServerResult::Fenced, ServerResult::Done)]
#[case::release_of_older_epoch(release(4, &[(3, (5, 1))]), ServerResult::Fenced, ServerResult::Done)]
#[case::release_of_unheld(release(5, &[(4, (5, 1))]), ServerResult::Done, ServerResult::Done)]
#[tokio::test]
async fn orders_get_the_expected_result(
    #[case] order: ServerOrder,
    #[case] checked: ServerResult,
    #[case] unchecked: ServerResult,
) {
    for (is_unchecked, expected) in [(false, checked), (true, unchecked)] {
        let backend = backend(is_unchecked).await;
        send(&backend, &grant(5, 2, &[(3, (5, 1))])).await;

        let reply = send(&backend, &order).await;

        assert_eq!(reply.reply.result, expected, "unchecked: {is_unchecked}");
        assert!(reply.reply.epoch >= Epoch(5));
    }
}

fn held_shards(backend: &BackendStandin) -> Vec<u32> {
    let now = camphorcove_net::clock::BootClock.now();
    let intervals = backend.intervals(SERVICE).into_iter();
    let mut held: Vec<u32> = intervals
        .filter(|interval| interval.until > now)
        .map(|interval| interval.shard.0)
        .collect();
    held.sort_unstable();
    held
}

#[tokio::test]
async fn a_grant_replaces_the_whole_set() {
    let backend = backend(false).await;
    send(&backend, &grant(1, 1, &[(1, (1, 1)), (2, (1, 1))])).await;

    send(&backend, &grant(1, 2, &[(2, (1, 1)), (3, (1, 2))])).await;

    assert_eq!(held_shards(&backend), [2, 3]);
    assert_eq!(backend.intervals(SERVICE).len(), 3);
}

// Guards against a delayed duplicate of a grant that restores a released shard.
#[tokio::test]
async fn a_repeated_grant_does_not_undo_a_release() {
    let backend = backend(false).await;
    let order = grant(1, 1, &[(1, (1, 1)), (2, (1, 1))]);
    send(&backend, &order).await;
    send(&backend, &release(1, &[(1, (1, 1))])).await;

    send(&backend, &order).await;

    assert_eq!(held_shards(&backend), [2]);
}

#[tokio::test]
async fn an_expired_grant_cannot_be_renewed() {
    let backend = backend(false).await;
    let expired = ServerOrder::Grant {
        service: SERVICE.parse().unwrap(),
        epoch: Epoch(1),
        set: 1,
        shards: grants(&[(1, (1, 1))]),
        ttl: Duration::ZERO,
    };
    send(&backend, &expired).await;

    let reply = send(&backend, &renew(1, 1)).await;

    assert_eq!(reply.reply.result, ServerResult::UnknownSet);
    assert_eq!(held_shards(&backend), [] as [u32; 0]);
}

#[tokio::test]
async fn a_restart_forgets_grants_and_fences() {
    let backend = backend(false).await;
    let before = send(&backend, &grant(5, 2, &[(3, (5, 1))])).await;

    backend.restart();
    let renewed = send(&backend, &renew(5, 2)).await;

    assert_eq!(renewed.reply.result, ServerResult::UnknownSet);
    assert_ne!(renewed.reply.report.process, before.reply.report.process);
    assert_eq!(held_shards(&backend), [] as [u32; 0]);
}

#[tokio::test]
async fn services_are_fenced_independently() {
    let backend = backend(false).await;
    send(&backend, &grant(5, 2, &[(3, (5, 1))])).await;
    let other = ServerOrder::Renew {
        service: "boka".parse().unwrap(),
        epoch: Epoch(1),
        set: 1,
        ttl: LONG_TTL,
    };

    let reply = send(&backend, &other).await;

    assert_eq!(reply.reply.result, ServerResult::UnknownSet);
    assert_eq!(reply.reply.epoch, Epoch(1));
}
