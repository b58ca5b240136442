//! A running platform stand-in.

use {
    super::{
        PlatformFaults,
        control_routes::{self, CONTROL_PATH},
        object_routes,
        platform_state::PlatformState,
    },
    crate::http::{ANY_PORT, ConnectionCut, HttpHandler, HttpTask, Reply},
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

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, ConnectionCut> {
        if request.uri().path().starts_with(CONTROL_PATH) {
            return control_routes::route(&self, request).await;
        }
        object_routes::route(self, request).await
    }
}

/// The platform, in memory; ends when dropped.
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

    /// Address of its port.
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// A new client of it.
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

    /// Calls received so far.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.state.calls.calls(kind)
    }

    /// Version and content of an object, past all faults.
    pub fn object(&self, key: &str) -> Option<(u64, Bytes)> {
        self.state.lock().objects.get(key).cloned()
    }
}
