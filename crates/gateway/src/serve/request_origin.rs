//! Who sends the requests of a connection.

/// Sender of the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another host that reaches no servers. Its requests are not handed on once more.
    Host,
}
