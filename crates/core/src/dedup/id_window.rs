//! The ids that a home host has seen within the deduplication window.

use {
    crate::{outcome::Execution, time::BootTime},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Result of looking up an arriving id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdVerdict {
    /// Not seen within the window; it is recorded as running.
    New,
    /// A request with this id is running.
    Running,
    /// A request with this id ended: it ran or may have run.
    Ended(Execution),
    /// Not seen, but this host has not been the id's home host for the whole window.
    NotCovered,
    /// Not seen, but the window is at capacity; evicting another id early could let that one run
    /// twice.
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdState {
    Running,
    Ended(Execution),
}

/// Ids seen within the window, at most `capacity`.
#[derive(Debug)]
pub struct IdWindow {
    retention: Duration,
    capacity: usize,
    ids: HashMap<Arc<str>, IdState>,
    /// Ended ids with the time of their end, oldest first.
    ended: VecDeque<(BootTime, Arc<str>)>,
}

impl IdWindow {
    /// An empty window; an id is kept for `retention` after its request ended.
    pub fn new(retention: Duration, capacity: usize) -> Self {
        Self {
            retention,
            capacity,
            ids: HashMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Number of ids held, running and ended.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is held.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Records an arriving id as running if it is new.
    ///
    /// `covered`: this host has been the id's home host for the whole window.
    pub fn begin(&mut self, id: &str, covered: bool, now: BootTime) -> IdVerdict {
        self.remove_expired(now);
        match self.ids.get(id) {
            Some(IdState::Running) => return IdVerdict::Running,
            Some(IdState::Ended(execution)) => return IdVerdict::Ended(*execution),
            None if !covered => return IdVerdict::NotCovered,
            None if self.ids.len() >= self.capacity => return IdVerdict::Full,
            None => {}
        }
        self.ids.insert(id.into(), IdState::Running);
        IdVerdict::New
    }

    /// Records how the request of a running id ended; an id that did not run is accepted again.
    pub fn end(&mut self, id: &str, execution: Execution, now: BootTime) {
        if execution == Execution::NotRun {
            self.ids.remove(id);
            return;
        }
        let Some((key, _)) = self.ids.get_key_value(id) else {
            return;
        };
        let key = key.clone();
        self.ids.insert(key.clone(), IdState::Ended(execution));
        self.ended.push_back((now, key));
    }

    fn remove_expired(&mut self, now: BootTime) {
        while let Some((ended_at, _)) = self.ended.front() {
            if now.since(*ended_at) <= self.retention {
                return;
            }
            if let Some((_, id)) = self.ended.pop_front() {
                self.ids.remove(&id);
            }
        }
    }
}
