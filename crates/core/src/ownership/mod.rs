//! Which server owns which keys of a keyed service.
//!
//! The assignment of all services lies in one object of the platform's store,
//! together with the term of the leader that may change it. A change of owner takes
//! two conditional updates: the first marks the range as moving, the second names
//! the new owner. Between them the leader makes sure that the old owner holds the
//! range no longer, so the object never names an owner beside a possible second one.

mod key_range;
mod leader_plan;
mod lease_bounds;
mod owner_delta;
mod owner_map;
mod owner_state;
mod range_load;
mod range_moves;

pub use {
    key_range::{KeyRange, LAST_KEY},
    leader_plan::{LeaderPlan, OrderFailure, PlanAction, PlanInput, PlanWorld},
    lease_bounds::{
        AUTHORITY_ALONE, AUTHORITY_LIMIT, CALL_LIMIT, GRANT_HOLD, LeaseBounds, MAJORITY_AGE,
        RENEW_INTERVAL, worst_hold,
    },
    owner_delta::OwnerDelta,
    owner_map::{OwnerLookup, OwnerMap},
    owner_state::{LeaderRecord, OwnerState, RangePhase, RangeRecord, ServerLife, ServiceOwners},
    range_load::RangeLoad,
    range_moves::{RangeMove, ServerRoom, choose_moves},
};
