//! Errors of requests to the platform, by whether the request may have taken effect.

use filbertpaddle_http::client as http_client;

/// Failure of a request to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request had no effect: the platform refused it or never received it.
    #[error("request had no effect at the platform: {0}")]
    NotDone(NotDone),
    /// The request may have taken effect.
    #[error("request may have taken effect at the platform: {0}")]
    Unknown(String),
}

/// Reason why a request to the platform had no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotDone {
    /// The platform's rate limit was exceeded.
    #[error("rate limit exceeded")]
    RateLimited,
    /// The service reports that it is unavailable.
    #[error("service unavailable")]
    Unavailable,
    /// Connecting failed.
    #[error("cannot connect: {0}")]
    Unreachable(String),
    /// The HTTP client is misconfigured or the body cannot be encoded.
    #[error("cannot build request: {0}")]
    Invalid(String),
}

impl Error {
    /// Returns whether the request provably had no effect.
    pub fn is_not_done(&self) -> bool {
        matches!(self, Self::NotDone(_))
    }
}

impl From<NotDone> for Error {
    fn from(reason: NotDone) -> Self {
        Self::NotDone(reason)
    }
}

impl From<http_client::Error> for Error {
    fn from(error: http_client::Error) -> Self {
        match error {
            http_client::Error::Invalid(reason) => NotDone::Invalid(reason).into(),
            // If connecting failed, no byte of the request was sent. A request over an
            // existing connection may have arrived.
            http_client::Error::Connect(reason) => NotDone::Unreachable(reason).into(),
            http_client::Error::Lost(_) | http_client::Error::TooLarge(_) => {
                Self::Unknown(error.to_string())
            }
        }
    }
}
