//! Runs the core's election and control state machines.
//!
//! A scope is the unit of ownership: the shards of one service. One actor per
//! scope owns that scope's state machine, and one actor owns the host's promises
//! as an elector. Actors never wait for network I/O: each action of a state
//! machine runs in its own task, whose result is sent back as an event.

mod elector_actor;
mod scope_actor;
mod scope_codec;
mod scope_io;
mod scope_observer;
mod scope_registry;
mod scope_report;

pub use {
    elector_actor::{ElectorActor, ObservedTerm, PromiseAnswer, scope_key},
    scope_actor::{ScopeActor, Tick},
    scope_codec::{decode_scope, encode_scope},
    scope_io::{ScopeIo, handover_answer},
    scope_observer::scope_spec,
    scope_registry::{ScopeHandle, ScopeRegistry},
    scope_report::ScopeReport,
};
