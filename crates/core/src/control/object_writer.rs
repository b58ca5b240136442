//! Conditional writes of the scope object, one at a time, each until its outcome is known.

use {
    super::{ScopeAction, WriteFailure, WriteId},
    crate::{ids::ObjectVersion, scope::ScopeState, time::BootTime},
    std::time::Duration,
};

/// The outcome of a write without an answer within this time counts as unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before a failed platform call is repeated.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(300);

/// What a pending write waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStage {
    /// The platform's answer.
    Sent,
    /// A read of the object, which shows the outcome.
    InDoubt,
    /// Its next attempt, because the object still has the old version.
    Resend,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    /// One per attempt.
    ids: Vec<WriteId>,
    expected: Option<ObjectVersion>,
    state: Box<ScopeState>,
    stage: WriteStage,
    sent_at: BootTime,
    first_sent_at: BootTime,
}

/// Outcome of a write.
#[derive(Clone, Debug)]
pub(super) enum WriteOutcome {
    /// The object has this version and content; the time is that of the first attempt.
    Committed(ObjectVersion, Box<ScopeState>, BootTime),
    /// Nothing was written.
    NotWritten,
    /// The outcome is not known yet.
    Unresolved,
}

/// Sends conditional writes of the scope object, one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct ObjectWriter {
    last_id: u64,
    pending: Option<PendingWrite>,
    not_before: BootTime,
}

impl ObjectWriter {
    /// Whether a new write may start.
    pub(super) fn is_free(&self, now: BootTime) -> bool {
        self.pending.is_none() && now >= self.not_before
    }

    /// Content of the pending write, which the object may already have.
    pub(super) fn pending_state(&self) -> Option<&ScopeState> {
        self.pending.as_ref().map(|pending| pending.state.as_ref())
    }

    /// Whether the object must be read to learn the outcome of a write.
    pub(super) fn needs_read(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| pending.stage == WriteStage::InDoubt)
    }

    pub(super) fn start(
        &mut self,
        expected: Option<ObjectVersion>,
        state: ScopeState,
        now: BootTime,
    ) -> ScopeAction {
        let mut pending = PendingWrite {
            ids: Vec::new(),
            expected,
            state: Box::new(state),
            stage: WriteStage::Sent,
            sent_at: now,
            first_sent_at: now,
        };
        let action = self.send(&mut pending, now);
        self.pending = Some(pending);
        action
    }

    fn send(&mut self, pending: &mut PendingWrite, now: BootTime) -> ScopeAction {
        self.last_id += 1;
        let write = WriteId(self.last_id);
        pending.ids.push(write);
        pending.stage = WriteStage::Sent;
        pending.sent_at = now;
        ScopeAction::WriteScope {
            write,
            expected: pending.expected,
            state: pending.state.clone(),
        }
    }

    /// Handles the answer timeout, and repeats a write that has not taken effect so far.
    ///
    /// All attempts have the same content and expected version, so at most one of
    /// them takes effect.
    pub(super) fn retry_if_due(&mut self, now: BootTime) -> Option<ScopeAction> {
        let mut pending = self.pending.take()?;
        if pending.stage == WriteStage::Sent && now >= pending.sent_at + ANSWER_TIMEOUT {
            pending.stage = WriteStage::InDoubt;
        }
        let resend = pending.stage == WriteStage::Resend && now >= self.not_before;
        let action = resend.then(|| self.send(&mut pending, now));
        self.pending = Some(pending);
        action
    }

    pub(super) fn handle_answer(
        &mut self,
        write: WriteId,
        result: Result<ObjectVersion, WriteFailure>,
        now: BootTime,
    ) -> WriteOutcome {
        let Some(mut pending) = self.pending.take() else {
            return WriteOutcome::Unresolved;
        };
        if !pending.ids.contains(&write) {
            self.pending = Some(pending);
            return WriteOutcome::Unresolved;
        }
        let only_attempt = pending.ids.len() == 1;
        match result {
            Ok(version) => {
                let sent_at = pending.first_sent_at;
                return WriteOutcome::Committed(version, pending.state, sent_at);
            }
            Err(WriteFailure::NotSent) => {
                self.not_before = now + RETRY_DELAY;
                if only_attempt {
                    return WriteOutcome::NotWritten;
                }
                pending.stage = WriteStage::InDoubt;
            }
            Err(WriteFailure::Conflict | WriteFailure::Unknown) => {
                pending.stage = WriteStage::InDoubt;
            }
        }
        self.pending = Some(pending);
        WriteOutcome::Unresolved
    }

    /// Handles the version that a read returned; returns whether no write is pending any more.
    ///
    /// As long as the version has not advanced, the write may still take effect.
    pub(super) fn handle_read(&mut self, version: Option<ObjectVersion>, now: BootTime) -> bool {
        let Some(pending) = &mut self.pending else {
            return true;
        };
        if version > pending.expected {
            self.pending = None;
            return true;
        }
        if pending.stage == WriteStage::InDoubt {
            pending.stage = WriteStage::Resend;
            self.not_before = now + RETRY_DELAY;
        }
        false
    }

    /// Forgets a pending write because another controller holds the object.
    pub(super) fn abandon(&mut self) {
        self.pending = None;
    }
}
