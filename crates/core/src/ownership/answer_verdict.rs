//! What an answer to an order tells, as answers to orders name no order.
//!
//! A server in trouble may write an answer once more, late, or another one behind a complete answer, where
//! the next one is expected; from then on, each answer on the connection may be that to an earlier order. Only
//! the first answer on a connection is certain to be that to its order. A later one that says that the
//! server has ended, or that this leader has been replaced, is confirmed on a new connection. A later
//! success of a grant needs no confirmation: its lease is awaited in any case.

use super::OrderFailure;

/// What to make of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// It is the result of the order.
    Counts,
    /// It may belong to another order, which matters little: the order counts as not answered.
    Unknown,
    /// It may belong to another order: the order is sent again on a new connection.
    AskAgain,
}

impl AnswerVerdict {
    /// Judges an answer by the failure that it reports, if any; `is_first` tells that it is the first one on
    /// its connection.
    pub fn of(failure: Option<OrderFailure>, is_first: bool) -> Self {
        match failure {
            Some(_) if is_first => Self::Counts,
            Some(OrderFailure::OtherServer | OrderFailure::Superseded) => Self::AskAgain,
            Some(OrderFailure::Rejected) => Self::Unknown,
            None | Some(OrderFailure::NotSent | OrderFailure::Unanswered) => Self::Counts,
        }
    }

    /// Result of an order that was sent again: the server may have carried it out the first time, unless the
    /// second answer shows that it cannot.
    pub fn after_repetition<T>(repeated: Result<T, OrderFailure>) -> Result<T, OrderFailure> {
        repeated.map_err(|failure| match failure {
            OrderFailure::OtherServer | OrderFailure::Superseded => failure,
            OrderFailure::NotSent | OrderFailure::Unanswered | OrderFailure::Rejected => {
                OrderFailure::Unanswered
            }
        })
    }
}
