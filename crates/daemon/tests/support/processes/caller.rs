//! Client that sends requests as a caller.

use {
    bytes::Bytes,
    camphorcove_core::headers::{CALLER_TIMEOUT, EXECUTION, RESULT_CODE},
    camphorcove_net::http::{ExchangeError, HttpClient},
    http::Request,
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of one request; longer than any deadline of the router.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Response to a request with the headers that the router adds.
#[derive(Clone, Debug)]
pub struct CallResult {
    pub status: u16,
    pub code: Option<u16>,
    pub execution: Option<String>,
    pub body: Bytes,
}

impl CallResult {
    pub fn answered(&self) -> bool {
        self.code == Some(200) && self.status == 200
    }
}

/// Caller that keeps its connections open between requests.
#[derive(Clone, Debug, Default)]
pub struct CallerClient {
    client: HttpClient,
    /// Timeout that the caller states in its requests; `None` states none.
    pub timeout_ms: Option<u32>,
}

impl CallerClient {
    /// Sends a GET request without a request id.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<CallResult, ExchangeError> {
        self.send(address, "GET", path, None).await
    }

    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        id: Option<&str>,
    ) -> Result<CallResult, ExchangeError> {
        let mut builder = Request::builder().method(method).uri(path);
        if let Some(id) = id {
            builder = builder.header("x-request-id", id);
        }
        if let Some(timeout) = self.timeout_ms {
            builder = builder.header(CALLER_TIMEOUT, timeout);
        }
        let request = builder.body(Full::new(Bytes::new())).expect("request");
        let reply = self.client.exchange(address, request, CALL_TIMEOUT).await?;
        let text = |name: &str| {
            let value = reply.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Ok(CallResult {
            status: reply.status().as_u16(),
            code: text(RESULT_CODE).and_then(|code| code.parse().ok()),
            execution: text(EXECUTION),
            body: reply.into_body(),
        })
    }
}
