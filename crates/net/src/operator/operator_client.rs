//! Client of the operator API.

use {
    super::{ApiCode, ApiError, OperatorKey, RequestLine, SignedHead},
    crate::{
        clock::wall_millis,
        http::{ExchangeError, HttpClient},
        peer::random_nonce,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// Longest time for one attempt. A host may take several platform calls of 1 s
/// each to settle a change whose answer was lost.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorRequest {
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path with query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ClientError {
    /// No host could be reached; nothing was sent.
    #[snafu(display("no host can be reached; nothing was sent: {}", attempts.join("; ")))]
    Unreachable {
        /// One text an address.
        attempts: Vec<String>,
    },
    /// A host received the request, but no answer is known.
    #[snafu(display(
        "no answer; the request may have been carried out, and repeating it is safe: {}",
        attempts.join("; ")
    ))]
    Unanswered {
        /// One text an address.
        attempts: Vec<String>,
    },
    /// A host refused the request.
    #[snafu(display("{} (code {}, from {address})", error.error, error.code))]
    Refused {
        /// Answering host.
        address: SocketAddr,
        /// Answer.
        error: Box<ApiError>,
        /// True if an earlier attempt went unanswered, so that this answer may be
        /// about a state that the request itself produced.
        repeated: bool,
    },
}

/// Sends signed requests to the first host that answers.
///
/// Every request of the operator API may be repeated: reads change nothing,
/// changes name the version they are made on, and the other ones set a state.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    key: OperatorKey,
    http: HttpClient,
}

enum Attempt {
    Answered(Bytes),
    Refused(Box<ApiError>),
    NotSent(String),
    Unanswered(String),
}

impl OperatorClient {
    /// Client that tries the addresses in order.
    pub fn new(addresses: Vec<SocketAddr>, key: OperatorKey) -> Self {
        Self {
            addresses,
            key,
            http: HttpClient::default(),
        }
    }

    /// Sends a request and returns the body of a successful answer.
    pub async fn call(&self, request: &OperatorRequest) -> Result<Bytes, ClientError> {
        let mut attempts = Vec::new();
        let mut repeated = false;
        let (mut unsure, mut refused) = (None, None);
        for address in &self.addresses {
            match self.attempt(*address, request).await {
                Attempt::Answered(body) => return Ok(body),
                Attempt::Refused(error) => {
                    let code = error.code;
                    let refusal = ClientError::Refused {
                        address: *address,
                        error,
                        repeated,
                    };
                    if code == ApiCode::OutcomeUnknown.number() {
                        repeated = true;
                        unsure = Some(refusal);
                    } else if is_host_failure(code) {
                        refused = Some(refusal);
                    } else {
                        return Err(refusal);
                    }
                }
                Attempt::NotSent(reason) => attempts.push(format!("{address}: {reason}")),
                Attempt::Unanswered(reason) => {
                    attempts.push(format!("{address}: {reason}"));
                    repeated = true;
                }
            }
        }
        match unsure {
            Some(unsure) => Err(unsure),
            None if repeated => UnansweredSnafu { attempts }.fail(),
            None => Err(refused.unwrap_or(ClientError::Unreachable { attempts })),
        }
    }

    async fn attempt(&self, address: SocketAddr, request: &OperatorRequest) -> Attempt {
        let signed = match self.sign(request) {
            Ok(signed) => signed,
            Err(reason) => return Attempt::NotSent(reason),
        };
        let exchanged = self.http.exchange(address, signed, ATTEMPT_TIMEOUT).await;
        match exchanged {
            Ok(response) if response.status().is_success() => {
                Attempt::Answered(response.into_body())
            }
            Ok(response) => match serde_json::from_slice::<ApiError>(response.body()) {
                Ok(error) => Attempt::Refused(Box::new(error)),
                Err(_) => Attempt::Unanswered(describe(&response)),
            },
            Err(error @ ExchangeError::NotSent { .. }) => Attempt::NotSent(error.to_string()),
            Err(error @ ExchangeError::NoReply { .. }) => Attempt::Unanswered(error.to_string()),
        }
    }

    /// Each attempt has a nonce of its own.
    fn sign(&self, request: &OperatorRequest) -> Result<Request<Full<Bytes>>, String> {
        let line = RequestLine {
            method: request.method,
            target: &request.target,
        };
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&random_nonce().to_le_bytes());
        nonce[8..].copy_from_slice(&random_nonce().to_le_bytes());
        let head = SignedHead::sign(&self.key, line, &request.body, wall_millis(), nonce);
        let mut builder = Request::builder()
            .method(request.method)
            .uri(&request.target);
        for (name, value) in head.headers() {
            builder = builder.header(name, value);
        }
        let signed = builder.body(Full::new(request.body.clone()));
        signed.map_err(|error| error.to_string())
    }
}

/// Another host may succeed where this one failed.
fn is_host_failure(code: u16) -> bool {
    let codes = [
        ApiCode::PlatformUnavailable,
        ApiCode::NoConfiguration,
        ApiCode::TooMany,
    ];
    codes.iter().any(|known| known.number() == code)
}

fn describe(response: &Response<Bytes>) -> String {
    format!("status {} without a result code", response.status())
}
