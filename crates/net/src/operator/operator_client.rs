//! Client of the operator API.

use {
    super::{ApiCode, ApiError, OperatorKey, RequestLine, RequestSignature},
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

/// Timeout of one attempt. A host may need several platform calls of 1 s each to
/// find out whether a write whose response was lost took effect.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorRequest {
    /// HTTP method, `GET` or `POST`.
    pub method: &'static str,
    /// Path with query, as in the request line.
    pub target: String,
    /// Request body, covered by the signature.
    pub body: Bytes,
}

/// Error of [`OperatorClient::call`].
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ClientError {
    /// No host could be reached, so the request was not sent.
    #[snafu(display("no host can be reached; nothing was sent: {}", attempts.join("; ")))]
    Unreachable {
        /// Error text of each address.
        attempts: Vec<String>,
    },
    /// The request was sent to a host, but no valid response arrived.
    #[snafu(display(
        "no response; the request may have been carried out, and repeating it is safe: {}",
        attempts.join("; ")
    ))]
    Unanswered {
        /// Error text of each address.
        attempts: Vec<String>,
    },
    /// A host refused the request.
    #[snafu(display("{} (code {}, from {address})", error.error, error.code))]
    Refused {
        /// Address of the host that refused.
        address: SocketAddr,
        /// Error in the response.
        error: Box<ApiError>,
        /// True if an earlier attempt got no response and may have been carried out,
        /// so that this refusal may be a consequence of the request itself.
        repeated: bool,
    },
}

/// Sends signed requests to a list of hosts in order until one of them gives a final
/// response.
///
/// Sending a request again to the next host is safe, because every request of
/// the operator API may be repeated: reads change nothing, configuration changes name
/// the version they apply to, and the remaining requests are idempotent.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    key: OperatorKey,
    http: HttpClient,
}

/// Outcome of sending a request to one host.
enum Attempt {
    Answered(Bytes),
    Refused(Box<ApiError>),
    NotSent(String),
    Unanswered(String),
}

impl OperatorClient {
    /// Creates a client that tries the addresses in order.
    pub fn new(addresses: Vec<SocketAddr>, key: OperatorKey) -> Self {
        Self {
            addresses,
            key,
            http: HttpClient::default(),
        }
    }

    /// Sends a request and returns the body of the successful response.
    pub async fn call(&self, request: &OperatorRequest) -> Result<Bytes, ClientError> {
        let mut attempts = Vec::new();
        let mut repeated = false;
        let (mut unknown_outcome, mut host_refusal) = (None, None);
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
                        unknown_outcome = Some(refusal);
                    } else if is_host_failure(code) {
                        host_refusal = Some(refusal);
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
        match unknown_outcome {
            Some(unknown_outcome) => Err(unknown_outcome),
            None if repeated => UnansweredSnafu { attempts }.fail(),
            None => Err(host_refusal.unwrap_or(ClientError::Unreachable { attempts })),
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
                Err(_) => Attempt::Unanswered(describe_unexpected(&response)),
            },
            Err(error @ ExchangeError::NotSent { .. }) => Attempt::NotSent(error.to_string()),
            Err(error @ ExchangeError::NoReply { .. }) => Attempt::Unanswered(error.to_string()),
        }
    }

    /// Signs the request with a new nonce, so that the hosts do not take a further
    /// attempt for a replay.
    fn sign(&self, request: &OperatorRequest) -> Result<Request<Full<Bytes>>, String> {
        let line = RequestLine {
            method: request.method,
            target: &request.target,
        };
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&random_nonce().to_le_bytes());
        nonce[8..].copy_from_slice(&random_nonce().to_le_bytes());
        let signature =
            RequestSignature::sign(&self.key, line, &request.body, wall_millis(), nonce);
        let mut builder = Request::builder()
            .method(request.method)
            .uri(&request.target);
        for (name, value) in signature.headers() {
            builder = builder.header(name, value);
        }
        let signed = builder.body(Full::new(request.body.clone()));
        signed.map_err(|error| error.to_string())
    }
}

/// Whether the result code describes a problem of the responding host, so that
/// another host may succeed.
fn is_host_failure(code: u16) -> bool {
    let codes = [
        ApiCode::PlatformUnavailable,
        ApiCode::NoConfiguration,
        ApiCode::TooMany,
    ];
    codes.iter().any(|known| known.number() == code)
}

/// Describes a response without a readable error body.
fn describe_unexpected(response: &Response<Bytes>) -> String {
    format!("status {} without a result code", response.status())
}
