//! Placement planner: shards in proportion to weight, with few changes of owner.

use {
    camphorcove_core::{
        conf::PlacementGoal,
        ids::ShardId,
        placement::{
            LoadTable, PlacementInput, PlacementServer, PlannedMove, ShardPlacement,
            assign_unowned, plan_moves,
        },
        scope::MoveReason,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rstest::rstest,
    std::collections::BTreeMap,
};

const SHARDS: usize = 120;

struct Fixture {
    servers: Vec<PlacementServer>,
    shards: Vec<ShardPlacement>,
    pins: BTreeMap<ShardId, usize>,
    load: LoadTable,
    goal: PlacementGoal,
}

impl Fixture {
    /// Servers with the given weights; the planner has assigned all shards.
    fn placed(weights: &[u32]) -> Self {
        let mut fixture = Self {
            servers: weights.iter().map(|weight| server(*weight)).collect(),
            shards: vec![ShardPlacement::Unowned; SHARDS],
            pins: BTreeMap::new(),
            load: LoadTable::new(SHARDS),
            goal: PlacementGoal::Availability,
        };
        for (shard, to) in assign_unowned(&fixture.input()) {
            fixture.shards[shard.0 as usize] = ShardPlacement::Owned(to);
        }
        fixture
    }

    fn input(&self) -> PlacementInput<'_> {
        PlacementInput {
            servers: &self.servers,
            shards: &self.shards,
            pins: &self.pins,
            load: &self.load,
            goal: self.goal,
        }
    }

    fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.servers.len()];
        for placement in &self.shards {
            if let ShardPlacement::Owned(server) = placement {
                counts[*server] += 1;
            }
        }
        counts
    }

    fn apply(&mut self, moves: &[PlannedMove]) {
        for planned in moves {
            self.shards[planned.shard.0 as usize] = ShardPlacement::Owned(planned.to);
        }
    }

    fn shards_of(&self, server: usize) -> Vec<usize> {
        (0..SHARDS)
            .filter(|&shard| self.shards[shard] == ShardPlacement::Owned(server))
            .collect()
    }

    /// Adds one measurement: 1 request/s for each shard, except for those in `hot`.
    fn observe(&mut self, hot: &[(usize, f64)]) {
        let mut rates: Vec<(ShardId, f64)> =
            (0..SHARDS as u32).map(|id| (ShardId(id), 1.0)).collect();
        for (shard, rate) in hot {
            rates[*shard].1 = *rate;
        }
        self.load.observe(&rates);
    }
}

fn server(weight: u32) -> PlacementServer {
    PlacementServer {
        weight,
        eligible: true,
        draining: false,
    }
}

/// Guards against an assignment that gives slow servers as many shards as fast ones.
#[rstest]
#[case(&[100, 100, 100], &[40, 40, 40])]
#[case(&[100, 200, 300], &[20, 40, 60])]
#[case(&[100, 50, 50], &[60, 30, 30])]
fn assignment_follows_weights(#[case] weights: &[u32], #[case] expected: &[usize]) {
    let fixture = Fixture::placed(weights);

    assert_eq!(fixture.counts(), expected);
}

/// Guards against a join that moves shards between servers that were there before.
#[test]
fn join_moves_only_what_the_new_server_takes() {
    let mut fixture = Fixture::placed(&[100, 100, 100]);
    fixture.servers.push(server(100));

    let moves = plan_moves(&fixture.input(), &[3], true, usize::MAX);
    fixture.apply(&moves);

    assert_eq!(moves.len(), 30);
    assert!(moves.iter().all(|planned| planned.to == 3));
    assert!(
        moves
            .iter()
            .all(|planned| planned.reason == MoveReason::Join)
    );
    assert_eq!(fixture.counts(), [30, 30, 30, 30]);
}

/// Guards against a drain that also moves shards between the remaining servers.
#[test]
fn drain_moves_only_the_shards_of_the_drained_server() {
    let mut fixture = Fixture::placed(&[100, 100, 100]);
    let drained = fixture.shards_of(1);
    fixture.servers[1].eligible = false;
    fixture.servers[1].draining = true;

    let moves = plan_moves(&fixture.input(), &[], true, usize::MAX);
    let moved: Vec<usize> = moves
        .iter()
        .map(|planned| planned.shard.0 as usize)
        .collect();
    fixture.apply(&moves);

    assert_eq!(moved, drained);
    assert!(
        moves
            .iter()
            .all(|planned| planned.reason == MoveReason::Drain)
    );
    assert_eq!(fixture.counts(), [60, 0, 60]);
}

/// Guards against more moves at once than the limit.
#[test]
fn plan_respects_the_move_limit() {
    let mut fixture = Fixture::placed(&[100, 100]);
    fixture.servers[0].draining = true;
    fixture.servers[0].eligible = false;

    assert_eq!(plan_moves(&fixture.input(), &[], true, 7).len(), 7);
}

/// Guards against pins that are ignored, and against a move to a pinned server that is not eligible.
#[rstest]
#[case::to_a_ready_server(true, 1)]
#[case::to_a_lost_server(false, 0)]
fn pin_moves_its_shard(#[case] eligible: bool, #[case] expected: usize) {
    let mut fixture = Fixture::placed(&[100, 100]);
    let shard = fixture.shards_of(0)[0];
    fixture.pins.insert(ShardId(shard as u32), 1);
    fixture.servers[1].eligible = eligible;

    let moves = plan_moves(&fixture.input(), &[], false, usize::MAX);

    assert_eq!(moves.len(), expected);
    for planned in moves {
        assert_eq!((planned.to, planned.reason), (1, MoveReason::Pin));
    }
}

/// Guards against moves for small differences in load, and against overload that is never resolved.
#[rstest]
#[case::even(PlacementGoal::Availability, 1.0, false)]
#[case::slightly_uneven(PlacementGoal::Availability, 1.1, false)]
#[case::uneven(PlacementGoal::Availability, 1.6, true)]
#[case::uneven_with_churn_goal(PlacementGoal::Churn, 1.6, false)]
#[case::very_uneven(PlacementGoal::Churn, 3.0, true)]
fn rebalancing_has_a_threshold_by_goal(
    #[case] goal: PlacementGoal,
    #[case] factor: f64,
    #[case] moves_expected: bool,
) {
    let mut fixture = Fixture::placed(&[100, 100, 100]);
    fixture.goal = goal;
    let hot: Vec<(usize, f64)> = fixture
        .shards_of(0)
        .into_iter()
        .map(|shard| (shard, factor))
        .collect();
    fixture.observe(&hot);

    let moves = plan_moves(&fixture.input(), &[], true, usize::MAX);

    assert_eq!(!moves.is_empty(), moves_expected, "{moves:?}");
}

/// Guards against oscillation: once a plan has been carried out, no further moves are planned.
#[test]
fn rebalancing_does_not_oscillate() {
    let mut fixture = Fixture::placed(&[100, 100, 100]);
    let hot: Vec<(usize, f64)> = fixture
        .shards_of(0)
        .into_iter()
        .map(|shard| (shard, 3.0))
        .collect();
    fixture.observe(&hot);

    let first = plan_moves(&fixture.input(), &[], true, usize::MAX);
    fixture.apply(&first);
    let second = plan_moves(&fixture.input(), &[], true, usize::MAX);

    assert!(!first.is_empty());
    assert_eq!(second, []);
}

/// Guards against a hot shard that moves from server to server. It stays, and the other shards
/// leave its server.
#[test]
fn other_shards_leave_the_server_of_a_hot_shard() {
    let mut fixture = Fixture::placed(&[100, 100, 100]);
    let hot = fixture.shards_of(1)[0];
    fixture.observe(&[(hot, 1_000.0)]);

    let moves = plan_moves(&fixture.input(), &[], true, usize::MAX);
    fixture.apply(&moves);

    assert_eq!(fixture.shards_of(1), [hot]);
    let counts = fixture.counts();
    assert!(counts[0].abs_diff(counts[2]) <= 2, "{counts:?}");
}

/// Guards against idle shards that all move to one server because their measured load is 0.
#[test]
fn idle_shards_do_not_move() {
    let mut fixture = Fixture::placed(&[100, 100, 100]);
    fixture.load.observe(&[]);

    assert_eq!(plan_moves(&fixture.input(), &[], true, usize::MAX), []);
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x91ace),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against rounding that drops or duplicates shards if weights do not divide evenly.
    #[test]
    fn assignment_is_close_to_the_share_by_weight(
        weights in prop::collection::vec(1..400u32, 1..12),
    ) {
        let fixture = Fixture::placed(&weights);
        let total: u32 = weights.iter().sum();
        for (count, weight) in fixture.counts().iter().zip(&weights) {
            let share = SHARDS as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((*count as f64 - share).abs() < 2.0, "{count} for a share of {share}");
        }
    }

    /// Guards against moves that raise the highest load per weight.
    #[test]
    fn rebalancing_never_raises_the_highest_load(
        weights in prop::collection::vec(50..200u32, 2..8),
        rates in prop::collection::vec(0.0..50.0f64, SHARDS),
    ) {
        let mut fixture = Fixture::placed(&weights);
        let rates: Vec<_> = rates.into_iter().enumerate().map(|(id, rate)| (ShardId(id as u32), rate)).collect();
        fixture.load.observe(&rates);
        let highest = |fixture: &Fixture| {
            (0..weights.len())
                .map(|server| {
                    let shards = fixture.shards_of(server);
                    let load: f64 = shards.iter().map(|shard| fixture.load.load_of(*shard)).sum();
                    load / f64::from(weights[server])
                })
                .fold(0.0, f64::max)
        };
        let before = highest(&fixture);

        let moves = plan_moves(&fixture.input(), &[], true, usize::MAX);
        fixture.apply(&moves);

        prop_assert!(highest(&fixture) <= before * 1.000_001);
    }
}
