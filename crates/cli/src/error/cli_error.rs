//! Why a command failed.

use {
    super::ExitStatus,
    camphorcove_core::conf::Fault,
    camphorcove_net::operator::{ApiCode, ApiError, ClientError},
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    /// A file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    ReadFile {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The configuration file has faults.
    #[snafu(display("the file has {} faults", faults.len()))]
    FileFaults {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The client's settings are wrong.
    #[snafu(display("{what}"))]
    Settings {
        /// What is wrong and what is allowed.
        what: String,
    },
    /// The request failed.
    #[snafu(transparent)]
    Client {
        /// Cause.
        source: ClientError,
    },
    /// The platform cannot be read, so the version in force is not known.
    #[snafu(display(
        "the host cannot read the version in force from the platform; nothing changed"
    ))]
    NoPlatform,
    /// An audit stream has faults.
    #[snafu(display("the audit trail has {count} faults"))]
    AuditFaults {
        /// Number of faults.
        count: usize,
    },
    /// The version is not in force everywhere.
    #[snafu(display("version {version} is accepted but not yet in force on: {}", missing.join(", ")))]
    NotInForce {
        /// Version.
        version: u64,
        /// Hosts without it.
        missing: Vec<String>,
    },
    /// An answer cannot be read.
    #[snafu(display("unreadable answer: {source}"))]
    Answer {
        /// Cause.
        source: serde_json::Error,
    },
    /// Writing the output failed.
    #[snafu(display("cannot write: {source}"), context(false))]
    Output {
        /// Cause.
        source: io::Error,
    },
}

impl CliError {
    /// Exit code of the program.
    pub fn exit_code(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. } | Self::FileFaults { .. } | Self::Settings { .. } => {
                ExitStatus::WrongInput
            }
            Self::Client { source } => client_status(source),
            Self::NoPlatform => ExitStatus::Unavailable,
            Self::AuditFaults { .. } => ExitStatus::AuditFault,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
            Self::Answer { .. } | Self::Output { .. } => ExitStatus::Failure,
        }
    }

    /// Writes the error to stderr, one line a fault.
    pub fn report(&self, json: bool) {
        if json {
            eprintln!("{}", self.json());
            return;
        }
        let faults = self.faults();
        let rules = self.api_error().map_or(&[][..], |error| &error.rules);
        for fault in faults {
            eprintln!("{fault}");
        }
        for rule in rules {
            eprintln!("{rule}");
        }
        if faults.is_empty() && rules.is_empty() {
            eprintln!("camphorcove: {self}");
        }
    }

    fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "exit": self.exit_code().number(),
            "code": self.api_error().map(|error| error.code),
            "error": self.to_string(),
            "faults": self.faults(),
            "rules": self.api_error().map_or(&[][..], |error| &error.rules),
        })
    }

    fn faults(&self) -> &[Fault] {
        match self {
            Self::FileFaults { faults } => faults,
            _ => self.api_error().map_or(&[], |error| &error.faults),
        }
    }

    fn api_error(&self) -> Option<&ApiError> {
        match self {
            Self::Client {
                source: ClientError::Refused { error, .. },
            } => Some(error),
            _ => None,
        }
    }
}

fn client_status(error: &ClientError) -> ExitStatus {
    match error {
        ClientError::Unreachable { .. } => ExitStatus::Unavailable,
        ClientError::Unanswered { .. } => ExitStatus::OutcomeUnknown,
        ClientError::Refused {
            error, repeated, ..
        } => {
            let code = ApiCode::of_number(error.code);
            code.map_or(ExitStatus::Failure, |code| code_status(code, *repeated))
        }
    }
}

/// Exit code of a result code. After an unanswered attempt, another version in
/// force may be the request's own effect, so the outcome is unknown.
fn code_status(code: ApiCode, repeated: bool) -> ExitStatus {
    match code {
        ApiCode::VersionMismatch | ApiCode::Contended if repeated => ExitStatus::OutcomeUnknown,
        ApiCode::Malformed
        | ApiCode::BodyTooLarge
        | ApiCode::InvalidFile
        | ApiCode::ForbiddenChange
        | ApiCode::ValueTooLarge => ExitStatus::WrongInput,
        ApiCode::VersionMismatch
        | ApiCode::Contended
        | ApiCode::PinClash
        | ApiCode::WrongHost
        | ApiCode::LossRefused => ExitStatus::Refused,
        ApiCode::Unsigned
        | ApiCode::UnknownKey
        | ApiCode::WrongSignature
        | ApiCode::StaleTime
        | ApiCode::ReplayedNonce
        | ApiCode::WrongBody => ExitStatus::NotAccepted,
        ApiCode::TooMany | ApiCode::PlatformUnavailable => ExitStatus::Unavailable,
        ApiCode::OutcomeUnknown => ExitStatus::OutcomeUnknown,
        ApiCode::NotFound | ApiCode::NoConfiguration => ExitStatus::NotFound,
        ApiCode::NoSuchPath | ApiCode::WrongMethod | ApiCode::Damaged => ExitStatus::Failure,
    }
}
