//! Accepts connections, or refuses them.

use {
    super::{proxy_line, proxy_state::ProxyState},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        task::JoinSet,
    },
};

/// Connections that may wait to be accepted.
pub(super) const BACKLOG: u32 = 1_024;

/// A socket bound to the proxy's port. Connections to a bound socket that does
/// not listen are refused, and the port stays taken.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts while connections are not refused; ends if the port is lost.
pub(super) async fn run(state: Arc<ProxyState>, mut listener: TcpListener) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut settings = state.settings.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = accept_all(&state, &listener, &mut connections) => {}
            _ = settings.wait_for(|settings| settings.refuse) => {}
        }
        drop(listener);
        let socket = bind(address)?;
        // Fails only if the sender is gone, which `state` owns.
        let _ = settings.wait_for(|settings| !settings.refuse).await;
        listener = socket.listen(BACKLOG)?;
    }
}

async fn accept_all(
    state: &Arc<ProxyState>,
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                accept_one(state, stream, connections);
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

fn accept_one(state: &Arc<ProxyState>, stream: TcpStream, connections: &mut JoinSet<()>) {
    state.accepted.fetch_add(1, Ordering::Relaxed);
    if state.settings.borrow().cut {
        proxy_line::reset(&stream);
        return;
    }
    let state = state.clone();
    connections.spawn(async move { proxy_line::run(&state, stream).await });
}
