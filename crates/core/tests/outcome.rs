//! Result codes: the published table must match the code, and numbers must be safe to rely on.

use {
    camphorcove_core::outcome::{Execution, ResultCode},
    std::collections::HashSet,
};

const TABLE: &str = include_str!("../../../docs/result-codes.md");

fn row(code: ResultCode) -> String {
    let retry = code
        .retry_after()
        .map_or("-".into(), |seconds| format!("{seconds} s"));
    format!(
        "| {} | {code:?} | {} | {} | {retry} | {} |",
        code.number(),
        code.execution(),
        code.status(),
        code.meaning()
    )
}

#[test]
fn the_page_lists_exactly_the_codes_of_the_program() {
    let expected: Vec<String> = ResultCode::ALL.iter().copied().map(row).collect();

    let listed: Vec<&str> = TABLE
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect();

    assert_eq!(listed, expected);
}

#[test]
fn numbers_are_unique_and_lead_back_to_their_code() {
    let numbers: HashSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}

/// Callers may read from the hundreds digit alone whether a request ran.
#[test]
fn the_hundreds_state_the_execution() {
    for code in ResultCode::ALL {
        let expected = match code.number() / 100 {
            1 => Execution::NotRun,
            2 => Execution::Ran,
            _ => Execution::MayHaveRun,
        };
        assert_eq!(code.execution(), expected, "{code:?}");
    }
}

/// A caller that follows `Retry-After` must never run a request twice.
#[test]
fn only_requests_that_did_not_run_are_told_to_retry() {
    for code in ResultCode::ALL {
        let told = code.retry_after().is_some();
        assert!(!told || code.execution() == Execution::NotRun, "{code:?}");
    }
}
