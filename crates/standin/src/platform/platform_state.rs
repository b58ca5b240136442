//! State shared by the connections of the platform stand-in.

use {
    super::{
        host_history::HostHistory, object_table::ObjectTable, platform_faults::PlatformFaults,
    },
    camphorcove_net::platform::CallCounts,
    std::sync::{Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

/// State protected by one lock.
#[derive(Debug, Default)]
pub(super) struct PlatformContent {
    pub objects: ObjectTable,
    /// Copy of `objects` that reads and lists see while `stale_reads` is on.
    pub stale_objects: Option<ObjectTable>,
    pub hosts: HostHistory,
    pub faults: PlatformFaults,
}

impl PlatformContent {
    /// Objects that reads and lists see.
    pub fn readable(&self) -> &ObjectTable {
        self.stale_objects.as_ref().unwrap_or(&self.objects)
    }
}

#[derive(Debug, Default)]
pub(super) struct PlatformState {
    content: Mutex<PlatformContent>,
    changed: watch::Sender<()>,
    pub calls: CallCounts,
}

impl PlatformState {
    pub fn lock(&self) -> MutexGuard<'_, PlatformContent> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut content = self.lock();
        if !faults.stale_reads {
            content.stale_objects = None;
        } else if content.stale_objects.is_none() {
            content.stale_objects = Some(content.objects.clone());
        }
        content.faults = faults;
        drop(content);
        self.notify();
    }

    /// Wakes pending watches.
    pub fn notify(&self) {
        self.changed.send_replace(());
    }

    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}
