//! Answers of the platform: what the scope object says, and whose it is.

use {
    super::{
        ReadFailure, ScopeAction, WriteFailure, WriteId,
        object_writer::WriteOutcome,
        scope_machine::{HeldObject, ScopeMachine},
    },
    crate::{ids::ObjectVersion, scope::ScopeState, time::BootTime},
    std::time::Duration,
};

/// Time after which a read without an answer counts as failed.
const READ_LIMIT: Duration = Duration::from_secs(3);

/// Interval of reads by a controller, which prove its contact with the platform.
const CONTACT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of reads while the controller's term is in question.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl ScopeMachine {
    pub(super) fn take_read(
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
            self.note_contact(state, sent_at);
        }
        if !self.writer.read(version, now) {
            return;
        }
        self.questioned = false;
        let Some((version, state)) = read else {
            self.decide_takeover(None, now);
            return;
        };
        self.take_object(HeldObject { version, state }, sent_at, now);
    }

    /// A read that shows this term proves the contact, even while a write is pending.
    fn note_contact(&mut self, state: &ScopeState, sent_at: BootTime) {
        let ours = state.held_by(&self.host.id, self.nonce);
        let current = self.term.as_ref().map(|term| term.epoch) == Some(state.epoch);
        if ours && current {
            self.contact_at = self.contact_at.max(sent_at);
            self.dirty |= self.resigning;
        }
    }

    fn take_object(&mut self, object: HeldObject, sent_at: BootTime, now: BootTime) {
        let ours = object.state.held_by(&self.host.id, self.nonce);
        let current = self
            .term
            .as_ref()
            .is_some_and(|term| term.epoch == object.state.epoch);
        let claimed = ours && self.term.is_none() && self.timer.claimed == object.state.epoch;
        if ours && (current || claimed) {
            self.commit(object, sent_at, now);
            return;
        }
        if self.term.is_some() {
            let jitter = self.jitter();
            self.timer.superseded(object.state.epoch, jitter, now);
            self.object = Some(object);
            self.step_down(now);
            return;
        }
        self.decide_takeover(Some(object), now);
    }

    pub(super) fn take_written(
        &mut self,
        write: WriteId,
        result: Result<ObjectVersion, WriteFailure>,
        now: BootTime,
    ) {
        match self.writer.answered(write, result, now) {
            WriteOutcome::Committed(version, state, sent_at) => {
                let state = *state;
                self.commit(HeldObject { version, state }, sent_at, now);
            }
            WriteOutcome::Dropped => self.write_dropped(),
            WriteOutcome::Open => {}
        }
    }

    /// Nothing was written; the change is planned again after a pause.
    fn write_dropped(&mut self) {
        self.dirty = true;
        if let Some(term) = &mut self.term {
            term.authority.proposal_dropped();
        }
    }

    /// The object has this content, and this process holds its term.
    fn commit(&mut self, object: HeldObject, sent_at: BootTime, now: BootTime) {
        self.contact_at = self.contact_at.max(sent_at);
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
        self.note_moves(&object.state);
        let resigned = object.state.resigned;
        let electors = object.state.electors.clone();
        self.object = Some(object);
        if let Some(term) = &mut self.term {
            term.authority.settle(&electors);
        }
        if resigned {
            self.finish_resignation(now);
        }
    }

    pub(super) fn expire_read(&mut self, now: BootTime) {
        if self
            .reading_since
            .is_some_and(|since| now > since + READ_LIMIT)
        {
            self.reading_since = None;
        }
    }

    /// Asks for a read unless one is under way or was answered too recently.
    pub(super) fn request_read(&mut self, now: BootTime) {
        if self.reading_since.is_some() || now < self.read_not_before {
            return;
        }
        self.reading_since = Some(now);
        self.read_not_before = now + self.read_pause;
        self.actions.push(ScopeAction::ReadScope);
    }

    /// Reads the object now and then, to prove the platform contact or notice a successor.
    pub(super) fn check_contact(&mut self, now: BootTime) {
        let interval = if self.is_adopting() || self.questioned || !self.has_authority(now) {
            CHECK_INTERVAL
        } else {
            CONTACT_INTERVAL
        };
        if now >= self.contact_at + interval {
            self.request_read(now);
        }
    }
}
