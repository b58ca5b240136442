//! Whether a request ran.

use std::{fmt, str::FromStr};

/// What the router knows about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// Proved not to have run.
    NotRun,
    /// Ran: the server began its reply.
    Ran,
    /// Sent towards the server, and nothing proves whether it ran.
    MayHaveRun,
}

impl Execution {
    /// Text of the [`EXECUTION`](crate::headers::EXECUTION) header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Execution {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err(()),
        }
    }
}
