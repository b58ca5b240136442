//! Accepts or refuses connections, as the settings say.

use {
    super::{proxy_connection, proxy_state::ProxyState},
    socket2::SockRef,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        task::JoinSet,
        time::timeout,
    },
};

/// Maximum number of connections waiting to be accepted.
pub(super) const BACKLOG: u32 = 1_024;

/// Time after which an attempt to connect on this machine counts as unanswered.
const CONNECT_TIME: Duration = Duration::from_millis(50);

/// Binds a socket to the proxy's port. While it does not listen, the OS refuses
/// connections, but no other process can take the port.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections except while `refuse` or `ignore` is set; returns only if the port cannot
/// be bound again.
pub(super) async fn run(state: Arc<ProxyState>, mut listener: TcpListener) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut settings = state.settings.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = accept_all(&state, &listener, &mut connections) => {}
            _ = settings.wait_for(|settings| settings.refuse || settings.ignore) => {}
        }
        if !state.settings.borrow().refuse {
            // Attempts to connect get no answer while the accept queue is full.
            SockRef::from(&listener).listen(0)?;
            let queued = fill_queue(address).await;
            let _ = settings.wait_for(|settings| !settings.ignore).await;
            drop(queued);
            SockRef::from(&listener).listen(BACKLOG as i32)?;
            continue;
        }
        drop(listener);
        let socket = bind(address)?;
        // Fails only if the sender is dropped, and `state` owns the sender.
        let _ = settings.wait_for(|settings| !settings.refuse).await;
        listener = socket.listen(BACKLOG)?;
    }
}

/// Opens connections until the accept queue is full.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(CONNECT_TIME, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    queued
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
        proxy_connection::reset(&stream);
        return;
    }
    let state = state.clone();
    connections.spawn(async move { proxy_connection::run(&state, stream).await });
}
