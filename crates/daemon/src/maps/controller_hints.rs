//! Last known controller of each scope.

use {
    camphorcove_core::ids::{Epoch, HostId, ServiceName},
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Last known controller and epoch by scope.
///
/// An entry only says which host to poll and may be outdated; nothing relies on it for
/// correctness.
#[derive(Debug, Default)]
pub struct ControllerHints {
    hints: Mutex<HashMap<ServiceName, (Epoch, HostId)>>,
}

impl ControllerHints {
    /// Records the controller of a term; does nothing if a newer term is known.
    pub fn record_controller(&self, service: &ServiceName, epoch: Epoch, controller: &HostId) {
        let mut hints = self.hints();
        let newer = hints
            .get(service)
            .is_none_or(|(known, host)| epoch > *known || epoch == *known && host != controller);
        if newer {
            hints.insert(service.clone(), (epoch, controller.clone()));
        }
    }

    /// Controller in the newest known term.
    pub fn controller(&self, service: &ServiceName) -> Option<HostId> {
        self.hints().get(service).map(|(_, host)| host.clone())
    }

    fn hints(&self) -> MutexGuard<'_, HashMap<ServiceName, (Epoch, HostId)>> {
        self.hints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
