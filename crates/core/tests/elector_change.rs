//! A change of electors, step by step: when it is written, and what counts meanwhile.

mod support;

use {
    camphorcove_core::{
        control::{ScopeAction, ScopeEvent, ScopeMachine, ScopeRole, WriteFailure, WriteId},
        election::PromiseReply,
        ids::{HostId, ObjectVersion},
        time::{BootTime, PROMISE_TTL},
    },
    std::{sync::Arc, time::Duration},
    support::spec::{SERVICE, host_info, scope_spec},
};

/// A machine whose events a test picks one by one.
struct Driver {
    machine: ScopeMachine,
    now: BootTime,
}

impl Driver {
    /// Controller of a new scope whose only elector is its own host.
    fn controller() -> Self {
        let machine = ScopeMachine::new(SERVICE.parse().unwrap(), host_info(0), 1, 1);
        let mut driver = Self {
            machine,
            now: BootTime::from_millis(10_000),
        };
        let spec = Arc::new(scope_spec(0, 0, true));
        driver.feed(ScopeEvent::SpecChanged(spec));
        driver.feed(ScopeEvent::HostsChanged(vec![host_info(0)]));
        driver.wait(2_000);
        let sent_at = driver.now;
        let result = Ok(None);
        let actions = driver.feed(ScopeEvent::ScopeRead { sent_at, result });
        driver.answer_write(written(&actions).unwrap(), Ok(ObjectVersion(1)));
        driver.promise(0, driver.now);
        assert_eq!(driver.machine.role(), ScopeRole::Controller);
        driver
    }

    fn feed(&mut self, event: ScopeEvent) -> Vec<ScopeAction> {
        self.machine.handle(event, self.now)
    }

    fn wait(&mut self, millis: u64) -> Vec<ScopeAction> {
        self.now += Duration::from_millis(millis);
        self.feed(ScopeEvent::Tick)
    }

    fn promise(&mut self, host: usize, sent_at: BootTime) -> Vec<ScopeAction> {
        self.feed(ScopeEvent::PromiseAnswered {
            elector: host_info(host).id,
            sent_at,
            reply: Some(PromiseReply::Promised),
        })
    }

    fn answer_write(&mut self, write: WriteId, result: Result<ObjectVersion, WriteFailure>) {
        self.feed(ScopeEvent::ScopeWritten { write, result });
    }

    /// Lists three hosts; returns when the two new ones were asked for a promise.
    fn propose(&mut self) -> BootTime {
        self.feed(ScopeEvent::HostsChanged((0..3).map(host_info).collect()));
        for _ in 0..20 {
            let actions = self.wait(100);
            self.promise(0, self.now);
            if asked(&actions).contains(&host_info(1).id) {
                return self.now;
            }
        }
        panic!("the new electors were not asked");
    }
}

fn written(actions: &[ScopeAction]) -> Option<WriteId> {
    actions.iter().find_map(|action| match action {
        ScopeAction::WriteScope { write, .. } => Some(*write),
        _ => None,
    })
}

fn asked(actions: &[ScopeAction]) -> Vec<HostId> {
    let mut electors = Vec::new();
    for action in actions {
        if let ScopeAction::AskPromise { elector, .. } = action {
            electors.push(elector.clone());
        }
    }
    electors
}

/// Guards against a successor that finds a majority of the new electors while
/// grants live that were issued under longer promises of the old ones.
#[test]
fn change_is_written_only_once_its_promises_cover_all_authority_used() {
    let mut driver = Driver::controller();
    let asked_at = driver.propose();

    driver.wait(600);
    driver.promise(0, driver.now);
    // The validity of the map now rests on a promise that outlasts the next one.
    driver.wait(100);
    let early = driver.promise(1, asked_at);
    let later = driver.wait(100);
    driver.promise(1, driver.now);
    let covered = driver.wait(100);

    assert_eq!(written(&early).or(written(&later)), None);
    assert!(written(&covered).is_some());
}

/// Guards against authority under one list while the platform may name the other.
#[test]
fn both_lists_must_agree_while_a_change_is_in_doubt() {
    let mut driver = Driver::controller();
    driver.propose();
    let write = (0..10).find_map(|_| {
        let now = driver.now;
        driver.promise(0, now);
        driver.promise(1, now);
        written(&driver.wait(100))
    });
    let new_end = driver.now.minus(Duration::from_millis(100)) + PROMISE_TTL;

    driver.answer_write(write.unwrap(), Err(WriteFailure::Unknown));
    driver.wait(500);
    driver.promise(0, driver.now);

    // Host 0 alone is a majority of the old list, but not of the new one.
    assert_eq!(driver.machine.authority_end(), new_end);
}
