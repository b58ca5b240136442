//! Pipelined requests: those that a caller sends before the one in front is answered.
//!
//! hyper hands over the requests of a connection one at a time and writes the responses in
//! order. To keep a request from waiting for the one in front of it, idempotent requests
//! without a body are started when their head arrives, and their responses are kept until
//! hyper reaches them. Other requests, and those behind them or behind a body, wait for their
//! turn.

use {
    crate::forward::ResponseBody,
    camphorcove_net::http::{PipelinedHead, ReadAhead},
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::task::JoinHandle,
};

/// Requests of one connection that are started early at the same time; it bounds the
/// responses that wait in memory.
const MAX_EARLY_CALLS: usize = 8;

/// Headers that one request may have, as in hyper.
const MAX_HEADERS: usize = 100;

/// Requests of one caller connection, in the order in which they arrive.
#[derive(Debug)]
pub struct RequestPipeline {
    inner: Mutex<PipelineInner>,
    read_ahead: Arc<ReadAhead>,
}

#[derive(Debug, Default)]
struct PipelineInner {
    /// Number of requests that hyper has handed over.
    begun: u64,
    /// Number of requests that have been answered.
    answered: u64,
    /// Whether later requests may run beside the one that hyper handed over last.
    parallel: bool,
    /// Calls for the requests right behind it.
    early_calls: VecDeque<EarlyCall>,
}

/// A request that was started before hyper handed it over; cancelled on drop.
#[derive(Debug)]
pub struct EarlyCall {
    id: Option<HeaderValue>,
    task: JoinHandle<Response<ResponseBody>>,
}

impl EarlyCall {
    /// Wraps the task that answers the request with this id.
    pub fn new(id: Option<HeaderValue>, task: JoinHandle<Response<ResponseBody>>) -> Self {
        Self { id, task }
    }

    /// Awaits the response; `None` if the task panicked.
    pub async fn response(mut self) -> Option<Response<ResponseBody>> {
        match (&mut self.task).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::error!(reason:% = error; "task of a pipelined request failed");
                None
            }
        }
    }
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RequestPipeline {
    /// Creates the pipeline of a connection that is read by `read_ahead`.
    pub fn new(read_ahead: Arc<ReadAhead>) -> Self {
        Self {
            inner: Mutex::default(),
            read_ahead,
        }
    }

    /// Records that hyper handed over the next request. Returns the call that was started for
    /// it, if there is one.
    ///
    /// Only hyper decides where a body ends, so that what follows one is not started early.
    pub fn begin(
        &self,
        method: &Method,
        has_body: bool,
        id: Option<&HeaderValue>,
    ) -> Option<EarlyCall> {
        let mut inner = self.lock();
        inner.begun += 1;
        inner.parallel = method.is_safe() && !has_body;
        let call = inner.early_calls.pop_front()?;
        if call.id.as_ref() == id {
            return Some(call);
        }
        // Not reached while the framing guard and hyper agree on the requests of a connection.
        log::error!("pipelined request differs from the one that was started for it");
        inner.early_calls.clear();
        inner.parallel = false;
        None
    }

    /// Records that the request that hyper handed over last has its response.
    pub fn end(&self) {
        let mut inner = self.lock();
        inner.answered = inner.begun;
    }

    /// Number of requests that have been answered.
    pub fn answered(&self) -> u64 {
        self.lock().answered
    }

    /// Whether no request behind the one that hyper handed over last has been started or read.
    pub fn is_drained(&self) -> bool {
        let inner = self.lock();
        inner.early_calls.is_empty() && self.read_ahead.head_count() <= inner.begun
    }

    /// Whether the request with this index may be started now: it is next, and those in front
    /// of it may run beside others.
    pub fn may_start(&self, index: u64) -> bool {
        let inner = self.lock();
        let early_calls = inner.early_calls.len();
        inner.answered < inner.begun
            && inner.parallel
            && early_calls < MAX_EARLY_CALLS
            && u64::try_from(early_calls).is_ok_and(|count| inner.begun + count == index)
    }

    /// Adds the call for the next request.
    pub fn push(&self, call: EarlyCall) {
        self.lock().early_calls.push_back(call);
    }

    fn lock(&self) -> MutexGuard<'_, PipelineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Parses the head of a request with a safe method and without a body; `None` for others and
/// for heads that hyper has to judge.
pub fn parse_bodyless(head: &PipelinedHead) -> Option<Request<()>> {
    if head.has_body {
        return None;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let complete = parsed.parse(&head.bytes).ok()?.is_complete();
    let method: Method = parsed.method?.parse().ok()?;
    if !complete || !method.is_safe() || parsed.version != Some(1) {
        return None;
    }
    let uri: Uri = parsed.path?.parse().ok()?;
    let mut map = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = map;
    Some(request)
}
