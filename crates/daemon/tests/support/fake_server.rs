//! Backend server that is controlled by a script.

use {
    super::caller::find,
    socket2::SockRef,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::AbortHandle,
    },
};

/// What the fake server does with one request.
#[derive(Clone, Debug)]
pub enum ServerAction {
    /// Runs the request and writes these bytes.
    Reply(String),
    /// Runs the request and writes these bytes after this time.
    ReplyAfter(Duration, String),
    /// Runs the request, writes these bytes and closes the connection.
    ReplyThenClose(String),
    /// Runs the request, writes these bytes and resets the connection.
    ReplyThenReset(String),
    /// Runs the request, writes the first text and then the second one again and again until the
    /// router closes the connection.
    ReplyWithoutEnd(String, &'static str),
    /// Runs the request and sends nothing until the router closes the connection.
    Stall,
    /// Does not run the request and says so in the reply.
    Shed,
    /// Like [`Self::Shed`], and writes the same reply once more after this time.
    ShedTwice(Duration),
    /// Does not run the request: resets the connection after the head, without reading the body.
    ResetAfterHead,
}

/// Reply that states that a request did not run.
const SHED_REPLY: &[u8] =
    b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-server-verdict: not-run\r\n\r\n";

/// A request that the server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    pub ran: bool,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.split("\r\n").skip(1);
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let mut found = pairs.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim().to_owned())
    }
}

/// Chooses the action for a request, given the number of requests before it and the request.
type Script = Arc<dyn Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync>;

/// State shared by the connections of a server and the test.
struct Shared {
    script: Script,
    /// What is done with requests that read the clock.
    clock_action: Mutex<ServerAction>,
    seen: Mutex<Vec<ReceivedRequest>>,
    seen_count: watch::Sender<usize>,
    /// Connections that the router closed before it got a reply.
    dropped: watch::Sender<usize>,
    /// Bytes of chunked request bodies received.
    body_bytes: watch::Sender<usize>,
    /// Connections open now.
    open: watch::Sender<i64>,
    most_open: Mutex<i64>,
}

/// Scripted server on its own port.
pub struct FakeServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

/// A complete reply with this body, and a reading of the server's clock.
pub fn ok_reply(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nx-server-clock: 5000000\r\n\r\n{body}",
        body.len()
    )
}

impl FakeServer {
    /// Starts a server; the script gets the number of requests before this one, and the request.
    pub async fn start(
        script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let shared = Arc::new(Shared {
            script: Arc::new(script),
            clock_action: Mutex::new(ServerAction::Reply(ok_reply(""))),
            seen: Mutex::default(),
            seen_count: watch::Sender::new(0),
            dropped: watch::Sender::new(0),
            body_bytes: watch::Sender::new(0),
            open: watch::Sender::new(0),
            most_open: Mutex::new(0),
        });
        let accepted = shared.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(accepted.clone(), stream));
            }
        });
        Self {
            address,
            shared,
            accepting: accepting.abort_handle(),
        }
    }

    /// Changes what is done with requests that read the clock.
    pub fn set_clock_action(&self, action: ServerAction) {
        *self.shared.clock_action.lock().expect("clock action") = action;
    }

    /// Requests received so far, without the `OPTIONS` requests that read the clock.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.shared.seen.lock().expect("seen").clone()
    }

    pub fn ran(&self) -> usize {
        self.seen().iter().filter(|request| request.ran).count()
    }

    pub async fn wait_seen(&self, count: usize) {
        let mut seen = self.shared.seen_count.subscribe();
        seen.wait_for(|seen| *seen >= count).await.expect("server");
    }

    /// Waits until the router has closed this many connections before it got a reply.
    pub async fn wait_dropped(&self, count: usize) {
        let mut dropped = self.shared.dropped.subscribe();
        dropped
            .wait_for(|dropped| *dropped >= count)
            .await
            .expect("server");
    }

    /// Waits until this many bytes of chunked request bodies have arrived.
    pub async fn wait_body(&self, count: usize) {
        let mut bytes = self.shared.body_bytes.subscribe();
        bytes
            .wait_for(|bytes| *bytes >= count)
            .await
            .expect("server");
    }

    pub async fn wait_open(&self, count: i64) {
        let mut open = self.shared.open.subscribe();
        open.wait_for(|open| *open == count).await.expect("server");
    }

    /// Most connections open at one time.
    pub fn most_open(&self) -> i64 {
        *self.shared.most_open.lock().expect("open")
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn serve(shared: Arc<Shared>, mut stream: TcpStream) {
    shared.open.send_modify(|open| {
        *open += 1;
        let mut most = shared.most_open.lock().expect("open");
        *most = (*most).max(*open);
    });
    let mut buffer = Vec::new();
    while serve_one(&shared, &mut stream, &mut buffer).await {}
    drop(stream);
    shared.open.send_modify(|open| *open -= 1);
}

/// Serves one request; returns `false` if the connection is to be closed.
async fn serve_one(shared: &Shared, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let Some(head) = read_until(stream, buffer, b"\r\n\r\n").await else {
        return false;
    };
    if head.starts_with("OPTIONS *") {
        let action = shared.clock_action.lock().expect("clock action").clone();
        return perform(shared, stream, action).await;
    }
    let mut request = ReceivedRequest {
        head,
        body: Vec::new(),
        ran: false,
    };
    let number = *shared.seen_count.borrow();
    let action = (shared.script)(number, &request);
    if matches!(action, ServerAction::ResetAfterHead) {
        record(shared, request);
        reset(stream);
        return false;
    }
    let complete = read_body(shared, stream, buffer, &mut request).await;
    if !complete {
        shared.dropped.send_modify(|count| *count += 1);
        return false;
    }
    request.ran = !matches!(action, ServerAction::Shed | ServerAction::ShedTwice(_));
    record(shared, request);
    perform(shared, stream, action).await
}

async fn perform(shared: &Shared, stream: &mut TcpStream, action: ServerAction) -> bool {
    match action {
        ServerAction::Reply(text) => stream.write_all(text.as_bytes()).await.is_ok(),
        ServerAction::ReplyAfter(time, text) => {
            tokio::time::sleep(time).await;
            stream.write_all(text.as_bytes()).await.is_ok()
        }
        ServerAction::ReplyThenClose(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            false
        }
        ServerAction::ReplyThenReset(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            reset(stream);
            false
        }
        ServerAction::ReplyWithoutEnd(start, part) => {
            let mut written = stream.write_all(start.as_bytes()).await;
            while written.is_ok() {
                written = stream.write_all(part.as_bytes()).await;
            }
            shared.dropped.send_modify(|count| *count += 1);
            false
        }
        ServerAction::Stall => {
            let _ = stream.read(&mut [0; 64]).await;
            shared.dropped.send_modify(|count| *count += 1);
            false
        }
        ServerAction::Shed => stream.write_all(SHED_REPLY).await.is_ok(),
        ServerAction::ShedTwice(gap) => {
            let written = stream.write_all(SHED_REPLY).await.is_ok();
            tokio::time::sleep(gap).await;
            written && stream.write_all(SHED_REPLY).await.is_ok()
        }
        ServerAction::ResetAfterHead => false,
    }
}

fn record(shared: &Shared, request: ReceivedRequest) {
    shared.seen.lock().expect("seen").push(request);
    shared.seen_count.send_modify(|count| *count += 1);
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("linger");
}

async fn read_body(
    shared: &Shared,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    request: &mut ReceivedRequest,
) -> bool {
    if request.header("transfer-encoding").is_some() {
        loop {
            let Some(line) = read_until(stream, buffer, b"\r\n").await else {
                return false;
            };
            let size = usize::from_str_radix(line.trim(), 16).expect("chunk size of the router");
            let Some(data) = read_exact(stream, buffer, size + 2).await else {
                return false;
            };
            request.body.extend_from_slice(&data[..size]);
            shared.body_bytes.send_modify(|bytes| *bytes += size);
            if size == 0 {
                return true;
            }
        }
    }
    let length = request
        .header("content-length")
        .map_or(0, |text| text.parse().expect("length"));
    match read_exact(stream, buffer, length).await {
        Some(data) => {
            request.body = data;
            true
        }
        None => false,
    }
}

async fn read_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: &[u8]) -> Option<String> {
    loop {
        if let Some(at) = find(buffer, end) {
            let rest = buffer.split_off(at + end.len());
            let text = std::mem::replace(buffer, rest);
            return Some(String::from_utf8_lossy(&text).into_owned());
        }
        fill(stream, buffer).await?;
    }
}

async fn read_exact(stream: &mut TcpStream, buffer: &mut Vec<u8>, size: usize) -> Option<Vec<u8>> {
    while buffer.len() < size {
        fill(stream, buffer).await?;
    }
    let rest = buffer.split_off(size);
    Some(std::mem::replace(buffer, rest))
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk).await {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            buffer.extend_from_slice(&chunk[..count]);
            Some(())
        }
    }
}
