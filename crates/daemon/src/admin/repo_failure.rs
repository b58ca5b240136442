//! Maps errors of the configuration repository to errors of the operator API.

use camphorcove_net::{
    config::RepoError,
    operator::{ApiCode, ApiError},
};

/// Converts an error of the repository to the error response of the operator API.
pub(super) fn repo_failure(error: RepoError) -> ApiError {
    let mut failure = ApiError::new(code_of(&error), error.to_string());
    match error {
        RepoError::Invalid { faults } => failure.faults = faults,
        RepoError::Forbidden { faults } => failure.rules = faults,
        RepoError::VersionMismatch { current, .. } => failure.current = Some(current),
        _ => {}
    }
    failure
}

fn code_of(error: &RepoError) -> ApiCode {
    match error {
        RepoError::Invalid { .. } => ApiCode::InvalidFile,
        RepoError::Forbidden { .. } => ApiCode::ForbiddenChange,
        RepoError::VersionMismatch { .. } => ApiCode::VersionMismatch,
        RepoError::Contended { .. } => ApiCode::Contended,
        RepoError::TooLarge { .. } => ApiCode::ValueTooLarge,
        RepoError::NotFound { .. } => ApiCode::NotFound,
        RepoError::PinClash { .. } => ApiCode::PinClash,
        RepoError::Damaged { .. } => ApiCode::Damaged,
        RepoError::Store { .. } => ApiCode::PlatformUnavailable,
        RepoError::OutcomeUnknown { .. } => ApiCode::OutcomeUnknown,
    }
}
