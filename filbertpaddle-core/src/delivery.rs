//! Delivery of one answer: each token once, in order, from one generation.

use crate::name::Name;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// What a target sent on the stream of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A token arrived.
    Token {
        /// Attempt named on the event.
        attempt: Name,
        /// Position of the token, from zero.
        index: u32,
    },
    /// The generation ended at the target.
    End {
        /// Attempt named on the event.
        attempt: Name,
        /// Number of tokens of the whole generation.
        tokens: u32,
    },
    /// The generation was cancelled at the target.
    Cancelled {
        /// Attempt named on the event.
        attempt: Name,
    },
    /// The stream broke, and the target may still run the attempt.
    Broken,
    /// The target has gone or no longer knows the attempt.
    Lost,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Pass the token on to the caller.
    Deliver,
    /// Drop the event: it belongs to another attempt.
    DropForeign,
    /// Drop the event: the token was delivered before.
    DropDuplicate,
    /// Ask the target for the stream from this index on.
    Resume {
        /// Position of the next token wanted.
        from: u32,
    },
    /// Give up this attempt and start another on another target.
    Restart,
    /// Tell the caller how it ended.
    Finish(Outcome),
}

/// What may be done again when a target fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RestartPolicy {
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// Whether the caller gets nothing until the answer is whole.
    pub buffered: bool,
}

/// Most resumes of one attempt without a new token in between.
pub const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 3;

/// State of one answer on its way to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Delivery {
    restart_policy: RestartPolicy,
    attempt: Name,
    next_index: u32,
    resumes_without_progress: u32,
}

impl Delivery {
    /// Starts delivery of an attempt that is about to be sent.
    pub fn new(restart_policy: RestartPolicy, attempt: Name) -> Self {
        Self::resumed(restart_policy, attempt, 0)
    }

    /// Goes on with an attempt of which the caller holds all tokens before `from`.
    pub fn resumed(restart_policy: RestartPolicy, attempt: Name, from: u32) -> Self {
        Self {
            restart_policy,
            attempt,
            next_index: from,
            resumes_without_progress: 0,
        }
    }

    /// Returns the attempt whose tokens are delivered.
    pub fn attempt(&self) -> &Name {
        &self.attempt
    }

    /// Returns the number of tokens the caller holds.
    pub fn delivered_tokens(&self) -> u32 {
        self.next_index
    }

    /// Replaces a lost attempt after [`Action::Restart`].
    pub fn restart(&mut self, attempt: Name) {
        self.attempt = attempt;
        self.next_index = 0;
        self.resumes_without_progress = 0;
    }

    /// Decides on one event.
    pub fn on(&mut self, event: &Event) -> Action {
        match event {
            Event::Token { attempt, index } => self.on_token(attempt, *index),
            Event::End { attempt, tokens } => self.on_end(attempt, *tokens),
            Event::Cancelled { attempt } if *attempt != self.attempt => Action::DropForeign,
            Event::Cancelled { .. } => Action::Finish(self.interrupted_outcome(Reason::Cancelled)),
            Event::Broken => self.resume(),
            Event::Lost => self.on_lost(),
        }
    }

    fn on_token(&mut self, attempt: &Name, index: u32) -> Action {
        if *attempt != self.attempt {
            return Action::DropForeign;
        }
        if index < self.next_index {
            return Action::DropDuplicate;
        }
        if index > self.next_index {
            return self.resume();
        }
        self.next_index += 1;
        self.resumes_without_progress = 0;
        Action::Deliver
    }

    fn on_end(&mut self, attempt: &Name, tokens: u32) -> Action {
        if *attempt != self.attempt {
            return Action::DropForeign;
        }
        if tokens > self.next_index {
            return self.resume();
        }
        Action::Finish(Outcome::Complete {
            tokens: self.next_index,
        })
    }

    fn resume(&mut self) -> Action {
        if self.resumes_without_progress >= MAX_RESUMES_WITHOUT_PROGRESS {
            return self.on_lost();
        }
        self.resumes_without_progress += 1;
        Action::Resume {
            from: self.next_index,
        }
    }

    // Tokens of two generations are never joined, so only an unseen answer
    // starts again.
    fn on_lost(&self) -> Action {
        let nothing_delivered = self.restart_policy.buffered || self.next_index == 0;
        if self.restart_policy.idempotent && nothing_delivered {
            return Action::Restart;
        }
        Action::Finish(self.interrupted_outcome(Reason::TargetFailed))
    }

    fn interrupted_outcome(&self, reason: Reason) -> Outcome {
        if !self.restart_policy.idempotent {
            return Outcome::MayHaveRun { reason };
        }
        Outcome::Incomplete {
            tokens: self.next_index,
            reason,
        }
    }
}
