//! Callers of the hosts.

use crate::{
    http::{Connection, Message},
    record::Record,
};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::{Duration, Instant},
};

/// Time that a caller waits for a connection and for an answer, beyond its time budget.
const CONNECT_TIME: Duration = Duration::from_secs(1);
const MARGIN: Duration = Duration::from_millis(500);

/// Sends one request on a new connection. Returns the status of the answer, or 0 without one.
pub fn call(address: SocketAddr, request: &Message, deadline: Duration, record: &Record) -> u16 {
    let id = request.header("x-request-id").unwrap_or_default();
    let sent_at = Instant::now();
    let response = TcpStream::connect_timeout(&address, CONNECT_TIME)
        .and_then(Connection::new)
        .and_then(|mut connection| {
            connection
                .stream()
                .set_read_timeout(Some(deadline + MARGIN))?;
            connection.write(request)?;
            connection.read()
        });
    let status = response
        .ok()
        .flatten()
        .map_or(0, |response| response.status());
    record.line(&format!(
        "caller got {status} for {id} after {:.3} s",
        sent_at.elapsed().as_secs_f64()
    ));
    status
}

/// Sends one request on a new connection, its body in parts with pauses between them. Returns the
/// status of the answer, or 0 without one.
pub fn send_slowly(
    address: SocketAddr,
    request: &Message,
    (parts, pause): (usize, Duration),
    deadline: Duration,
    record: &Record,
) -> u16 {
    let id = request.header("x-request-id").unwrap_or_default();
    let sent_at = Instant::now();
    let response = TcpStream::connect_timeout(&address, CONNECT_TIME).and_then(|mut stream| {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(deadline + MARGIN))?;
        stream.write_all(&request.head())?;
        for part in request.body.chunks(request.body.len().div_ceil(parts)) {
            sleep(pause);
            stream.write_all(part)?;
        }
        Connection::new(stream)?.read()
    });
    let status = response
        .ok()
        .flatten()
        .map_or(0, |response| response.status());
    let seconds = sent_at.elapsed().as_secs_f64();
    record.line(&format!(
        "caller got {status} for {id} after {seconds:.3} s"
    ));
    status
}
