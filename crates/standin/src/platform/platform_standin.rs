//! A running platform stand-in.

use {
    super::{
        PlatformFaults,
        control_routes::{self, CONTROL_PATH},
        object_routes,
        platform_state::PlatformState,
    },
    crate::http::{ANY_PORT, ConnectionAborted, HttpHandler, HttpTask, Reply},
    bytes::Bytes,
    camphorcove_net::platform::{CallKind, HttpStore, ListedHost},
    http::Request,
    hyper::body::Incoming,
    std::{io, net::SocketAddr, sync::Arc},
};

impl HttpHandler for PlatformState {
    type Permit = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Reply, ConnectionAborted> {
        if request.uri().path().starts_with(CONTROL_PATH) {
            return control_routes::route(&self, request).await;
        }
        object_routes::route(self, request).await
    }
}

/// An in-memory platform for tests; stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Arc<PlatformState>,
    task: HttpTask,
}

impl PlatformStandin {
    /// Starts on a port chosen by the OS.
    pub async fn on_any_port() -> io::Result<Self> {
        Self::start(ANY_PORT).await
    }

    /// Starts on `address`; port 0 lets the OS choose.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(PlatformState::default());
        let task = HttpTask::start(address, state.clone()).await?;
        Ok(Self { state, task })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Creates a client of this platform.
    pub fn client(&self) -> HttpStore {
        HttpStore::new(self.address())
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.state.lock().hosts.set(hosts);
    }

    /// Number of calls of this kind received so far.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.state.calls.calls(kind)
    }

    /// Version and content of an object, regardless of faults.
    pub fn object(&self, key: &str) -> Option<(u64, Bytes)> {
        self.state.lock().objects.get(key).cloned()
    }
}
