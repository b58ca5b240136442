//! The list of result codes.

use {super::Execution, std::fmt};

/// Declares the codes with their number, execution, HTTP status and `Retry-After` seconds.
macro_rules! result_codes {
    ($($name:ident = $number:literal, $execution:ident, $status:literal, $retry:expr, $meaning:literal;)+) => {
        /// Result of a request; the numbers never change their meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $(#[doc = $meaning] $name,)+
        }

        impl ResultCode {
            /// All codes, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Number under which the code is published.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Code with this number, if there is one.
            pub const fn from_number(number: u16) -> Option<Self> {
                match number { $($number => Some(Self::$name),)+ _ => None }
            }

            /// Whether the request ran.
            pub const fn execution(self) -> Execution {
                match self { $(Self::$name => Execution::$execution,)+ }
            }

            /// HTTP status of the router's own answer.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Seconds in `Retry-After`; `None` if a retry would not help or is not safe.
            pub const fn retry_after(self) -> Option<u32> {
                match self { $(Self::$name => $retry,)+ }
            }

            /// Meaning in one sentence, for operators and callers.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)+ }
            }
        }
    };
}

result_codes! {
    NoService = 101, NotRun, 404, None, "No service answers to this host and path.";
    BadRequest = 102, NotRun, 400, None, "The request is malformed or ambiguous.";
    HeadTooLarge = 103, NotRun, 431, None, "The header block is over the limit.";
    BodyTooLarge = 104, NotRun, 413, None, "The declared body length is over the limit.";
    NoMap = 105, NotRun, 503, Some(1), "No valid routing map is held.";
    NoOwner = 106, NotRun, 503, Some(1), "No server can take the request now.";
    ShardMoving = 107, NotRun, 503, Some(1), "The shard was still moving at the deadline.";
    NoForwarder = 108, NotRun, 503, Some(1), "The server has no forwarder now.";
    QueueFull = 109, NotRun, 503, Some(1), "The server's queue is full.";
    DeadlineTooShort = 110, NotRun, 503, Some(1), "The deadline cannot be met.";
    ServerUnreachable = 111, NotRun, 502, Some(1), "No connection to the server; nothing was sent.";
    ServerShed = 112, NotRun, 503, Some(1), "The server refused the request without running it.";
    StaleRoute = 113, NotRun, 503, Some(1), "The forwarder holds another route for the request.";
    PeerUnreachable = 114, NotRun, 502, Some(1), "No connection to the forwarder; nothing was sent.";
    Stopping = 115, NotRun, 503, Some(1), "The router is shutting down.";
    ClockUnknown = 116, NotRun, 503, Some(1), "The server's clock is not known, so no deadline can be given.";
    DedupFull = 117, NotRun, 503, Some(1), "The deduplication window is full.";
    PeerRefused = 118, NotRun, 502, None, "The forwarder could not verify the envelope.";
    VersionUnsupported = 119, NotRun, 505, None, "HTTP/1.0 cannot signal an aborted response.";
    Answered = 200, Ran, 200, None, "The server answered; the status is the server's.";
    ReplyCut = 201, Ran, 502, None, "The server's reply broke off; the response was aborted.";
    RepeatOfRan = 202, Ran, 409, None, "An earlier request with this idempotency key ran.";
    ReplyLost = 301, MayHaveRun, 502, None, "The connection broke after the request was sent.";
    DeadlinePassed = 302, MayHaveRun, 504, None, "The server did not answer by the deadline.";
    ReplyInvalid = 303, MayHaveRun, 502, None, "The server's reply is malformed or its end cannot be proved.";
    PeerLost = 304, MayHaveRun, 502, None, "The forwarder was lost after the request was sent.";
    HomeChanged = 305, MayHaveRun, 409, None, "The idempotency key cannot be proved new, because its home host changed.";
    RepeatOfRunning = 306, MayHaveRun, 409, None, "An earlier request with this idempotency key is in progress.";
    RepeatOfUnknown = 307, MayHaveRun, 409, None, "An earlier request with this idempotency key may have run.";
    BodyOverLimit = 308, MayHaveRun, 413, None, "The body exceeded the limit while it was being sent.";
    BodyBroken = 309, MayHaveRun, 400, None, "The caller's body broke off or stalled while it was being sent.";
}

impl ResultCode {
    /// Whether the code counts as a failure of the server or its forwarder.
    pub const fn is_server_failure(self) -> bool {
        matches!(
            self,
            Self::ServerUnreachable
                | Self::PeerUnreachable
                | Self::ReplyCut
                | Self::ReplyLost
                | Self::DeadlinePassed
                | Self::ReplyInvalid
                | Self::PeerLost
        )
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.number(), self.execution())
    }
}
