//! Assignment of keys to servers, for services whose servers own keys exclusively.
//!
//! The assignment of all services is kept in one object of the platform's store,
//! together with the term of the leader, the only host that may change it. A change of
//! owner takes two conditional updates of the object: the first marks the range as
//! moving, the second names the new owner. Between the two, the leader makes sure that
//! the old owner's lease has ended, so no key ever has two owners.

mod answer_verdict;
mod elector_list;
mod hot_keys;
mod key_range;
mod later_start;
mod lease_bounds;
mod lease_orders;
mod load_estimate;
mod load_relief;
mod move_planning;
mod owner_delta;
mod owner_map;
mod owner_state;
mod ownership_planner;
mod plan_events;
mod predecessor_watch;
mod range_load;
mod range_moves;
mod refusal_table;
mod revocation_progress;
mod target_queue;
mod zone_load;

pub use {
    answer_verdict::AnswerVerdict,
    elector_list::ElectorList,
    hot_keys::{MAX_KEY_SHARES, choose_key_shares},
    key_range::{KeyRange, LAST_KEY},
    lease_bounds::{
        AUTHORITY_LIMIT, AUTHORITY_LIMIT_WITHOUT_MAJORITY, LEASE_DURATION, LeaseBounds,
        MAJORITY_REPORT_MAX_AGE, ORDER_TIMEOUT, RENEW_INTERVAL, max_lease_duration,
    },
    owner_delta::OwnerDelta,
    owner_map::{OwnerLookup, OwnerMap},
    owner_state::{
        LeaderRecord, OwnerState, RangePhase, RangeRecord, ServerInstance, ServiceOwners,
    },
    ownership_planner::{OwnershipPlanner, PlanContext},
    plan_events::{OrderFailure, PlanAction, PlanInput, RecoveryPhase},
    predecessor_watch::{ElectorSource, FRESH_REPORT_LIMIT, Predecessor, PredecessorWatch},
    range_load::RangeLoad,
    range_moves::{AssignableServer, ChosenMoves, RangeMove, choose_moves},
    refusal_table::{RefusalScope, RefusalTable},
};
