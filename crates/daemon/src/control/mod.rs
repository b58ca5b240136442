//! Drives the core's election and control modules.
//!
//! One actor per scope owns that scope's machine, and one actor owns the host's
//! promises. Actors never wait for a network: each action runs in a task of its
//! own and its answer comes back as an event.

mod elector_actor;
mod scope_actor;
mod scope_codec;
mod scope_io;
mod scope_registry;
mod scope_report;
mod scope_watch;

pub use {
    elector_actor::{ElectorActor, PromiseAnswer, ScopeKnown, scope_key},
    scope_actor::{ScopeActor, Tick},
    scope_codec::{decode_scope, encode_scope},
    scope_io::{ScopeIo, handover_answer},
    scope_registry::{ScopeHandle, ScopeRegistry},
    scope_report::ScopeReport,
    scope_watch::scope_spec,
};
