//! Numbered errors for failures of the configuration repository.

use camphorcove_net::{
    config::RepoError,
    operator::{ApiCode, ApiError},
};

/// Error of the operator API for a failure of the repository.
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
