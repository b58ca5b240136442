//! Names of the HTTP headers between the router, callers and backend servers.
//!
//! The `SERVER_` headers are one adapter's choice; another deployment of backend
//! servers may need other names.

/// Caller to router: time the caller will wait, in milliseconds.
pub const CALLER_TIMEOUT: &str = "x-request-timeout-ms";

/// Caller to router, router to server: identifies a non-idempotent request.
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

/// Router to server: deadline in microseconds of the server's own clock.
pub const SERVER_DEADLINE: &str = "x-camphorcove-deadline";

/// Server to router: the server's clock in microseconds.
pub const SERVER_CLOCK: &str = "x-server-clock";

/// Server to router: `not-run` if the server did not run the request; else absent.
pub const SERVER_VERDICT: &str = "x-server-verdict";
