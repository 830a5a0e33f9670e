//! What is known after a failed request to the platform.

/// Why a request to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was done: the platform refused the request or never received it.
    #[error("platform did nothing: {0}")]
    NotDone(NotDone),
    /// The request may have taken effect.
    #[error("effect at the platform is unknown: {0}")]
    Unknown(String),
}

/// Why a request to the platform had no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotDone {
    /// The rate limit was hit.
    #[error("rate limit")]
    RateLimited,
    /// The service says that it is down.
    #[error("service down")]
    Unavailable,
    /// No connection could be made.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The client is misconfigured or the body could not be encoded.
    #[error("cannot build request: {0}")]
    Invalid(String),
}

impl Error {
    /// Returns whether the request provably had no effect.
    pub fn is_not_done(&self) -> bool {
        matches!(self, Self::NotDone(_))
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        if error.is_builder() {
            return Self::NotDone(NotDone::Invalid(error.to_string()));
        }
        // A failed connect proves that no byte of the request was sent. A
        // request over an existing connection may have arrived.
        if error.is_connect() {
            return Self::NotDone(NotDone::Unreachable(error.to_string()));
        }
        Self::Unknown(error.to_string())
    }
}
