//! Exit codes; docs/exit-codes.md describes them.

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Unexpected failure.
    Failure,
    /// Invalid options, settings or file.
    WrongInput,
    /// Refused because it conflicts with the state in force.
    Refused,
    /// Key, signature or time not accepted.
    NotAccepted,
    /// No host or no platform available; nothing changed.
    Unavailable,
    /// The change may have taken effect.
    OutcomeUnknown,
    /// Service, server, key, version or stream not found.
    NotFound,
    /// Audit verification found faults.
    AuditFault,
    /// Accepted, but not in force on every host within the wait limit.
    NotInForce,
}

impl ExitStatus {
    /// Exit code of the process.
    pub fn number(self) -> u8 {
        match self {
            Self::Failure => 1,
            Self::WrongInput => 2,
            Self::Refused => 3,
            Self::NotAccepted => 4,
            Self::Unavailable => 5,
            Self::OutcomeUnknown => 6,
            Self::NotFound => 7,
            Self::AuditFault => 8,
            Self::NotInForce => 9,
        }
    }
}
