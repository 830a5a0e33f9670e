//! What can go wrong between a node and a target.

use filbertpaddle_core::name::Name;
use thiserror::Error;

use crate::protocol::RefusalCause;

/// Why a target did not do as asked.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The target has done nothing for this request.
    #[error("not started: {0}")]
    NotStarted(NotStarted),
    /// The target may have started the work.
    #[error("outcome unknown: {0}")]
    Unknown(UnknownOutcome),
}

/// Proof that a target has done nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotStarted {
    /// No connection came about, so nothing was sent.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The target said that it refused the work.
    #[error("refused: {0:?}")]
    Refused(RefusalCause),
}

/// Why nobody can tell what a target has done.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnknownOutcome {
    /// The connection failed after the request may have been sent.
    #[error("connection failed: {0}")]
    ConnectionLost(String),
    /// The target did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The target answered with an unexpected status.
    #[error("status {0}")]
    Status(u16),
    /// The answer could not be decoded.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The answer belongs to another attempt and was dropped.
    #[error("answer of attempt {0}")]
    OtherAttempt(Name),
    /// The attempt id was used before with another body.
    #[error("the attempt is known with another body")]
    AttemptIdReused,
    /// Tokens are missing from the stream.
    #[error("expected token {expected}, got {got}")]
    MissingTokens {
        /// Index of the next token.
        expected: u32,
        /// Index that arrived.
        got: u32,
    },
}

impl Error {
    /// Returns whether the target provably did nothing.
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

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        // A request is written only once its connection stands.
        if error.is_connect() {
            return Self::NotStarted(NotStarted::Unreachable(describe(&error)));
        }
        if error.is_timeout() {
            return Self::Unknown(UnknownOutcome::Timeout);
        }
        if error.is_decode() {
            return Self::Unknown(UnknownOutcome::Malformed(describe(&error)));
        }
        Self::Unknown(UnknownOutcome::ConnectionLost(describe(&error)))
    }
}

/// Describes an error with its causes; the outermost text alone says little.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
