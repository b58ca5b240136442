//! Errors of commands and their exit codes.

use {
    super::ExitStatus,
    camphorcove_core::conf::Fault,
    camphorcove_net::operator::{ApiCode, ApiError, ClientError},
    camphorcove_platform::StoreError,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The configuration file is invalid.
    #[snafu(display("the configuration file has {} faults", faults.len()))]
    InvalidConfig {
        /// All validation errors, each with its line.
        faults: Vec<Fault>,
    },
    /// The client's settings, the key file or an exported audit file is invalid.
    #[snafu(display("{problem}"))]
    InvalidInput {
        /// What is wrong, where, and what is allowed.
        problem: String,
    },
    /// The request to the operator API failed or was refused.
    #[snafu(transparent)]
    Client {
        /// Underlying error.
        source: ClientError,
    },
    /// The host cannot reach the platform, so the version in force is unknown.
    #[snafu(display(
        "the host cannot read the version in force from the platform; nothing changed"
    ))]
    CurrentVersionUnknown,
    /// Audit verification found faults.
    #[snafu(display("audit verification found {count} faults"))]
    AuditFaults {
        /// Number of faults in all verified streams.
        count: usize,
    },
    /// The wait limit passed before the version was in force on every host.
    #[snafu(display("version {version} is accepted but not yet in force on: {}", missing.join(", ")))]
    NotInForce {
        /// Version that was accepted.
        version: u64,
        /// Hosts that do not use it yet.
        missing: Vec<String>,
    },
    /// The platform's store cannot be read.
    #[snafu(display("cannot read the version in force: {source}"))]
    Store {
        /// Underlying error.
        source: StoreError,
    },
    /// A response cannot be parsed, or a request cannot be serialized.
    #[snafu(display("invalid JSON in a request or response: {source}"))]
    Json {
        /// Underlying error.
        source: serde_json::Error,
    },
    /// Writing the output or starting the async runtime failed.
    #[snafu(display("I/O error: {source}"), context(false))]
    Io {
        /// Underlying error.
        source: io::Error,
    },
}

impl CliError {
    /// Exit code that reports this error.
    pub fn exit_code(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. } | Self::InvalidConfig { .. } | Self::InvalidInput { .. } => {
                ExitStatus::WrongInput
            }
            Self::Client { source } => client_exit_status(source),
            Self::Store {
                source: StoreError::Missing { .. },
            } => ExitStatus::NotFound,
            Self::Store {
                source: StoreError::Unreadable { .. },
            } => ExitStatus::Failure,
            Self::CurrentVersionUnknown | Self::Store { .. } => ExitStatus::Unavailable,
            Self::AuditFaults { .. } => ExitStatus::AuditFault,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
            Self::Json { .. } | Self::Io { .. } => ExitStatus::Failure,
        }
    }

    /// Whether a host refused the request because of the object that it names, so that others may succeed.
    pub fn concerns_one_object(&self) -> bool {
        let codes = [ApiCode::Damaged, ApiCode::NotFound].map(ApiCode::number);
        self.api_error()
            .is_some_and(|error| codes.contains(&error.code))
    }

    /// Writes the error to stderr: as JSON, or as text with one line per problem.
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
            Self::InvalidConfig { faults } => faults,
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

fn client_exit_status(error: &ClientError) -> ExitStatus {
    match error {
        ClientError::Unreachable { .. } => ExitStatus::Unavailable,
        ClientError::Unanswered { .. } => ExitStatus::OutcomeUnknown,
        ClientError::Refused {
            error, repeated, ..
        } => {
            let code = ApiCode::of_number(error.code);
            code.map_or(ExitStatus::Failure, |code| api_exit_status(code, *repeated))
        }
    }
}

/// Exit code for a result code of the operator API. If an earlier attempt was not
/// answered (`repeated`), a version conflict may be that attempt's own effect, so
/// the outcome is unknown.
fn api_exit_status(code: ApiCode, repeated: bool) -> ExitStatus {
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
