//! A running proxy.

use {
    super::{ProxySettings, ProxyStats, proxy_listener, proxy_state::ProxyState},
    crate::http::{ANY_PORT, HttpTask},
    std::{io, net::SocketAddr, sync::Arc},
    tokio::task::JoinHandle,
};

/// Addresses of a proxy.
#[derive(Clone, Debug, clap::Args)]
pub struct ProxyOptions {
    /// Address to which connections are forwarded.
    #[arg(long)]
    pub target: SocketAddr,
    /// Address to listen on; port 0 lets the OS choose.
    #[arg(long, default_value_t = ANY_PORT)]
    pub listen: SocketAddr,
    /// Address of the control port; port 0 lets the OS choose.
    #[arg(long, default_value_t = ANY_PORT)]
    pub control: SocketAddr,
}

/// A TCP proxy in front of one address; stops when dropped.
#[derive(Debug)]
pub struct ProxyStandin {
    state: Arc<ProxyState>,
    address: SocketAddr,
    control: HttpTask,
    task: JoinHandle<()>,
}

impl ProxyStandin {
    /// Starts without faults on the addresses in `options`.
    pub async fn start(options: ProxyOptions) -> io::Result<Self> {
        let state = Arc::new(ProxyState::new(options.target));
        let control = HttpTask::start(options.control, state.clone()).await?;
        let socket = proxy_listener::bind(options.listen)?;
        let address = socket.local_addr()?;
        // Listen before returning, so that connections made right after are accepted.
        let listener = socket.listen(proxy_listener::BACKLOG)?;
        let running = proxy_listener::run(state.clone(), listener);
        let task = tokio::spawn(async move {
            if let Err(error) = running.await {
                log::error!("proxy cannot listen on {address} again: {error}");
            }
        });
        Ok(Self {
            state,
            address,
            control,
            task,
        })
    }

    /// Starts a proxy to `target` on ports chosen by the OS.
    pub async fn to(target: SocketAddr) -> io::Result<Self> {
        Self::start(ProxyOptions {
            target,
            listen: ANY_PORT,
            control: ANY_PORT,
        })
        .await
    }

    /// Address on which it accepts connections to the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Connects later connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.target.send_replace(target);
    }

    /// Current faults.
    pub fn settings(&self) -> ProxySettings {
        self.state.settings.borrow().clone()
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut ProxySettings)) {
        self.state.settings.send_modify(change);
    }

    /// Makes the connections that are open now carry nothing more and stay open, while new ones work.
    pub fn silence_open_connections(&self) {
        self.state.silenced.send_modify(|count| *count += 1);
    }

    /// Current values of the counters.
    pub fn stats(&self) -> ProxyStats {
        self.state.stats()
    }
}

impl Drop for ProxyStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}
