//! Errors of requests to targets, by whether the request may have run.

use filbertpaddle_core::name::Name;
use filbertpaddle_http::client as http_client;
use thiserror::Error;

use crate::protocol::RefusalCause;

/// Failure of a request to a target.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The request provably had no effect.
    #[error("request not run by the target: {0}")]
    NotStarted(NotStarted),
    /// The target may have run the request.
    #[error("request may have run at the target: {0}")]
    Unknown(UnknownOutcome),
}

/// Reason why a request provably had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotStarted {
    /// Connecting failed, so the request was not sent.
    #[error("cannot connect: {0}")]
    Unreachable(String),
    /// The request cannot be built.
    #[error("cannot build request: {0}")]
    Invalid(String),
    /// The target refused the request.
    #[error("refused: {0:?}")]
    Refused(RefusalCause),
}

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnknownOutcome {
    /// The connection was lost after the request may have been sent.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The target did not answer, or sent no part of a stream, within the time limit.
    #[error("timed out waiting for the target")]
    Timeout,
    /// The target answered with an unexpected status.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer could not be decoded.
    #[error("cannot decode the answer: {0}")]
    Malformed(String),
    /// The answer belongs to another attempt or order and was discarded.
    #[error("answer belongs to another attempt or order, `{0}`")]
    OtherAttempt(Name),
    /// The attempt ID was used before with another body.
    #[error("attempt ID already used with another body")]
    AttemptIdReused,
    /// Tokens are missing from the stream.
    #[error("tokens missing from the stream: expected index {expected}, got {got}")]
    MissingTokens {
        /// Expected index of the next token.
        expected: u32,
        /// Index of the token that arrived.
        got: u32,
    },
}

impl Error {
    /// Returns whether the request provably had no effect.
    pub const fn is_not_started(&self) -> bool {
        matches!(self, Self::NotStarted(_))
    }
}

impl From<RefusalCause> for Error {
    fn from(cause: RefusalCause) -> Self {
        match cause {
            RefusalCause::DuplicateAttempt => Self::Unknown(UnknownOutcome::AttemptIdReused),
            cause => Self::NotStarted(NotStarted::Refused(cause)),
        }
    }
}

impl From<NotStarted> for Error {
    fn from(reason: NotStarted) -> Self {
        Self::NotStarted(reason)
    }
}

impl From<http_client::Error> for Error {
    fn from(error: http_client::Error) -> Self {
        match error {
            http_client::Error::Invalid(reason) => NotStarted::Invalid(reason).into(),
            // A request is sent only after its connection is established.
            http_client::Error::Connect(reason) => NotStarted::Unreachable(reason).into(),
            http_client::Error::Lost(reason) => {
                Self::Unknown(UnknownOutcome::ConnectionLost(reason))
            }
            http_client::Error::TooLarge(_) => {
                Self::Unknown(UnknownOutcome::Malformed(error.to_string()))
            }
        }
    }
}
