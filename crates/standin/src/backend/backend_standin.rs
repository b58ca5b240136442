//! A running backend stand-in.

use {
    super::{
        BackendSettings, BackendStats, GrantInterval, RequestRecord, backend_state::BackendState,
        control_routes::ControlHandler, order_route, request_route,
    },
    crate::http::{ANY_PORT, ConnectionAborted, HttpHandler, HttpTask, Reply},
    camphorcove_core::headers::SERVER_CLOCK,
    camphorcove_net::servers::{ORDER_PATH, ServerTime},
    http::{Method, Request},
    hyper::body::Incoming,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Path of health probes.
pub(super) const HEALTH_PATH: &str = "/health";

/// Addresses and initial settings of a backend stand-in.
#[derive(Clone, Debug, clap::Args)]
pub struct BackendOptions {
    /// Address to listen on; port 0 lets the OS choose.
    #[arg(long, default_value_t = ANY_PORT)]
    pub listen: SocketAddr,
    /// Address of the control port; port 0 lets the OS choose.
    #[arg(long, default_value_t = ANY_PORT)]
    pub control: SocketAddr,
    /// Initial behaviour.
    #[command(flatten)]
    pub settings: BackendSettings,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            control: ANY_PORT,
            settings: BackendSettings::default(),
        }
    }
}

/// A backend server for tests; stops when dropped.
#[derive(Debug)]
pub struct BackendStandin {
    state: Arc<BackendState>,
    task: HttpTask,
    control: HttpTask,
}

impl BackendStandin {
    /// Starts listening on the addresses in `options`.
    pub async fn start(options: BackendOptions) -> io::Result<Self> {
        let state = Arc::new(BackendState::new(options.settings));
        let task = HttpTask::start(options.listen, state.clone()).await?;
        let handler = Arc::new(ControlHandler(state.clone()));
        let control = HttpTask::start(options.control, handler).await?;
        Ok(Self {
            state,
            task,
            control,
        })
    }

    /// Starts with `settings` on ports chosen by the OS.
    pub async fn with_settings(settings: BackendSettings) -> io::Result<Self> {
        let options = BackendOptions {
            settings,
            ..BackendOptions::default()
        };
        Self::start(options).await
    }

    /// Address of the port for orders, requests and probes.
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Changes the settings; takes effect at once.
    pub fn update_settings(&self, change: impl FnOnce(&mut BackendSettings)) {
        self.state.settings.send_modify(change);
    }

    /// Current time on the server's own clock.
    pub fn clock(&self) -> ServerTime {
        self.state.clock()
    }

    /// Simulates a restart: drops grants and fences and begins a cold start.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Requests that the server began to run, in order.
    pub fn ledger(&self) -> Vec<RequestRecord> {
        self.state.lock().ledger.entries().to_vec()
    }

    /// Time intervals in which the server held grants for the shards of a service.
    pub fn intervals(&self, service: &str) -> Vec<GrantInterval> {
        self.state.intervals(service)
    }

    /// Current values of the counters.
    pub fn stats(&self) -> BackendStats {
        self.state.lock().stats.clone()
    }
}

/// Holds a place in the count of open connections.
#[derive(Debug)]
pub(super) struct ConnectionPermit(Arc<BackendState>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.lock().stats.connections -= 1;
    }
}

impl HttpHandler for BackendState {
    type Permit = ConnectionPermit;

    fn admit(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let limit = self.settings().connections;
        let mut content = self.lock();
        let stats = &mut content.stats;
        if stats.connections >= limit {
            stats.refused_connections += 1;
            return None;
        }
        stats.connections += 1;
        stats.peak_connections = stats.peak_connections.max(stats.connections);
        Some(ConnectionPermit(self.clone()))
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Reply, ConnectionAborted> {
        let mut reply = match request.uri().path() {
            // `OPTIONS` reads the server's clock and runs nothing.
            _ if request.method() == Method::OPTIONS => request_route::probe(&self).await,
            ORDER_PATH => order_route::route(&self, request).await?,
            HEALTH_PATH => request_route::health(&self).await,
            _ => request_route::route(&self, request).await?,
        };
        let clock = self.clock().0;
        reply.headers_mut().insert(SERVER_CLOCK, clock.into());
        Ok(reply)
    }
}
