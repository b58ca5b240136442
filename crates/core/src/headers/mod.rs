//! Names of the HTTP headers that the router exchanges with callers and backend servers.
//!
//! The `SERVER_` names belong to one adapter for backend servers; other backend
//! servers may need other names.

/// Caller to router: time for which the caller will wait, in milliseconds.
pub const CALLER_TIMEOUT: &str = "x-request-timeout-ms";

/// Caller to router and router to server: identifies a non-idempotent request, so that a repeat is
/// recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Both ways: correlates log lines of one request.
pub const REQUEST_ID: &str = "x-request-id";

/// Router to caller: numbered result code.
pub const RESULT_CODE: &str = "x-camphorcove-result";

/// Router to caller: `not-run`, `ran` or `may-have-run`.
pub const EXECUTION: &str = "x-camphorcove-execution";

/// Router to server: service name.
pub const SERVER_SERVICE: &str = "x-camphorcove-service";

/// Router to server: shard number.
pub const SERVER_SHARD: &str = "x-camphorcove-shard";

/// Router to server: fencing token, `EPOCH.SEQUENCE`.
pub const SERVER_TOKEN: &str = "x-camphorcove-token";

/// Router to server: deadline as a reading of the server's own clock, in microseconds.
pub const SERVER_DEADLINE: &str = "x-camphorcove-deadline";

/// Server to router: reading of the server's clock, in microseconds.
pub const SERVER_CLOCK: &str = "x-server-clock";

/// Server to router: `not-run` if the server did not run the request, otherwise absent.
pub const SERVER_VERDICT: &str = "x-server-verdict";
