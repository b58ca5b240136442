//! Who sends the requests of a connection, and what that allows.

use camphorcove_core::time::BootTime;

/// Sender of the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another host that reaches no servers. Its requests are not handed on once more.
    Host,
}

/// What decides how a request is forwarded, besides its route.
#[derive(Clone, Copy, Debug)]
pub struct RequestTerms {
    /// Who sent the request.
    pub origin: RequestOrigin,
    /// Most attempts at servers that its sender allows.
    pub most_attempts: u32,
    /// When the request was read.
    pub started: BootTime,
}
