//! Imports shared by the modules of the simulation.

pub use {
    super::{
        checker::RunChecker,
        clock::{DRIFT_PPM, DriftClock},
        fake_host::{FakeHost, new_host, random_clock},
        faults::{DisabledSafeguards, Fault},
        message::{Message, QueuedMessage, Step},
        network::{FakeNetwork, Node},
        server::FakeServer,
        simulation::{SECOND, Simulation, server_index},
        spec::{SERVICE, host_info, scope_spec, server_config, server_id},
    },
    camphorcove_core::{
        conf::FencingMode,
        control::{
            HostInfo, OrderId, ReadFailure, ScopeAction, ScopeEvent, ScopeMachine, ScopeRole,
            ScopeSpec, ServerFailure, ServerOrder, ServerResult, WriteFailure, WriteId,
        },
        election::{ElectorTable, PromiseReply, PromiseRequest, RefuseReason},
        ids::{Epoch, FencingToken, HostId, ObjectVersion, ServerId, ShardId},
        map::{MapVersion, RoutingMap},
        scope::{ScopeState, ShardState},
        time::{BootTime, GRANT_GRACE},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        sync::Arc,
    },
};
