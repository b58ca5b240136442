//! Handles the platform's answers to reads and writes of the scope object.

use {
    super::{
        ReadFailure, ScopeAction, WriteFailure, WriteId,
        object_writer::WriteOutcome,
        scope_machine::{ScopeMachine, VersionedState},
    },
    crate::{ids::ObjectVersion, scope::ScopeState, time::BootTime},
    std::time::Duration,
};

/// A read without an answer within this time counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of reads that confirm the controller's contact with the platform.
const PLATFORM_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The same while this process may have been superseded, has no authority or is adopting.
const UNCERTAIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl ScopeMachine {
    pub(super) fn handle_read_answer(
        &mut self,
        sent_at: BootTime,
        result: Result<Option<(ObjectVersion, ScopeState)>, ReadFailure>,
        now: BootTime,
    ) {
        self.reading_since = None;
        let Ok(read) = result else {
            self.read_not_before = now + self.read_pause;
            return;
        };
        let version = read.as_ref().map(|(version, _)| *version);
        let held = self.object.as_ref().map(|object| object.version);
        if version < held {
            return;
        }
        if let Some((_, state)) = &read {
            self.update_platform_contact(state, sent_at);
        }
        if !self.writer.handle_read(version, now) {
            return;
        }
        self.may_be_superseded = false;
        let Some((version, state)) = read else {
            self.decide_takeover(None, now);
            return;
        };
        self.handle_object(VersionedState { version, state }, sent_at, now);
    }

    /// Records the platform contact if the read shows this term, even while a write is pending.
    fn update_platform_contact(&mut self, state: &ScopeState, sent_at: BootTime) {
        let ours = state.is_held_by(&self.host.id, self.nonce);
        let current = self.term.as_ref().map(|term| term.epoch) == Some(state.epoch);
        if ours && current {
            self.platform_contact_at = self.platform_contact_at.max(sent_at);
            self.dirty |= self.resigning;
        }
    }

    /// Handles a scope object that was read: own term, superseded, or a chance to take over.
    fn handle_object(&mut self, object: VersionedState, sent_at: BootTime, now: BootTime) {
        let ours = object.state.is_held_by(&self.host.id, self.nonce);
        let current = self
            .term
            .as_ref()
            .is_some_and(|term| term.epoch == object.state.epoch);
        let claimed =
            ours && self.term.is_none() && self.candidacy_timer.claimed_epoch == object.state.epoch;
        if ours && (current || claimed) {
            self.apply_committed(object, sent_at, now);
            return;
        }
        if self.term.is_some() {
            let jitter = self.jitter();
            self.candidacy_timer
                .superseded(object.state.epoch, jitter, now);
            self.object = Some(object);
            self.step_down(now);
            return;
        }
        self.decide_takeover(Some(object), now);
    }

    pub(super) fn handle_write_answer(
        &mut self,
        write: WriteId,
        result: Result<ObjectVersion, WriteFailure>,
        now: BootTime,
    ) {
        match self.writer.handle_answer(write, result, now) {
            WriteOutcome::Committed(version, state, sent_at) => {
                let state = *state;
                self.apply_committed(VersionedState { version, state }, sent_at, now);
            }
            WriteOutcome::NotWritten => self.handle_not_written(),
            WriteOutcome::Unresolved => {}
        }
    }

    /// Nothing was written, so the change is planned again after a pause.
    fn handle_not_written(&mut self) {
        self.dirty = true;
        if let Some(term) = &mut self.term {
            term.authority.proposal_not_written();
        }
    }

    /// Handles a scope object that was read or written and whose term this process holds.
    fn apply_committed(&mut self, object: VersionedState, sent_at: BootTime, now: BootTime) {
        self.platform_contact_at = self.platform_contact_at.max(sent_at);
        let newer = self
            .object
            .as_ref()
            .is_none_or(|held| held.version < object.version);
        if !newer && self.term.is_some() {
            return;
        }
        self.counters.writes += 1;
        self.dirty = true;
        if self.term.is_none() {
            self.start_term(object, now);
            return;
        }
        self.count_moves(&object.state);
        let resigned = object.state.resigned;
        let electors = object.state.electors.clone();
        self.object = Some(object);
        if let Some(term) = &mut self.term {
            term.authority.set_electors(&electors);
        }
        if resigned {
            self.finish_resignation(now);
        }
    }

    /// Gives up a pending read that has timed out.
    pub(super) fn expire_read(&mut self, now: BootTime) {
        if self
            .reading_since
            .is_some_and(|since| now > since + READ_TIMEOUT)
        {
            self.reading_since = None;
        }
    }

    /// Requests a read unless one is pending or was requested too recently.
    pub(super) fn request_read(&mut self, now: BootTime) {
        if self.reading_since.is_some() || now < self.read_not_before {
            return;
        }
        self.reading_since = Some(now);
        self.read_not_before = now + self.read_pause;
        self.actions.push(ScopeAction::ReadScope);
    }

    /// Reads the object periodically, to confirm the platform contact or notice a successor.
    pub(super) fn check_platform_contact(&mut self, now: BootTime) {
        let interval = if self.is_adopting() || self.may_be_superseded || !self.has_authority(now) {
            UNCERTAIN_CHECK_INTERVAL
        } else {
            PLATFORM_CHECK_INTERVAL
        };
        if now >= self.platform_contact_at + interval {
            self.request_read(now);
        }
    }
}
