//! A change of the electors: when it is written, and whose promises count until its outcome
//! is known.

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

/// A machine that receives its events from the test one by one.
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
        driver.answer_write(requested_write(&actions).unwrap(), Ok(ObjectVersion(1)));
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

    /// Adds two live hosts; returns the time when they were asked for a promise.
    fn propose(&mut self) -> BootTime {
        self.feed(ScopeEvent::HostsChanged((0..3).map(host_info).collect()));
        for _ in 0..20 {
            let actions = self.wait(100);
            self.promise(0, self.now);
            if asked_electors(&actions).contains(&host_info(1).id) {
                return self.now;
            }
        }
        panic!("the new electors were not asked");
    }
}

fn requested_write(actions: &[ScopeAction]) -> Option<WriteId> {
    actions.iter().find_map(|action| match action {
        ScopeAction::WriteScope { write, .. } => Some(*write),
        _ => None,
    })
}

fn asked_electors(actions: &[ScopeAction]) -> Vec<HostId> {
    let mut electors = Vec::new();
    for action in actions {
        if let ScopeAction::RequestPromise { elector, .. } = action {
            electors.push(elector.clone());
        }
    }
    electors
}

/// Guards against a successor that gets a majority of the new electors while grants are
/// live that were issued under longer promises of the old ones.
#[test]
fn change_is_written_only_once_its_promises_cover_all_authority_used() {
    let mut driver = Driver::controller();
    let asked_at = driver.propose();

    driver.wait(600);
    driver.promise(0, driver.now);
    // The map is now valid under a promise that ends later than the next one, which
    // answers the request at `asked_at`.
    driver.wait(100);
    let early = driver.promise(1, asked_at);
    let later = driver.wait(100);
    driver.promise(1, driver.now);
    let covered = driver.wait(100);

    assert_eq!(requested_write(&early).or(requested_write(&later)), None);
    assert!(requested_write(&covered).is_some());
}

/// Guards against authority from one list of electors while the scope object may name the
/// other, because the outcome of the write is unknown.
#[test]
fn both_lists_must_agree_while_a_change_is_in_doubt() {
    let mut driver = Driver::controller();
    driver.propose();
    let write = (0..10).find_map(|_| {
        let now = driver.now;
        driver.promise(0, now);
        driver.promise(1, now);
        requested_write(&driver.wait(100))
    });
    let new_end = driver.now.minus(Duration::from_millis(100)) + PROMISE_TTL;

    driver.answer_write(write.unwrap(), Err(WriteFailure::Unknown));
    driver.wait(500);
    driver.promise(0, driver.now);

    // Host 0 alone is a majority of the old list, but not of the new one.
    assert_eq!(driver.machine.authority_end(), new_end);
}
